// JobRoom: whether the leader has memory for a further job, as far as one instance knows.
//
// The leader keeps every job that has not ended. It tells with each heartbeat what its jobs take and how much they may
// take. Between two heartbeats all instances accept jobs without knowing of each other's, so each uses up only a part
// of what is left.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

struct JobMemory {
  std::uint64_t m_held_bytes = 0;   // Of jobs that have not been archived.
  std::uint64_t m_limit_bytes = 0;  // 0: not known.
};

// Not thread-safe.
class JobRoom {
 public:
  enum class Answer {
    kFits,
    kNotNow,
    kNever,  // The job alone takes more than there is.
  };

  // `limit_bytes` holds until a leader tells its own; 0: none.
  explicit JobRoom(std::uint64_t limit_bytes = 0) : m_memory{0, limit_bytes} {}

  // What the leader tells.
  void OnReport(const JobMemory& memory, Instant now) {
    if (memory.m_limit_bytes != 0) m_memory = memory;
    // What was accepted shortly before may not have reached the leader.
    while (!m_taken.empty() && now - m_taken.front().first >= kUntilReported) {
      m_taken_bytes -= m_taken.front().second;
      m_taken.pop_front();
    }
  }

  // On kFits the job counts from now on.
  Answer Take(std::uint64_t bytes, Instant now) {
    if (m_memory.m_limit_bytes == 0) return Answer::kFits;
    if (bytes > m_memory.m_limit_bytes) return Answer::kNever;
    const std::uint64_t left = m_memory.m_limit_bytes - std::min(m_memory.m_limit_bytes, m_memory.m_held_bytes);
    const bool alone = m_taken.empty() && bytes <= left;  // A job may be larger than any part.
    if (!alone && m_taken_bytes + bytes > left / kParts) return Answer::kNotNow;
    m_taken.emplace_back(now, bytes);
    m_taken_bytes += bytes;
    return Answer::kFits;
  }

 private:
  static constexpr Millis kUntilReported{1'000};
  static constexpr std::uint64_t kParts = 16;

  JobMemory m_memory;
  std::deque<std::pair<Instant, std::uint64_t>> m_taken;  // Not reported by the leader yet.
  std::uint64_t m_taken_bytes = 0;
};

}  // namespace hickoryquay::service
