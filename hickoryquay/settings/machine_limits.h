// MachineLimits: how an instance shares out the memory and the descriptors of its machine among those who may take them
// without having proved anything. docs/OPERATIONS.md has the table of what is bounded by what.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hickoryquay/settings/node_settings.h"

namespace hickoryquay::settings {

struct MachineLimits {
  std::uint64_t m_body_bytes = 0;   // Bodies of callers' requests, until they are answered.
  std::uint64_t m_frame_bytes = 0;  // Frames of other instances that have arrived in part.
  std::uint64_t m_job_bytes = 0;    // What a leader holds of the jobs that are accepted.
  int m_caller_connections = 0;
  int m_probe_connections = 0;  // Of the readiness check; the same number of the metrics.
  int m_peer_connections = 0;   // Opened by other instances.
};

inline MachineLimits ShareOut(const CapacitySection& machine) {
  constexpr std::uint64_t kMegabyte = 1024 * 1024;
  constexpr int kReservedDescriptors = 200;  // The platform keeps them for files.
  constexpr int kMaxCallers = 1'024;
  constexpr std::uint64_t kConnectionBytes =
      160 * 1024;  // A head, a short body, and what the kernel keeps, twice over.
  const std::uint64_t memory = static_cast<std::uint64_t>(machine.m_memory_mb) * kMegabyte;
  const int sockets = std::max(kReservedDescriptors, machine.m_descriptors - kReservedDescriptors);
  MachineLimits limits;
  limits.m_body_bytes = memory / 10;
  limits.m_frame_bytes = memory / 10;
  limits.m_job_bytes = memory / 4;
  limits.m_caller_connections = std::min({kMaxCallers, sockets / 3, static_cast<int>(memory / kConnectionBytes)});
  limits.m_probe_connections = 12;
  limits.m_peer_connections = sockets / 3;  // The last third is for connections that the instance opens itself.
  return limits;
}

}  // namespace hickoryquay::settings
