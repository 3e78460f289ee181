// Reclaim: finds room that stopping other jobs would free, and the jobs to stop at the lowest cost.
#pragma once

#include <vector>

#include "hickoryquay/policy/placement.h"

namespace hickoryquay::policy {

// Ways to make room for a job that finds none.
enum class PlanKind {
  kCall,             // A client account calls on its guarantee: borrowers on its certified accelerators are stopped.
  kPreempt,          // Preempts borrowers of its own market that are less urgent and lose little work.
  kRepack,           // Checkpointable borrowers are moved to other workers to make room for a gang.
  kHeadReservation,  // Reserves room for the gang at the head of a queue as other work ends; stops no job.
};

// Jobs to stop, and the cost of it in accelerator-seconds.
struct Victims {
  std::vector<JobIndex> m_jobs;
  double m_cost = 0.0;
  bool m_sufficient = false;  // Stopping them makes enough room.
};

// Room that is free or can be freed, for one waiting job and one kind of plan.
class ReclaimableRoom final : public RoomRule {
 public:
  struct Request {
    JobIndex m_job = kNone;
    PlanKind m_kind = PlanKind::kCall;
    Resources m_task;  // Size to reserve for one task.
    Instant m_now;
    BorrowingRule m_borrowing;
  };

  ReclaimableRoom(const Cluster& cluster, const Certificate& certificate, const Estimator& estimator,
                  const Request& request);

  int Tasks(WorkerIndex worker, int limit) const override;
  double Cost(WorkerIndex worker, int tasks) const override;
  double RackCost(RackIndex rack) const override;
  bool RackMayFit(RackIndex rack) const override;

  // Jobs to stop so that the gang fits at this place.
  Victims ChooseVictims(const GangPlacement& place) const;

 private:
  bool CheapToPreempt(const JobEntry& victim) const;
  bool MayStop(JobIndex victim, WorkerIndex worker) const;
  Resources RoomWithoutStops(const WorkerEntry& worker) const;  // Free without stopping a job.
  double StopCost(JobIndex victim) const;
  double WaitCost(WorkerIndex worker, const Resources& need) const;  // For kHeadReservation.
  void AddVictims(WorkerIndex worker, Resources need, Victims* victims) const;

  const Cluster& m_cluster;
  const Certificate& m_certificate;
  const Estimator& m_estimator;
  Request m_request;
  const JobEntry& m_job;
  int m_urgency = 0;
  std::vector<bool> m_racks;  // Racks with certified accelerators of the account; for calls.
};

}  // namespace hickoryquay::policy
