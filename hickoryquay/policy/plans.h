// Plans: a plan reserves room for a waiting job until all of it is free and the job can start.
#pragma once

#include <vector>

#include "hickoryquay/policy/reclaim.h"

namespace hickoryquay::policy {

struct Plan {
  JobIndex m_job = kNone;
  PlanKind m_kind = PlanKind::kHeadReservation;
  std::vector<Part> m_parts;
  Instant m_since;
  std::vector<JobId> m_stopped_jobs;  // Jobs stopped to free the room.
};

// The plans in force; keeps the reservations of the cluster consistent with them. A job has at most one plan.
class Plans {
 public:
  explicit Plans(Cluster* cluster) : m_cluster(cluster) {}

  void Add(Plan plan);
  void Drop(JobIndex job);  // No effect if the job has none.

  // Drops the plans that reserve room on this worker, except calls.
  void DropExceptCalls(WorkerIndex worker);
  // Drops all plans that reserve room on this worker.
  void DropOn(WorkerIndex worker);

  const Plan* Find(JobIndex job) const;

  // True if all room of the plan is free, beside that of calls if the plan is none.
  bool Ready(const Plan& plan) const;

  int Accelerators(PlanKind kind) const;  // Of the jobs with plans of this kind.
  const std::vector<Plan>& All() const { return m_plans; }

 private:
  void DropAt(std::size_t index);
  AccountIndex CallingAccount(const Plan& plan) const;  // kNone if the plan is not a call.

  Cluster* m_cluster;
  std::vector<Plan> m_plans;  // The oldest first.
};

}  // namespace hickoryquay::policy
