// HttpParser: Beast's incremental parser behind plain structs, so that its headers stay out of ours. Allocates nothing
// once its strings have grown to the size of the messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "hickoryquay/routing/request_head.h"

namespace hickoryquay::routing {

struct MessageLimits {
  std::uint32_t m_header_bytes = 16 * 1024;
  std::uint64_t m_body_bytes = 1024 * 1024;
  std::shared_ptr<MemoryBudget> m_memory;  // Of all bodies; null: not bounded.
};

enum class ParseState { kMore, kDone, kHeaderTooLarge, kBodyTooLarge, kOutOfMemory, kMalformed };

struct ParseResult {
  ParseState m_state = ParseState::kMore;
  std::size_t m_consumed = 0;
};

class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();

  void Begin(RequestHead* head);  // Clears `head` and fills it from then on.
  ParseResult Put(std::string_view bytes);
  bool HeaderDone() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

class AnswerParser {
 public:
  explicit AnswerParser(const MessageLimits& limits);
  ~AnswerParser();

  void Begin(AnswerHead* head, bool to_head_request);
  ParseResult Put(std::string_view bytes);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::routing
