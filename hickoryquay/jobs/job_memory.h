// What a scheduler takes of memory for a job, estimated from its request.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hickoryquay/jobs/job.h"

namespace hickoryquay::jobs {

// In bytes. Of a timed job one occurrence counts with its tasks, since few are under way at a time.
inline std::uint64_t MemoryOf(const JobRequest& request) {
  constexpr std::uint64_t kJob = 2'048;
  constexpr std::uint64_t kOccurrence = 32;
  constexpr std::uint64_t kStep = 1'024;
  constexpr std::uint64_t kTask = 512;
  constexpr std::uint64_t kTextCopies = 3;
  std::uint64_t bytes = kJob + kTextCopies * request.m_payload.size();
  bytes += kOccurrence * static_cast<std::uint64_t>(std::max(1, request.m_repeats));
  for (const StepSpec& step : request.m_steps) {
    const std::size_t texts = step.m_required_label.size() + step.m_data_rack.size() + step.m_image.size();
    bytes += kStep + texts + sizeof(int) * step.m_after.size() + kTask * static_cast<std::uint64_t>(step.m_tasks);
  }
  return bytes;
}

}  // namespace hickoryquay::jobs
