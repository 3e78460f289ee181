// IdleReport: tells operators which accepted jobs have nothing running, and why, by log lines and metrics.
#pragma once

#include <map>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/jobs/idle_jobs.h"

namespace hickoryquay::service {

// Not thread-safe. One object per term of leadership.
class IdleReport {
 public:
  static constexpr std::size_t kMostJobs = 64;  // That are looked at: those that were accepted first.

  explicit IdleReport(Metrics* metrics);
  ~IdleReport();  // Sets the gauges to 0, since the next leader reports them.

  // Call about once a second. `may_start`: starts are not held up because of what the leader doesn't know.
  void Update(const std::vector<jobs::IdleJob>& idle, bool may_start, Instant now);

 private:
  struct Reported {
    Instant m_since;
    Instant m_cause_since;
    Instant m_logged;  // 0: not yet.
    jobs::IdleCause m_cause = jobs::IdleCause::kUnexplained;
    bool m_counted = false;  // As unexplained, with this cause.
  };

  Gauge& CountOf(jobs::IdleCause cause);
  void Note(const jobs::IdleJob& job, bool may_start, Instant now, Reported* reported, int* lines);

  Metrics* m_metrics;
  Counter* m_unexplained;
  std::map<JobId, Reported> m_reported;
};

}  // namespace hickoryquay::service
