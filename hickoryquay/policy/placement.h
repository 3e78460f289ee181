// Placement: finds workers for a whole gang. A RoomRule defines how many tasks a worker may take and at what cost.
#pragma once

#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/cluster.h"
#include "hickoryquay/policy/estimator.h"

namespace hickoryquay::policy {

// Number of tasks of a gang on one worker.
struct WorkerTasks {
  WorkerIndex m_worker = kNone;
  int m_tasks = 0;
};
using GangPlacement = std::vector<WorkerTasks>;

// The room of workers for one job, and the cost of using it. Costs are comparable only within one rule.
class RoomRule {
 public:
  virtual ~RoomRule() = default;
  virtual int Tasks(WorkerIndex worker, int limit) const = 0;  // Number of tasks that fit, at most `limit`.
  virtual double Cost(WorkerIndex worker, int tasks) const = 0;
  virtual double RackCost(RackIndex rack) const = 0;
  virtual bool RackMayFit(RackIndex rack) const = 0;  // False if no task fits; avoids a check of each worker.
};

// The cheapest placement for a gang of this shape; empty if there is none.
GangPlacement FindPlacement(const Cluster& cluster, const RoomRule& rule, const GangShape& shape);

// Limits which idle guarantees of other accounts a job may borrow.
struct BorrowingRule {
  const Estimator* m_estimator = nullptr;
  AccountIndex m_borrower = kNone;
  Millis m_run{0};          // Expected run time, which a call would waste.
  double m_max_risk = 1.0;  // Highest probability of a call within m_run, 0 to 1; 1: no limit.
  Instant m_now;

  // Accelerators of the worker that are certified to other accounts, idle, and too likely to be called.
  int Excluded(const Cluster& cluster, const Certificate& certificate, WorkerIndex worker) const;
};

// Room that is free now and not reserved by plans.
class AvailableRoom final : public RoomRule {
 public:
  struct Request {
    AccountIndex m_account = kNone;
    Resources m_task;       // Resources to allocate per task.
    bool m_pinned = false;  // Limits the job to Certificate::RoomForPin(), so that no block moves.
    BorrowingRule m_borrowing;
    bool m_trial = true;                                // Allows workers that are on trial after quarantine.
    double m_completion_weight = 0.5;                   // Of the market, 0 to 1.
    double m_loss_weight = 1.0;                         // Relative loss if stopped; lower for checkpointable jobs.
    const std::vector<WorkerIndex>* m_avoid = nullptr;  // Workers to exclude; may be null.
  };

  AvailableRoom(const Cluster& cluster, const Certificate& certificate, const Request& request);

  int Tasks(WorkerIndex worker, int limit) const override;
  double Cost(WorkerIndex worker, int tasks) const override;
  double RackCost(RackIndex rack) const override;
  bool RackMayFit(RackIndex rack) const override;

 private:
  int Borrowed(WorkerIndex worker, int accelerators) const;

  const Cluster& m_cluster;
  const Certificate& m_certificate;
  Request m_request;
};

}  // namespace hickoryquay::policy
