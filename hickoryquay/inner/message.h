// Messages of the inner protocol and their bytes: Thrift's compact protocol behind a length of four bytes, big-endian.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "hickoryquay/base/result.h"
#include "hickoryquay/inner/gen/inner_types.h"

namespace hickoryquay::inner {

constexpr std::int32_t kProtocol = 1;                      // The highest that this build speaks.
constexpr std::uint32_t kMaxFrameBytes = 4 * 1024 * 1024;  // Longer frames end the connection.
constexpr std::size_t kLengthBytes = 4;
constexpr int kMaxElements = 50'000;  // Of one list or map in a frame; memory for them is taken as they are announced.

// One alternative for each field of wire::Body. monostate: a body that this build doesn't know.
using Message =
    std::variant<std::monostate, wire::Heartbeat, wire::ConfigurationPull, wire::ConfigurationDocuments,
                 wire::JobNotice, wire::StateQuery, wire::StateAnswer, wire::Acknowledged, wire::Unsupported,
                 wire::LeaderBeat, wire::StoreCall, wire::StoreAnswer, wire::AcceptedJob, wire::CancelledJob>;

struct Frame {
  std::int32_t m_protocol = kProtocol;
  std::int64_t m_id = 0;
  bool m_answer = false;
  Message m_message;
};

struct BadFrame {
  std::string m_why;
};

// The frame's bytes, its length in front. O(bytes).
std::string Encode(const Frame& frame);

// Reads a frame's body, without its length. Never throws.
Result<Frame, BadFrame> Decode(std::string_view bytes);

}  // namespace hickoryquay::inner
