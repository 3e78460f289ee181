// RefusalLog: counts what a server refuses, by cause, and writes a line on it at most once a second.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"

namespace hickoryquay::net {

enum class Refusal {
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kHead,            // The head showed that the request can't be served.
  kNoRoom,          // Memory was short for its body.
  kGaveWay,         // Its body arrived slowly while memory was short.
  kConnection,      // A new connection, since none of the others could give way.
  kIdleConnection,  // A connection that gave way to a new one.
};
constexpr std::size_t kRefusals = static_cast<std::size_t>(Refusal::kIdleConnection) + 1;

// Thread-safe.
class RefusalLog {
 public:
  RefusalLog(std::string server, Metrics* metrics);

  void Note(Refusal why);

 private:
  std::string m_server;
  std::array<Counter*, kRefusals> m_counters{};  // Null without metrics.
  SystemClock m_clock;
  std::mutex m_mutex;
  Instant m_written;              // Guarded by m_mutex.
  std::uint64_t m_unwritten = 0;  // Guarded by m_mutex.
};

}  // namespace hickoryquay::net
