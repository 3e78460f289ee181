// Policy: hickoryquay's own scheduler. Lets jobs borrow idle guarantees, which can always be reclaimed, starts gangs
// whole, and keeps racks unfragmented.
#pragma once

#include <memory>

#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::policy {

struct PolicySettings {
  DomainId m_domain;                        // Failure domain whose share of each guarantee is met.
  int m_max_failures = 3;                   // Failures on healthy workers before a job is refused.
  int m_quarantine_after = 3;               // Consecutive failures of different jobs that quarantine a worker.
  Millis m_quarantine_for{10 * 60 * 1000};  // Length of the first quarantine; then one job is started there as a trial.
  Millis m_reclaim_limit{30 * 1000};        // From the call on a guarantee to the start of the job.
  Millis m_head_reservation{5 * 60 * 1000};  // Wait after which room is reserved for a gang at the head.
};

std::unique_ptr<Scheduler> MakePolicy(const PolicySettings& settings);

}  // namespace hickoryquay::policy
