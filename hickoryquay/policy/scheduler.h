// Scheduler: the decisions for one failure domain, as a pure function of (state, event, now).
//
// No I/O, no clock, no randomness of its own: the same events at the same times give the same decisions, so that a
// run can be replayed, fuzzed and timed alone. hickoryquay's own policy and the baselines of the bench stand behind
// this one interface.
//
// Index of this file:
//   [SECTION] Events
//   [SECTION] Decisions
//   [SECTION] Refusals and waiting
//   [SECTION] Measures
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

// Opened or changed; already checked and accepted.
struct MarketChanged {
  std::shared_ptr<const Market> m_market;
};

// Its waiting jobs are refused, its running ones stopped.
struct MarketDropped {
  MarketId m_market;
};

// New, or back after it was lost.
struct WorkerJoined {
  Worker m_worker;
};

// Silent for longer than its lease: nothing of ours runs there.
struct WorkerLost {
  WorkerId m_worker;
};

// Gets nothing new; what runs may finish.
struct WorkerLeaving {
  WorkerId m_worker;
};

// By an operator.
struct WorkerQuarantineSet {
  WorkerId m_worker;
  bool m_quarantined = true;
};

// Accepted and recorded; state kWaiting.
struct JobSubmitted {
  Job m_job;
};

// A row found by a new placer; any state that has not ended.
struct JobRestored {
  Job m_job;
};

struct JobCancelled {
  JobId m_job{};
};

// Every part is committed.
struct GangStarted {
  JobId m_job{};
  Attempt m_attempt{};
};

// No part runs any more.
struct GangStartFailed {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_failed_worker;     // The worker that refused or was silent; empty: none of them.
  bool m_may_have_run = false;  // Some part may have run for a while.
};

struct TaskFailed {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_worker;
  std::string m_reason;
};

// Every task finished well.
struct GangFinished {
  JobId m_job{};
  Attempt m_attempt{};
};

// Answers StopGang: no part runs any more.
struct GangStopped {
  JobId m_job{};
  Attempt m_attempt{};
  bool m_checkpointed = false;  // Its work so far is kept.
};

struct TaskUsage {
  JobId m_job{};
  Resources m_used;  // By all tasks of that job on the worker.
};

// Lags behind what it describes.
struct UsageReported {
  WorkerId m_worker;
  std::vector<TaskUsage> m_tasks;
};

struct Tick {};  // Time has passed: timeouts, reclaim limits, repacking.

using Event = std::variant<MarketChanged, MarketDropped, WorkerJoined, WorkerLost, WorkerLeaving, WorkerQuarantineSet,
                           JobSubmitted, JobRestored, JobCancelled, GangStarted, GangStartFailed, TaskFailed,
                           GangFinished, GangStopped, UsageReported, Tick>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Decisions
//-------------------------------------------------------------------------------------------------

enum class StopReason { kReclaim, kCancelled, kOveruse, kRepack, kPartLost, kMarketDropped, kWorkerLeaving };

// Holds its accelerators until GangStarted, GangStartFailed or GangFinished answers it.
struct StartGang {
  JobId m_job{};
  Attempt m_attempt{};
  std::vector<Placement> m_placements;
};

// Its accelerators stay taken until GangStopped answers it.
struct StopGang {
  JobId m_job{};
  Attempt m_attempt{};
  StopReason m_reason{};
  bool m_checkpoint = false;
};

struct ThrottleTask {
  JobId m_job{};
  Attempt m_attempt{};
  WorkerId m_worker;
};

// m_ran false: it provably never ran.
struct RefuseJob {
  JobId m_job{};
  bool m_ran = false;
  std::string m_why;
};

// Not to be repeated and may have run.
struct MarkUncertain {
  JobId m_job{};
  std::string m_why;
};

struct QuarantineWorker {
  WorkerId m_worker;
  std::string m_why;
};

// Its quarantine ended.
struct ReleaseWorker {
  WorkerId m_worker;
};

struct GuaranteeBroken {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
  std::string m_remedy;
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

// Larger than any worker, rack or run of racks of the domain.
struct NeverFits {
  std::string m_why;
};

using Refusal = std::variant<UnknownMarket, UnknownAccount, UnknownClass, DeadlinePassed, TooManyWaiting,
                             OverAccountLimit, NeverFits>;
std::string ToString(const Refusal& refusal);

// A guarantee that could not be honoured together with all others.
struct UnsatisfiableGuarantee {
  AccountId m_account;
  std::string m_shape;
  std::string m_why;
};

// What holds a job, in words for people and ids for programs.
struct Explanation {
  std::string m_state;                 // "waiting", "starting", "running", "stopping", "unknown".
  std::string m_why;                   // One sentence.
  std::vector<JobId> m_behind;         // Jobs that would have to end or start first; at most a handful.
  std::vector<std::string> m_borrows;  // Guarantees whose idle accelerators it runs on, as "account/shape".
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Measures
//-------------------------------------------------------------------------------------------------

struct SchedulerStats {
  int m_accelerators = 0;  // Of workers that may take work.
  int m_free = 0;          // Of those, not taken.
  int m_waiting_jobs = 0;
  int m_running_jobs = 0;
  double m_fragmentation = 0.0;       // Share of the free that can't serve the largest waiting or guaranteed shape.
  double m_largest_gang_share = 1.0;  // Largest gang that could start now over the free; 1 where none is free.
  int m_broken_guarantees = 0;
  int m_quarantined_workers = 0;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Scheduler
//-------------------------------------------------------------------------------------------------

// Not thread-safe: one owner feeds it events in order.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Applies one event and returns what is to be done. Events about unknown jobs, old attempts or unknown workers are
  // late or repeated ones and change nothing.
  virtual Decisions Apply(const Event& event, Instant now) = 0;

  // Whether a job may be accepted. Changes nothing; the caller records the job, then applies JobSubmitted.
  virtual Result<Done, Refusal> Admit(const JobSpec& spec, Instant now) const = 0;

  // Whether this market's guarantees could be honoured beside those of all others. Changes nothing.
  virtual Result<Done, UnsatisfiableGuarantee> CheckMarket(const Market& market) const = 0;

  virtual Explanation Explain(JobId job, Instant now) const = 0;
  virtual SchedulerStats CollectStats() const = 0;
};

}  // namespace hickoryquay::policy
