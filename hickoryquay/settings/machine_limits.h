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

// The most that one connection takes beside what is counted apart.
constexpr std::uint64_t kCallerBytes = 136 * 1024;  // A head, unread bytes in the kernel, a short body and its copies.
constexpr std::uint64_t kProbeBytes = 100 * 1024;   // A head, unread bytes, and the text of all metrics.
constexpr std::uint64_t kPeerBytes = 16 * 1024;     // What a connection keeps between frames.
constexpr std::uint64_t kOwnBytes = 10 * 1024 * 1024;  // Of an instance without clients and jobs.

inline MachineLimits ShareOut(const CapacitySection& machine) {
  constexpr std::uint64_t kMegabyte = 1024 * 1024;
  constexpr int kReservedDescriptors = 200;  // The platform keeps them for files.
  constexpr int kMaxCallers = 1'024;
  const std::uint64_t memory = static_cast<std::uint64_t>(machine.m_memory_mb) * kMegabyte;
  const int sockets = std::max(kReservedDescriptors, machine.m_descriptors - kReservedDescriptors);
  MachineLimits limits;
  limits.m_body_bytes = memory / 10;
  limits.m_frame_bytes = memory / 10;
  limits.m_job_bytes = memory / 4;
  limits.m_caller_connections = std::min({kMaxCallers, sockets / 3, static_cast<int>(memory / 3 / kCallerBytes)});
  limits.m_probe_connections = 12;
  // The last third is for connections that the instance opens itself.
  limits.m_peer_connections = std::min(sockets / 3, static_cast<int>(memory / 10 / kPeerBytes));
  return limits;
}

// The most that an instance holds where all of it is taken at a time.
inline std::uint64_t SumOf(const MachineLimits& limits) {
  const auto of = [](int connections, std::uint64_t each) { return static_cast<std::uint64_t>(connections) * each; };
  return kOwnBytes + limits.m_body_bytes + limits.m_frame_bytes + limits.m_job_bytes +
         of(limits.m_caller_connections, kCallerBytes) + of(2 * limits.m_probe_connections, kProbeBytes) +
         of(limits.m_peer_connections, kPeerBytes);
}

}  // namespace hickoryquay::settings
