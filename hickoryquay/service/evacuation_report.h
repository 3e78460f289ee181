// EvacuationReport: tells operators how far the evacuation of each failure domain is, by log lines and gauges.
#pragma once

#include <map>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::service {

// Not thread-safe. One object per term of leadership.
class EvacuationReport {
 public:
  explicit EvacuationReport(Metrics* metrics) : m_metrics(metrics) {}
  ~EvacuationReport();  // Sets the gauges to 0, since the next leader reports them.

  // Logs what has changed since the last call. Call after each scheduling round.
  void Update(const std::map<DomainId, jobs::EvacuatedDomain>& domains);

 private:
  struct Reported {
    bool m_in_force = false;
    int m_runs = 0;
  };

  Gauge& RunsOf(const DomainId& domain);

  Metrics* m_metrics;
  std::map<DomainId, Reported> m_reported;
};

}  // namespace hickoryquay::service
