// Health: tells workers that fail every task from jobs that fail everywhere.
//
// A failure is held against the worker and, for the time being, against the job. Failures of different jobs in a row
// quarantine the worker, and are then taken back from those jobs. A job that has already failed on another worker, and
// a class of work that fails on many workers without a success between, are taken to be at fault themselves.
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

  // A start or a task of the job failed there. True where the worker is to be quarantined now.
  bool RecordFailure(JobIndex job, WorkerIndex worker);
  void RecordSuccess(const JobEntry& job);

  // Takes the failures on this worker back from their jobs; sets and returns when its quarantine ends.
  void Quarantine(WorkerIndex worker, Instant now);
  void QuarantineByOperator(WorkerIndex worker);
  void Release(WorkerIndex worker, bool trial);

  // Workers whose quarantine has ended by now.
  std::vector<WorkerIndex> ExpiredQuarantines(Instant now) const;

  // True where its failures are enough to refuse it for good.
  bool FailsEverywhere(const JobEntry& job) const;

  int Quarantined() const;
  bool ByOperator(WorkerIndex worker) const;
  Instant Until(WorkerIndex worker) const;

 private:
  struct Record {
    std::vector<JobId> m_failed_jobs;  // Different jobs that failed there, in a row.
    bool m_by_operator = false;
    Instant m_quarantined_until;
    int m_consecutive = 0;  // Quarantines in a row, each twice as long as the one before.
  };

  static std::uint64_t KeyOf(const JobEntry& job);
  bool JobIsSuspect(const JobEntry& job, WorkerIndex worker) const;

  PolicySettings m_settings;
  Cluster* m_cluster;
  std::unordered_map<WorkerIndex, Record> m_records;
  std::unordered_map<std::uint64_t, std::vector<WorkerIndex>> m_failing_classes;  // By account and class.
};

}  // namespace hickoryquay::policy
