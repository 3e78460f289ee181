// WorkerHealth: distinguishes workers that fail every task from jobs that fail on every worker.
//
// A failure counts against both the worker and the job. Consecutive failures of different jobs quarantine the worker;
// these failures then no longer count against the jobs. A job that has already failed on another healthy worker, or
// whose class of work fails on many workers with no success in between, is considered faulty itself: its failures
// don't count against the worker.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "hickoryquay/policy/cluster.h"
#include "hickoryquay/policy/policy.h"

namespace hickoryquay::policy {

class WorkerHealth {
 public:
  WorkerHealth(const PolicySettings& settings, Cluster* cluster) : m_settings(settings), m_cluster(cluster) {}

  // Counts a failed start or task. True where the worker must be quarantined now.
  bool RecordFailure(JobIndex job, WorkerIndex worker);
  void RecordSuccess(const JobEntry& job);

  // Starts a quarantine. Failures on this worker no longer count against the jobs that failed there.
  void Quarantine(WorkerIndex worker, Instant now);
  void QuarantineByOperator(WorkerIndex worker);
  void Release(WorkerIndex worker, bool trial);  // `trial`: the next failure quarantines it again.

  // Workers whose quarantine period is over and that no operator holds, in ascending order.
  std::vector<WorkerIndex> ExpiredQuarantines(Instant now) const;

  // True where the job has failed often enough to be refused.
  bool FailsEverywhere(const JobEntry& job) const;

  int Quarantined() const;
  bool ByOperator(WorkerIndex worker) const;
  Instant Until(WorkerIndex worker) const;

 private:
  struct Record {
    std::vector<JobId> m_failed_jobs;  // Different jobs whose consecutive failures count against the worker.
    bool m_by_operator = false;
    Instant m_quarantined_until;
    int m_consecutive = 0;  // Consecutive quarantines; each lasts twice as long as the one before.
  };

  static std::uint64_t KeyOf(const JobEntry& job);
  bool JobIsSuspect(const JobEntry& job, WorkerIndex worker) const;

  PolicySettings m_settings;
  Cluster* m_cluster;
  std::unordered_map<WorkerIndex, Record> m_records;
  std::unordered_map<std::uint64_t, std::vector<WorkerIndex>>
      m_failing_classes;  // By account and class; since its last success.
};

}  // namespace hickoryquay::policy
