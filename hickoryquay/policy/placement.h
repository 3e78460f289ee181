// Placement: finds workers for a whole gang. What a worker may give, and at what cost, is a rule of its own.
#pragma once

#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/cluster.h"
#include "hickoryquay/policy/learning.h"

namespace hickoryquay::policy {

struct WorkerTasks {
  WorkerIndex m_worker = kNone;
  int m_tasks = 0;
};
using GangPlacement = std::vector<WorkerTasks>;

// How much room a worker has for one particular job, and what using it costs. Costs compare within one rule only.
class RoomRule {
 public:
  virtual ~RoomRule() = default;
  virtual int Tasks(WorkerIndex worker, int limit) const = 0;
  virtual double Cost(WorkerIndex worker, int tasks) const = 0;
  virtual double RackCost(RackIndex rack) const = 0;
  virtual bool RackMayFit(RackIndex rack) const = 0;  // False where surely no task fits: saves asking its workers.
};

// The cheapest place for a gang of this shape, or an empty one where there is none.
GangPlacement FindPlacement(const Cluster& cluster, const RoomRule& rule, const GangShape& shape);

// Which idle guarantees of other accounts a job stays out of.
struct BorrowingRule {
  const Learning* m_learning = nullptr;
  AccountIndex m_borrower = kNone;
  Millis m_run{0};          // Expected; what a call would throw away.
  double m_max_risk = 1.0;  // Of a call within the run; 1: it borrows from anybody.
  Instant m_now;

  // Accelerators of the worker that are certified to others, idle, and too likely to be called for.
  int Excluded(const Cluster& cluster, const Certificate& certificate, WorkerIndex worker) const;
};

// Room that is free now and promised to nobody.
class AvailableRoom final : public RoomRule {
 public:
  struct Request {
    AccountIndex m_account = kNone;
    Resources m_task;       // As it is to be reserved.
    bool m_pinned = false;  // Stays within what the certificate can spare without moving a block.
    BorrowingRule m_borrowing;
    bool m_trial = true;               // May go to a worker that is on trial.
    double m_completion_weight = 0.5;  // Of the market.
    double m_loss_weight = 1.0;        // What a stop would lose: less where the job can be checkpointed.
    const std::vector<WorkerIndex>* m_avoid = nullptr;
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
