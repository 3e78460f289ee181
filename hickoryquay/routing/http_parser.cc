#include "hickoryquay/routing/http_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>

namespace hickoryquay::routing {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

namespace {

std::string_view View(BeastView text) {
  return {text.data(), text.size()};
}

// Passes what Beast reads to a head.
template <bool is_request, typename Head>
class Sink : public http::basic_parser<is_request> {
 public:
  Sink(const MessageLimits& limits, Head* head) : m_head(head), m_limits(limits) {
    this->eager(true);
    this->header_limit(limits.m_header_bytes);
    this->body_limit(limits.m_body_bytes);
  }

  bool OutOfMemory() const { return m_out_of_memory; }

 private:
  // The names of Beast's hooks.
  // NOLINTBEGIN(readability-identifier-naming)
  void on_request_impl(http::verb, BeastView method, BeastView target, int, ErrorCode&) override {
    if constexpr (is_request) {
      m_head->m_method.assign(method.data(), method.size());
      m_head->m_target.assign(target.data(), target.size());
    }
  }
  void on_response_impl(int code, BeastView, int, ErrorCode&) override {
    if constexpr (!is_request) m_head->m_status = code;
  }
  void on_field_impl(http::field, BeastView name, BeastView value, ErrorCode&) override {
    TakeHeader(View(name), View(value), m_head);
  }
  void on_header_impl(ErrorCode&) override {
    m_head->m_keep_alive = this->keep_alive();
    if constexpr (!is_request) {
      const int status = m_head->m_status;
      m_head->m_has_length = this->content_length().has_value() || status == 204 || status == 304;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override {
    if (length && !Hold(*length)) error = http::error::body_limit;
  }
  std::size_t on_body_impl(BeastView body, ErrorCode&) override {
    m_head->m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, ErrorCode& error) override {
    const std::size_t wanted = m_head->m_body.size() + body.size();
    const std::size_t room = m_head->m_body.capacity();
    if (wanted > room && !Hold(std::max(wanted, room + room / 2))) {
      error = http::error::body_limit;
      return 0;
    }
    m_head->m_body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(ErrorCode&) override {}
  // NOLINTEND(readability-identifier-naming)

  // Makes room for a body of so many bytes, and no more.
  bool Hold(std::uint64_t bytes) {
    m_out_of_memory = !m_head->m_memory.Take(m_limits.m_memory, bytes);
    if (!m_out_of_memory) m_head->m_body.reserve(bytes);
    return !m_out_of_memory;
  }

  Head* m_head;
  MessageLimits m_limits;
  bool m_out_of_memory = false;
};

template <bool is_request, typename Head>
ParseResult PutInto(Sink<is_request, Head>* sink, std::string_view bytes) {
  ParseResult result;
  ErrorCode error;
  while (result.m_consumed < bytes.size() && !sink->is_done()) {
    const std::string_view rest = bytes.substr(result.m_consumed);
    const std::size_t taken = sink->put(boost::asio::buffer(rest.data(), rest.size()), error);
    result.m_consumed += taken;
    if (error || taken == 0) break;
  }
  if (error == http::error::need_more) error = {};
  if (error == http::error::header_limit) result.m_state = ParseState::kHeaderTooLarge;
  if (error == http::error::body_limit) result.m_state = ParseState::kBodyTooLarge;
  if (sink->OutOfMemory()) result.m_state = ParseState::kOutOfMemory;
  if (error && result.m_state == ParseState::kMore) result.m_state = ParseState::kMalformed;
  if (!error && sink->is_done()) result.m_state = ParseState::kDone;
  return result;
}

}  // namespace

class RequestParser::Impl {
 public:
  explicit Impl(const MessageLimits& limits) : m_limits(limits) {}

  MessageLimits m_limits;
  std::optional<Sink<true, RequestHead>> m_sink;
};

RequestParser::RequestParser(const MessageLimits& limits) : m_impl(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;

void RequestParser::Begin(RequestHead* head) {
  head->Clear();
  m_impl->m_sink.emplace(m_impl->m_limits, head);
}

ParseResult RequestParser::Put(std::string_view bytes) {
  return PutInto(&*m_impl->m_sink, bytes);
}

bool RequestParser::HeaderDone() const {
  return m_impl->m_sink->is_header_done();
}

class AnswerParser::Impl {
 public:
  explicit Impl(const MessageLimits& limits) : m_limits(limits) {}

  MessageLimits m_limits;
  std::optional<Sink<false, AnswerHead>> m_sink;
};

AnswerParser::AnswerParser(const MessageLimits& limits) : m_impl(std::make_unique<Impl>(limits)) {}
AnswerParser::~AnswerParser() = default;

void AnswerParser::Begin(AnswerHead* head, bool to_head_request) {
  head->Clear();
  m_impl->m_sink.emplace(m_impl->m_limits, head);
  m_impl->m_sink->skip(to_head_request);
}

ParseResult AnswerParser::Put(std::string_view bytes) {
  return PutInto(&*m_impl->m_sink, bytes);
}

}  // namespace hickoryquay::routing
