// Plans: room that is kept for waiting jobs until all of it is free.
#pragma once

#include <vector>

#include "hickoryquay/policy/reclaim.h"

namespace hickoryquay::policy {

struct Plan {
  JobIndex m_job = kNone;
  PlanKind m_kind = PlanKind::kHead;
  std::vector<Part> m_parts;
  Instant m_since;
  std::vector<JobId> m_stopped_jobs;  // Jobs that were stopped for it.
};

// Keeps the reservations of the cluster in step with the plans. At most one plan a job.
class Plans {
 public:
  explicit Plans(Cluster* cluster) : m_cluster(cluster) {}

  void Add(Plan plan);
  void Drop(JobIndex job);  // No effect where it has none.

  // Drops the plans other than calls that keep room on this worker.
  void DropExceptCalls(WorkerIndex worker);
  // Drops all plans that keep room on this worker.
  void DropOn(WorkerIndex worker);

  const Plan* Find(JobIndex job) const;

  // All of its room is free.
  bool Ready(const Plan& plan) const;

  int Accelerators(PlanKind kind) const;  // Kept by all plans of this kind.
  const std::vector<Plan>& All() const { return m_plans; }

 private:
  void DropAt(std::size_t index);
  AccountIndex CallingAccount(const Plan& plan) const;

  Cluster* m_cluster;
  std::vector<Plan> m_plans;  // The oldest first.
};

}  // namespace hickoryquay::policy
