// Trial: one day played by the scheduler against simulated workers, in virtual time and without a store or a network.
//
// Sessions with workers are the product's own; a write of rows is a pause. What is measured is where jobs end up.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/jobs/load.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::bench {

struct TrialSettings {
  jobs::SchedulerSettings m_scheduler;
  Millis m_write{12};  // Until a batch of rows is stored: a call to the platform's store and its way there and back.
  std::uint64_t m_seed = 1;
};

struct JobOutcome {
  jobs::JobPhase m_phase = jobs::JobPhase::kQueued;
  std::optional<Millis> m_waited;  // From acceptance until its first run was recorded.
  std::optional<Millis> m_took;    // From acceptance until its end was stored; empty: not ended.
};

struct TrialResult {
  std::vector<JobOutcome> m_jobs;  // As in the day.
  double m_wasted_core_seconds = 0.0;
  int m_preemptions = 0;
  int m_starts = 0;
  double m_used = 0.0;               // Mean share of accelerators that tasks held while jobs came.
  double m_decide_us = 0.0;          // Processor time of one Decide: mean,
  double m_p99_decide_us = 0.0;      // 99th percentile,
  double m_slowest_decide_us = 0.0;  // and maximum.
  std::vector<std::string> m_violations;
};

TrialResult PlayDay(const DayLoad& day, const TrialSettings& settings);

// What callers got out of a day, against what they would have got from jobs that are all done in time.
struct Worth {
  double m_owed = 0.0;
  double m_earned = 0.0;
  std::map<std::string, double> m_queues;    // Shares earned, by queue.
  std::map<std::string, double> m_accounts;  // By client account.
  double m_worst_window = 1.0;               // Of the seconds in which jobs came, the two worst.
  std::map<std::string, double> m_largest;   // Of the largest tenth of each queue's jobs.
  int m_in_time = 0;
  int m_late = 0;
  int m_lost = 0;  // Too late, or never.

  double Share() const { return m_owed > 0.0 ? m_earned / m_owed : 1.0; }
  double WorstQueue() const;  // The largest tenths included.
  double WorstAccount() const;
};

Worth Judge(const DayLoad& day, const TrialResult& result);

// The share of the owed worth that no scheduler can exceed: all work known beforehand, accelerators (and cores, memory)
// one pool that can be divided and taken back at no cost, and unfinished jobs earning their part.
double UpperBound(const DayLoad& day);

}  // namespace hickoryquay::bench
