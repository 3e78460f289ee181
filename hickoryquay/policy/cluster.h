// Cluster: who holds what. Names are interned to indices; sums per worker, rack and client account are kept up to date.
//
// Index of this file:
//   [SECTION] Indices
//   [SECTION] Workers and racks
//   [SECTION] Configuration
//   [SECTION] Jobs
//   [SECTION] Cluster
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::policy {

//-------------------------------------------------------------------------------------------------
// [SECTION] Indices
//-------------------------------------------------------------------------------------------------

using WorkerIndex = std::int32_t;
using RackIndex = std::int32_t;
using AccountIndex = std::int32_t;
using ClassIndex = std::int32_t;
using JobIndex = std::int32_t;
constexpr std::int32_t kNone = -1;

//-------------------------------------------------------------------------------------------------
// [SECTION] Workers and racks
//-------------------------------------------------------------------------------------------------

// What one client account holds on one worker, in accelerators.
struct AccountUse {
  AccountIndex m_account = kNone;
  int m_held = 0;                // Including what is being stopped.
  int m_stopping = 0;            // Of the held.
  int m_reserved_for_calls = 0;  // Promised to its calls on its guarantees.

  int Used() const { return m_held - m_stopping + m_reserved_for_calls; }
};

struct WorkerEntry {
  Worker m_worker;
  RackIndex m_rack = kNone;
  bool m_present = false;          // Joined and not lost since.
  bool m_ever_joined = false;      // Joined at least once, so that its capacity is known.
  bool m_leaving = false;          // Gets nothing new.
  bool m_quarantined = false;      // Gets nothing new.
  bool m_trial = false;            // Back from quarantine: one job at a time until one succeeds.
  Resources m_allocated;           // By parts of gangs, whether starting, running or stopping.
  Resources m_stopping;            // Of the taken: will be free once stops are answered.
  Resources m_reserved;            // Promised to plans; others stay out of it.
  Resources m_reserved_for_calls;  // Of the promised: to calls on guarantees.
  Resources m_overuse;             // Seen beyond what was taken.
  int m_available = 0;             // Accelerators that any job may take now.
  int m_counted_capacity = 0;      // Accelerators counted in the capacity of its rack.
  std::vector<JobIndex> m_jobs;
  std::vector<AccountUse> m_uses;

  bool Usable() const { return m_present && !m_leaving && !m_quarantined; }
  int AcceleratorsUsedBy(
      AccountIndex account) const;  // Accelerators held or called for, without what is being stopped.
  Resources Unallocated() const;    // Capacity less what is taken; may be negative.
  Resources Available() const;      // The untaken less what is overused or promised to plans.
};

struct RackEntry {
  RackId m_id;
  int m_position = 0;
  int m_available = 0;  // Sum over its workers.
  int m_capacity = 0;   // Accelerators of its usable workers.
  std::vector<WorkerIndex> m_workers;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Configuration
//-------------------------------------------------------------------------------------------------

struct AccountEntry {
  MarketId m_market;
  AccountId m_id;
  bool m_configured = false;  // Present in the market's latest document.
  int m_max_accelerators = 0;
  int m_max_waiting = 0;
  int m_guaranteed = 0;       // Accelerators, in this failure domain.
  int m_held = 0;             // Accelerators.
  int m_started_by_call = 0;  // Of the held: by jobs that started by a call on a guarantee.
  int m_waiting = 0;          // Jobs.
  double m_weight = 0.5;      // The market's weight of completion time.
};

struct ClassEntry {
  MarketId m_market;
  bool m_configured = false;  // Present in the market's latest document.
  ClassOfWork m_work;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Jobs
//-------------------------------------------------------------------------------------------------

enum class Phase { kWaiting, kStarting, kRunning, kStopping };

// What becomes of a job once it has stopped.
enum class AfterStop { kRequeue, kForget, kRefuse, kUncertain };

struct Part {
  WorkerIndex m_worker = kNone;
  int m_tasks = 0;
  Resources m_allocated;
  Instant m_throttled;  // When it was last told to use less; 0: never.
};

struct JobEntry {
  JobId m_id{};
  AccountIndex m_account = kNone;
  ClassIndex m_class = kNone;
  GangShape m_shape;
  bool m_once = false;    // Runs at most once.
  bool m_pinned = false;  // Can't be stopped for others: at most once, or neither preemptible nor checkpointable.
  bool m_may_have_run = false;
  bool m_failure_counted = false;  // The present attempt has been counted as failed.
  Phase m_phase = Phase::kWaiting;
  AfterStop m_after_stop = AfterStop::kRequeue;
  std::string m_why;  // Of the refusal or uncertainty to come.
  Attempt m_attempt{};
  int m_failures = 0;      // That count against the job itself.
  int m_all_failures = 0;  // Whoever was at fault.
  Millis m_declared_run{0};
  Instant m_deadline;  // 0: none.
  Instant m_accepted;
  Instant m_queued;      // When it last began to wait.
  Instant m_not_before;  // Backs off after a failed start.
  Instant m_started;
  Instant m_stop_requested;
  Instant m_last_moved;  // By repacking.
  StopReason m_stop_reason{};
  bool m_stop_checkpoint = false;
  Millis m_attained{0};
  Resources m_observed_task;  // Most that one of its tasks was seen to use.
  std::vector<Part> m_parts;
  std::vector<WorkerIndex> m_failed_on;
  bool m_started_by_call = false;  // It started by a call on a guarantee.
  bool m_planned = false;          // A plan keeps room for it.
  std::int32_t m_queue = kNone;    // Where it waits.

  bool Holds() const { return m_phase != Phase::kWaiting; }
  int Accelerators() const { return m_shape.Accelerators(); }
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Cluster
//-------------------------------------------------------------------------------------------------

// How many tasks of this size fit into the room; at most `limit`.
int TasksThatFit(const Resources& room, const Resources& task, int limit);

// Plain bookkeeping: decides nothing. Indices stay valid for ever; those of jobs are used again after Forget.
class Cluster {
 public:
  // Workers. Intern makes an absent entry for a name not seen before.
  WorkerIndex InternWorker(const WorkerId& id);
  WorkerIndex FindWorker(const WorkerId& id) const;  // kNone where unknown.
  void Join(const Worker& worker);
  void UpdateSums(WorkerIndex worker);  // Call after changing a flag, a reservation or overuse of a worker.

  // Accounts and classes.
  AccountIndex InternAccount(const MarketId& market, const AccountId& account);
  AccountIndex FindAccount(const MarketId& market, const AccountId& account) const;
  ClassIndex InternClass(const MarketId& market, const ClassId& id);
  ClassIndex FindClass(const MarketId& market, const ClassId& id) const;

  // Jobs.
  JobIndex AddJob(JobId id);
  JobIndex FindJob(JobId id) const;
  void RemoveJob(JobIndex job);  // It holds nothing any more.

  // Accelerators. Take fills the job's parts; Release empties them.
  void Allocate(JobIndex job, std::vector<Part> parts);
  void Release(JobIndex job);
  void ReleasePart(JobIndex job, WorkerIndex worker);
  void MarkStopping(JobIndex job);

  // Promises room to a plan; to a call on a guarantee where `caller` names an account.
  void Reserve(WorkerIndex worker, const Resources& room, AccountIndex calling_account);
  void Unreserve(WorkerIndex worker, const Resources& room, AccountIndex calling_account);

  WorkerEntry& At(WorkerIndex worker) { return m_workers[worker]; }
  const WorkerEntry& At(WorkerIndex worker) const { return m_workers[worker]; }
  JobEntry& Job(JobIndex job) { return m_jobs[job]; }
  const JobEntry& Job(JobIndex job) const { return m_jobs[job]; }
  AccountEntry& Account(AccountIndex account) { return m_accounts[account]; }
  const AccountEntry& Account(AccountIndex account) const { return m_accounts[account]; }
  ClassEntry& Class(ClassIndex index) { return m_classes[index]; }
  const ClassEntry& Class(ClassIndex index) const { return m_classes[index]; }

  const std::vector<WorkerEntry>& Workers() const { return m_workers; }
  const std::vector<RackEntry>& Racks() const { return m_racks; }
  const std::vector<RackIndex>& RacksByPosition() const { return m_rack_order; }
  const std::vector<AccountEntry>& Accounts() const { return m_accounts; }
  const std::vector<ClassEntry>& Classes() const { return m_classes; }
  const std::unordered_map<JobId, JobIndex>& Jobs() const { return m_job_by_id; }
  int Available() const { return m_available; }                 // Accelerators that any job may take now.
  int Capacity() const { return m_capacity; }                   // Accelerators of usable workers.
  int EverJoinedCapacity() const { return m_seen_capacity; }    // Accelerators of all workers that ever joined.
  const Resources& LargestWorker() const { return m_largest; }  // The most of each resource that one worker has.

  // True where the racks stand at consecutive positions.
  bool AreNeighbours(RackIndex left, RackIndex right) const;

 private:
  RackIndex InternRack(const RackId& id, int position);
  void SortRacks();
  AccountUse& UseOf(WorkerEntry& worker, AccountIndex account);
  static void EraseIfEmpty(WorkerEntry& worker, AccountIndex account);  // Drops a use that has come to nothing.
  void RemovePart(JobIndex job, const Part& part);

  std::vector<WorkerEntry> m_workers;
  std::vector<RackEntry> m_racks;
  std::vector<RackIndex> m_rack_order;
  std::vector<AccountEntry> m_accounts;
  std::vector<ClassEntry> m_classes;
  std::deque<JobEntry> m_jobs;
  std::vector<JobIndex> m_free_jobs;
  std::unordered_map<WorkerId, WorkerIndex> m_worker_by_id;
  std::unordered_map<RackId, RackIndex> m_rack_by_id;
  std::unordered_map<std::string, AccountIndex> m_account_by_name;
  std::unordered_map<std::string, ClassIndex> m_class_by_name;
  std::unordered_map<JobId, JobIndex> m_job_by_id;
  int m_available = 0;
  int m_capacity = 0;
  int m_seen_capacity = 0;
  Resources m_largest;
};

}  // namespace hickoryquay::policy
