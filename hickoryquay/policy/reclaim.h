// Reclaim: places that can be had by stopping borrowers, and whom to stop there at the least loss.
#pragma once

#include <vector>

#include "hickoryquay/policy/placement.h"

namespace hickoryquay::policy {

enum class PlanKind {
  kCall,             // A client account calls on its guarantee: borrowers on its certified accelerators are stopped.
  kPreempt,          // Work takes the place of work of its own market that is less urgent, borrows, and loses little.
  kRepack,           // Checkpointable borrowers make room for a gang and go on elsewhere.
  kHeadReservation,  // Room is kept as it becomes free, for the gang at the head of the queue; nobody is stopped.
};

// Jobs to stop, and what that costs in accelerator-seconds.
struct Victims {
  std::vector<JobIndex> m_jobs;
  double m_cost = 0.0;
  bool m_sufficient = false;
};

// Room that can be had, for one waiting job and one kind of plan.
class ReclaimableRoom final : public RoomRule {
 public:
  struct Request {
    JobIndex m_job = kNone;
    PlanKind m_kind = PlanKind::kCall;
    Resources m_task;  // As it is to be reserved.
    Instant m_now;
    BorrowingRule m_borrowing;
  };

  ReclaimableRoom(const Cluster& cluster, const Certificate& certificate, const Estimator& estimator,
                  const Request& request);

  int Tasks(WorkerIndex worker, int limit) const override;
  double Cost(WorkerIndex worker, int tasks) const override;
  double RackCost(RackIndex rack) const override;
  bool RackMayFit(RackIndex rack) const override;

  // The borrowers to stop for this place.
  Victims ChooseVictims(const GangPlacement& place) const;

 private:
  bool CheapToPreempt(const JobEntry& victim) const;
  bool MayStop(JobIndex victim, WorkerIndex worker) const;
  Resources RoomWithoutStops(const WorkerEntry& worker) const;  // Without stopping anybody.
  double StopCost(JobIndex victim) const;
  double WaitCost(WorkerIndex worker, const Resources& need) const;
  void AddVictims(WorkerIndex worker, Resources need, Victims* victims) const;

  const Cluster& m_cluster;
  const Certificate& m_certificate;
  const Estimator& m_estimator;
  Request m_request;
  const JobEntry& m_job;
  int m_urgency = 0;
  std::vector<bool> m_racks;  // Where the account has certified accelerators; for calls.
};

}  // namespace hickoryquay::policy
