// Scheduler: decides what runs where in one failure domain, as a pure function of (state, event, now).
//
// Does no I/O, reads no clock and draws no random numbers: the same events at the same times give the same decisions,
// so that a run can be replayed, fuzzed and benchmarked in isolation. hickoryquay's own policy and the baselines of
// the bench implement this interface.
//
// Terms:
//   gang        all tasks of a job; they start and stop together. A part is what runs of it on one worker.
//   guarantee   blocks of accelerators, of one shape, that a client account can have at any time. Jobs of other
//               accounts may borrow them while they are idle.
//   call        a job's claim on its account's guarantee: borrowers are stopped to make room for the job.
//   pinned      said of a job that can't be stopped for others: it runs at most once, or is neither preemptible nor
//               checkpointable.
//
// Index of this file:
//   [SECTION] Events
//   [SECTION] Decisions
//   [SECTION] Refusals and waiting
//   [SECTION] Statistics
//   [SECTION] Scheduler
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/result.h"
#include "hickoryquay/model/model.h"

namespace hickoryquay::policy {

//-------------------------------------------------------------------------------------------------
// [SECTION] Events
//-------------------------------------------------------------------------------------------------

// A market was created or changed; the change has been checked and accepted.
struct MarketChanged {
  std::shared_ptr<const Market> m_market;
};

// Waiting jobs of the market are refused, running ones are stopped.
struct MarketDropped {
  MarketId m_market;
};

// A worker is new, or has returned after it was lost.
struct WorkerJoined {
  Worker m_worker;
};

// A worker has been silent for longer than its lease, so none of our tasks runs there any more.
struct WorkerLost {
  WorkerId m_worker;
};

// A worker is being drained: it gets no new work, running work may finish.
struct WorkerLeaving {
  WorkerId m_worker;
};

// An operator quarantined or released a worker.
struct WorkerQuarantineSet {
  WorkerId m_worker;
  bool m_quarantined = true;
};

// A job was accepted and recorded. Its state is kWaiting.
struct JobSubmitted {
  Job m_job;
};

// A new placer read the job's row. Its state is any that has not ended.
struct JobRestored {
  Job m_job;
};

struct JobCancelled {
  JobId m_job{};
};

// Every part of the gang is committed.
struct GangStarted {
  JobId m_job{};
  Attempt m_attempt{};
};

// The start failed, and no part runs any more.
struct GangStartFailed {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_failed_worker;     // The worker that refused or did not answer; empty: none.
  bool m_may_have_run = false;  // Some part may have run.
};

struct TaskFailed {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_worker;
  std::string m_reason;
};

// Every task finished successfully.
struct GangFinished {
  JobId m_job{};
  Attempt m_attempt{};
};

// Answers StopGang. No part runs any more.
struct GangStopped {
  JobId m_job{};
  Attempt m_attempt{};
  bool m_checkpointed = false;  // A checkpoint keeps its progress.
};

struct TaskUsage {
  JobId m_job{};
  Resources m_used;  // By all tasks of the job on the worker.
};

// Measured use on one worker. Reports lag behind: they may name jobs that have left the worker.
struct UsageReported {
  WorkerId m_worker;
  std::vector<TaskUsage> m_tasks;
};

struct Tick {};  // Drives all that depends on time: timeouts, reclaim limits, repacking.

using Event = std::variant<MarketChanged, MarketDropped, WorkerJoined, WorkerLost, WorkerLeaving, WorkerQuarantineSet,
                           JobSubmitted, JobRestored, JobCancelled, GangStarted, GangStartFailed, TaskFailed,
                           GangFinished, GangStopped, UsageReported, Tick>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Decisions
//-------------------------------------------------------------------------------------------------

enum class StopReason { kReclaim, kCancelled, kOveruse, kRepack, kPartLost, kMarketDropped, kWorkerLeaving };

// The job's accelerators are allocated from now on. GangStarted, GangStartFailed or GangFinished answers it.
struct StartGang {
  JobId m_job{};
  Attempt m_attempt{};
  std::vector<Placement> m_placements;
};

// The job's accelerators stay allocated until GangStopped answers it.
struct StopGang {
  JobId m_job{};
  Attempt m_attempt{};
  StopReason m_reason{};
  bool m_checkpoint = false;
};

// The worker limits the job to the resources it was given there.
struct ThrottleTask {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_worker;
};

struct RefuseJob {
  JobId m_job{};
  bool m_ran = false;  // It may have run; false: it provably never did.
  std::string m_why;
};

// The job's outcome is unknown: it must run at most once and may have run.
struct MarkUncertain {
  JobId m_job{};
  std::string m_why;
};

struct QuarantineWorker {
  WorkerId m_worker;
  std::string m_why;
};

// The worker's quarantine ended.
struct ReleaseWorker {
  WorkerId m_worker;
};

// Blocks of the guarantee can't be had with the workers as they are.
struct GuaranteeBroken {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
  std::string m_remedy;  // What would restore it, in words.
};

struct GuaranteeRestored {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
};

using Decision = std::variant<StartGang, StopGang, ThrottleTask, RefuseJob, MarkUncertain, QuarantineWorker,
                              ReleaseWorker, GuaranteeBroken, GuaranteeRestored>;
using Decisions = std::vector<Decision>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Refusals and waiting
//-------------------------------------------------------------------------------------------------

struct UnknownMarket {};
struct UnknownAccount {};
struct UnknownClass {};
struct DeadlinePassed {};
struct TooManyWaiting {
  int m_limit = 0;
};

struct OverAccountLimit {
  int m_accelerators = 0;
  int m_limit = 0;
};

// No worker, rack or run of neighbouring racks of the domain could hold the job, even empty.
struct NeverFits {
  std::string m_why;
};

using Refusal = std::variant<UnknownMarket, UnknownAccount, UnknownClass, DeadlinePassed, TooManyWaiting,
                             OverAccountLimit, NeverFits>;
std::string ToString(const Refusal& refusal);

// A guarantee that can't be met together with all others.
struct UnsatisfiableGuarantee {
  AccountId m_account;
  std::string m_shape;
  std::string m_why;
};

// Why a job is in its present state: a sentence for operators, ids for programs.
struct Explanation {
  std::string m_state;                 // "waiting", "starting", "running", "stopping", "unknown".
  std::string m_why;                   // One sentence.
  std::vector<JobId> m_behind;         // Jobs that would have to end or start first; at most a few.
  std::vector<std::string> m_borrows;  // Guarantees whose idle accelerators it runs on, as "account/shape".
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Statistics
//-------------------------------------------------------------------------------------------------

struct SchedulerStats {
  int m_accelerators = 0;  // Of workers that may take work.
  int m_free = 0;          // Of those accelerators, not allocated.
  int m_waiting_jobs = 0;
  int m_running_jobs = 0;
  double m_fragmentation = 0.0;  // Share of the free ones that can't serve the largest waiting or guaranteed shape.
  double m_largest_gang_share = 1.0;  // Largest gang that could start now, over the free ones; 1 where none is free.
  int m_broken_guarantees = 0;
  int m_quarantined_workers = 0;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Scheduler
//-------------------------------------------------------------------------------------------------

// Not thread-safe: a single owner applies events in order.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Applies one event and returns the resulting decisions. Events about unknown jobs, old attempts or unknown workers
  // are late or repeated ones and change nothing.
  virtual Decisions Apply(const Event& event, Instant now) = 0;

  // Checks whether a job may be accepted. The caller then records the job and applies JobSubmitted.
  virtual Result<Done, Refusal> Admit(const JobSpec& spec, Instant now) const = 0;

  // Checks whether this market's guarantees can be met together with those of all other markets.
  virtual Result<Done, UnsatisfiableGuarantee> CheckMarket(const Market& market) const = 0;

  virtual Explanation Explain(JobId job, Instant now) const = 0;
  virtual SchedulerStats CollectStats() const = 0;
};

}  // namespace hickoryquay::policy
