// Cluster: the workers, client accounts, classes of work and jobs of a failure domain, and which job holds which
// resources. Names are interned to indices; sums per worker, rack and client account are kept up to date.
//
// Terms: a call is an account's demand for accelerators of its guarantee that borrowers use at present. A plan keeps
// room for a waiting job until all of it is free (plans.h). Pinned work can't be stopped for other work.
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

// Accelerators of one worker that one client account holds.
struct AccountUse {
  AccountIndex m_account = kNone;
  int m_held = 0;                // Including m_stopping.
  int m_stopping = 0;            // Part of m_held: by jobs that are being stopped.
  int m_reserved_for_calls = 0;  // For calls of the account.

  int Used() const { return m_held - m_stopping + m_reserved_for_calls; }
};

struct WorkerEntry {
  Worker m_worker;
  RackIndex m_rack = kNone;
  bool m_present = false;          // Joined, and not lost since.
  bool m_ever_joined = false;      // Joined at least once, so its capacity is known.
  bool m_leaving = false;          // Takes no new work.
  bool m_quarantined = false;      // Takes no new work.
  bool m_trial = false;            // Released from quarantine: runs one job at a time until one succeeds.
  Resources m_allocated;           // To gang parts that are starting, running or stopping.
  Resources m_stopping;            // Part of m_allocated: becomes free when the stops are answered.
  Resources m_reserved;            // For plans; not available to other jobs.
  Resources m_reserved_for_calls;  // Part of m_reserved: for calls.
  Resources m_overuse;             // Reported use beyond m_allocated.
  int m_available = 0;             // Accelerators that any job may take now; 0 if not usable.
  int m_counted_capacity = 0;      // Accelerators included in the capacity of the rack.
  std::vector<JobIndex> m_jobs;
  std::vector<AccountUse> m_uses;

  bool Usable() const { return m_present && !m_leaving && !m_quarantined; }
  int AcceleratorsUsedBy(AccountIndex account) const;  // Held or reserved for calls, without those being stopped.
  Resources Unallocated() const;                       // Capacity minus m_allocated; may be negative.
  Resources Available() const;                         // Unallocated() minus m_overuse and m_reserved.
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
  int m_started_by_call = 0;  // Part of m_held: by jobs that were started by a call.
  int m_waiting = 0;          // Jobs.
  double m_weight = 0.5;      // The market's weight of completion time, 0 to 1.
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

// What to do with a job once it has stopped.
enum class AfterStop { kRequeue, kForget, kRefuse, kUncertain };

// The tasks of a gang on one worker.
struct Part {
  WorkerIndex m_worker = kNone;
  int m_tasks = 0;
  Resources m_allocated;
  Instant m_throttled;  // Time of the last throttle; 0: never.
};

struct JobEntry {
  JobId m_id{};
  AccountIndex m_account = kNone;
  ClassIndex m_class = kNone;
  GangShape m_shape;
  bool m_once = false;    // Runs at most once.
  bool m_pinned = false;  // Can't be stopped for others: runs at most once, or neither preemptible nor checkpointable.
  bool m_may_have_run = false;
  bool m_failure_counted = false;  // The current attempt is counted in the failures.
  Phase m_phase = Phase::kWaiting;
  AfterStop m_after_stop = AfterStop::kRequeue;
  std::string m_why;  // Reason reported if m_after_stop is kRefuse or kUncertain.
  Attempt m_attempt{};
  int m_failures = 0;      // Attributed to the job itself.
  int m_all_failures = 0;  // Of any cause.
  Millis m_declared_run{0};
  Instant m_deadline;  // 0: none.
  Instant m_accepted;
  Instant m_queued;      // When it was last queued.
  Instant m_not_before;  // Earliest next start, after a failed one.
  Instant m_started;
  Instant m_stop_requested;
  Instant m_last_moved;  // When it was last stopped to be moved.
  StopReason m_stop_reason{};
  bool m_stop_checkpoint = false;
  Millis m_attained{0};
  Resources m_observed_task;  // Maximum use reported for one task.
  std::vector<Part> m_parts;
  std::vector<WorkerIndex> m_failed_on;
  bool m_started_by_call = false;  // Started by a call.
  bool m_planned = false;          // Has a plan.
  std::int32_t m_queue = kNone;    // Queue in which it waits.

  bool Holds() const { return m_phase != Phase::kWaiting; }
  int Accelerators() const { return m_shape.Accelerators(); }
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Cluster
//-------------------------------------------------------------------------------------------------

// Number of tasks of this size that fit into `room`, at most `limit`.
int TasksThatFit(const Resources& room, const Resources& task, int limit);

// Stores state and makes no decisions. Indices stay valid, but those of jobs are reused after RemoveJob.
class Cluster {
 public:
  // Workers. InternWorker adds an entry with m_present = false for an unknown name.
  WorkerIndex InternWorker(const WorkerId& id);
  WorkerIndex FindWorker(const WorkerId& id) const;  // kNone if unknown.
  void Join(const Worker& worker);
  void UpdateSums(WorkerIndex worker);  // Call after changing a flag, reservation or overuse.

  // Accounts and classes.
  AccountIndex InternAccount(const MarketId& market, const AccountId& account);
  AccountIndex FindAccount(const MarketId& market, const AccountId& account) const;
  ClassIndex InternClass(const MarketId& market, const ClassId& id);
  ClassIndex FindClass(const MarketId& market, const ClassId& id) const;

  // Jobs.
  JobIndex AddJob(JobId id);
  JobIndex FindJob(JobId id) const;
  void RemoveJob(JobIndex job);  // The job must hold nothing.

  // Resources of workers. Allocate sets the job's parts, Release clears them.
  void Allocate(JobIndex job, std::vector<Part> parts);
  void Release(JobIndex job);
  void ReleasePart(JobIndex job, WorkerIndex worker);
  void MarkStopping(JobIndex job);

  // Reserves room for a plan. For a call, `calling_account` is the account; for other plans it is kNone.
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
  int Available() const { return m_available; }                      // Accelerators that any job may take now.
  int Capacity() const { return m_capacity; }                        // Accelerators of usable workers.
  int EverJoinedCapacity() const { return m_ever_joined_capacity; }  // Accelerators of all workers that ever joined.
  const Resources& LargestWorker() const { return m_largest; }       // Maximum of each resource over the workers.

  // True if `right` has the position after that of `left`.
  bool AreNeighbours(RackIndex left, RackIndex right) const;

 private:
  RackIndex InternRack(const RackId& id, int position);
  void SortRacks();
  AccountUse& UseOf(WorkerEntry& worker, AccountIndex account);
  static void EraseIfEmpty(WorkerEntry& worker, AccountIndex account);  // If all its counts are 0.
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
  int m_ever_joined_capacity = 0;
  Resources m_largest;
};

}  // namespace hickoryquay::policy
