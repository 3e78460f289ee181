// JobRoom: whether the leader has memory for a further job, as far as one instance knows.
//
// The leader keeps every job that has not ended. It tells with each heartbeat what its jobs take, how much they may
// take, and into how many parts the rest is split. Between two heartbeats all instances accept jobs without knowing of
// each other's, so each uses up only one part of what is left, with large jobs too.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

constexpr int kFewestJobParts = 16;

// So many parts as there are instances, within bounds: a part must hold any usual job. Beyond kMostJobParts instances,
// all of them at a time may accept more than the limit.
inline int JobPartsFor(std::size_t instances) {
  constexpr std::size_t kMostJobParts = 32;
  return static_cast<int>(std::clamp(instances, std::size_t{kFewestJobParts}, kMostJobParts));
}

struct JobMemory {
  std::uint64_t m_held_bytes = 0;   // Of jobs that have not been archived.
  std::uint64_t m_limit_bytes = 0;  // 0: not known.
  int m_parts = kFewestJobParts;
};

// Not thread-safe.
class JobRoom {
 public:
  enum class Answer {
    kFits,
    kNotNow,
    kNever,  // The job alone takes more than a part of an empty leader.
  };

  // `limit_bytes` holds until a leader tells its own; 0: none.
  explicit JobRoom(std::uint64_t limit_bytes = 0) : m_memory{0, limit_bytes, kFewestJobParts} {}

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
    const auto parts = static_cast<std::uint64_t>(m_memory.m_parts);
    if (bytes > m_memory.m_limit_bytes / parts) return Answer::kNever;
    const std::uint64_t left = m_memory.m_limit_bytes - std::min(m_memory.m_limit_bytes, m_memory.m_held_bytes);
    if (m_taken_bytes + bytes > left / parts) return Answer::kNotNow;
    m_taken.emplace_back(now, bytes);
    m_taken_bytes += bytes;
    return Answer::kFits;
  }

 private:
  static constexpr Millis kUntilReported{1'000};

  JobMemory m_memory;
  std::deque<std::pair<Instant, std::uint64_t>> m_taken;  // Not reported by the leader yet.
  std::uint64_t m_taken_bytes = 0;
};

}  // namespace hickoryquay::service
