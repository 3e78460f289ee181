// Scheduler: which task of which job runs on which worker, as a state machine without I/O or clocks.
//
// Order of everything that touches a worker:
//   1. A run is placed and its step marked as changed; nothing is sent.
//   2. TakeBatch hands out the changed rows with the starts that wait for them; the driver stores the rows.
//   3. Only then are the starts sent (IsStillPlanned filters those that were overtaken by a cancel).
//   4. An end that a worker lists changes a row too; the worker may forget it once that row is stored.
// So after a takeover the rows name every run that may exist, and no end is forgotten by both sides.
//
// Room on a worker is given back only when the end is listed, or when it is proved that the run never ran there.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] What the driver carries out
//   [SECTION] Scheduler
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

// What a waiting unit is ordered by.
struct SchedulingKey {
  int m_priority = 0;
  Instant m_accepted;  // Wall time.
  Instant m_deadline;  // Wall time until which its job earns in full, by the caller's estimates.
};

// Whether the first one goes first.
using SchedulingOrder = bool (*)(const SchedulingKey&, const SchedulingKey&);
bool EarliestDeadlineFirst(const SchedulingKey& a, const SchedulingKey& b);  // Within one priority.
bool FirstComeFirstServed(const SchedulingKey& a, const SchedulingKey& b);   // Whatever the priority: a baseline.

struct SchedulerSettings {
  SchedulingOrder m_order = &EarliestDeadlineFirst;
  bool m_preempts = true;            // Urgent units may stop others to make room.
  Millis m_stop_timeout{1'000};      // A worker ends a stopped task within this.
  double m_remote_factor = 3.0;      // Slowdown of a gang across racks, or of a task away from its data.
  Millis m_restore{250};             // What a start from a checkpoint costs.
  Millis m_keep_ended{120'000};      // Rows of an ended job are kept this long.
  Millis m_stop_retry_delay{300};    // A stop that brought no answer is sent again after this.
  Millis m_avoid_refusing_for{500};  // A worker that refused a start gets no other for this long.
  int m_max_start_resends = 3;       // Of a start without an answer; then the run is stopped.
  Millis m_max_early_start{50};      // Timed work may start this much before its time.
  Millis m_spread_after{1'000};      // A rack-local gang of a guarantee that found no rack by then takes any workers.
  Millis m_reservation_margin{500};  // Room that is made for a unit is kept this long beyond the stop timeout.
  // Shares of all accelerators that a start must leave free for more urgent work. From rounds on heavy days: less makes
  // urgent work wait for stops and throws work away, more leaves batch work behind (docs/design/platform.md).
  double m_min_free_share = 0.2;         // Of priority 1.
  double m_min_free_share_batch = 0.3;   // Of lower priorities.
  double m_min_free_share_tight = 0.05;  // Of work whose slack is below m_tight_slack_share of its estimate.
  double m_tight_slack_share = 0.5;
  // What urgent work may throw away by stopping others, in core-seconds: the least, and times what it takes itself.
  // From the users' prices: a core-second thrown away and done again costs them 0.003, and an urgent job that starts at
  // once instead of late is worth 0.96 and 0.006 more for each core-second that it takes.
  double m_max_lost_core_s = 300.0;
  double m_max_lost_share = 2.0;
  Millis m_leave_margin{300};  // Work that saves its progress leaves a worker this much before it has to.
  double m_evacuate_share =
      0.8;                      // Work that has this part of its estimate before it when its worker leaves starts anew.
  Millis m_min_pace_span{500};  // Shorter spans don't tell how fast a task works.
  double m_slow_pace_share = 0.4;  // Below this part of its usual pace a task has slowed down.
  Millis m_avoid_slow_for{2'500};  // A worker on which most tasks have slowed down gets nothing new for this long: a
                                   // look that finds nothing new comes back after 2 s.
  int m_speed_min_tasks = 4;       // Steps of fewer tasks don't compare workers.
  int m_speed_min_samples = 3;  // So many tasks of a step must have finished before another one is compared with them.
  double m_speed_step = 0.1;    // Of logarithms: smaller differences of speed don't count.
};

struct Now {
  Instant m_steady;  // For timeouts.
  Instant m_wall;    // For objectives and timed work.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] What the driver carries out
//-------------------------------------------------------------------------------------------------

struct StartCommand {
  WorkerId m_worker;
  TaskKey m_task;
  RunNumber m_run{};
  std::shared_ptr<const std::string> m_payload;
  std::string m_checkpoint;
};

struct StopCommand {
  WorkerId m_worker;
  TaskKey m_task;
  RunNumber m_run{};
};

// Ends up to m_number of this worker stand in rows.
struct RecordedEnds {
  WorkerId m_worker;
  std::int64_t m_number = 0;
};

struct PhaseChange {
  JobId m_job{};
  JobPhase m_phase = JobPhase::kQueued;
  int m_priority = 0;
  Instant m_accepted;  // Wall time.
};

// Rows to store in one transaction, and what may be done once they are.
struct Batch {
  std::vector<RowChange> m_rows;
  std::vector<StartCommand> m_starts;
  std::vector<RecordedEnds> m_recorded_ends;
  std::vector<PhaseChange> m_phases;
  std::vector<JobId> m_deleted_jobs;  // Jobs whose intake rows may go too.

  bool Empty() const { return m_rows.empty() && m_recorded_ends.empty() && m_deleted_jobs.empty(); }
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Scheduler
//-------------------------------------------------------------------------------------------------

struct SchedulerCounts {
  int m_waiting_units = 0;
  int m_active_units = 0;
  int m_starts = 0;       // Of single tasks, since the beginning.
  int m_preemptions = 0;  // Of units.
  int m_used_accelerators = 0;
  int m_accelerators = 0;
};

// Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(const SchedulerSettings& settings);
  ~Scheduler();

  // Before the first Decide, from the rows that an earlier scheduler left. Steps of unknown jobs are dropped and
  // logged.
  void RestoreJob(const AcceptedJob& job);
  void RestorePhase(JobId job, JobPhase phase, Instant since);
  void RestoreStep(const StepRow& row);

  void OnJob(const AcceptedJob& job, Now now);  // A job that is known already is left alone.
  void OnCancel(JobId job, Now now);
  void SetConfiguration(std::shared_ptr<const QueueConfiguration> configuration);

  void OnWorkerListed(const WorkerEntry& worker, Now now);    // New, or changed.
  void OnWorkerUnlisted(const WorkerId& worker);              // Gets no new work; what runs there may go on.
  void SetWorkerUsable(const WorkerId& worker, bool usable);  // It answers and knows this scheduler's epoch.

  // Everything that was placed on the worker before has ended and can't come back.
  void OnWorkerCleared(const WorkerId& worker);
  void OnPollReply(const WorkerId& worker, const PollReply& reply, Instant sent, Now now);
  void OnStartSent(const StartCommand& command, Now now);
  void OnStartAnswer(const StartCommand& command, StartOutcome outcome, Now now);
  void OnStopAnswer(const StopCommand& command, StopOutcome outcome, Now now);

  // Places what can be placed, and stops what has to make room. Call after every event, and once every 100 ms.
  void Decide(Now now);

  // Starts without an answer, to be sent again as they were: a worker that has the run already says so.
  std::vector<StartCommand> TakeResends();

  // Empty where nothing changed. One row is handed out however large it is.
  Batch TakeBatch(std::size_t max_rows, std::size_t max_bytes);
  std::vector<StopCommand> TakeStops(Now now);  // May be sent at once.
  bool IsStillPlanned(const StartCommand& command) const;
  bool IsBusy(const WorkerId& worker) const;  // Something runs there, or may.
  // Something there is settled only by a look that was sent after `last`.
  bool NeedsPoll(const WorkerId& worker, Instant last) const;
  std::vector<std::pair<WorkerId, std::string>> OccupiedWorkers() const;  // With addresses; those of restored runs too.

  std::map<QueueName, int> Pending() const;  // Accepted jobs of which no task has started, by queue.
  SchedulerCounts Counts() const;
  std::optional<JobPhase> Phase(JobId job) const;  // As decided, maybe not stored yet; empty: unknown.

 private:
  // scheduler.cc
  JobState* Find(JobId job);
  StepState* FindOrCreateStep(JobState* job, int occurrence, int step);
  void CreateDueSteps(JobState* job, Now now);
  void MarkChanged(StepState* step) { m_changed_steps.insert(step->m_key); }
  void SetPhase(JobState* job, JobPhase phase, Now now);
  void FinishIfComplete(JobState* job, Now now);
  void EndJob(JobState* job, JobPhase phase, Now now);
  void RemoveExpiredJobs(Now now);
  StepRow MakeStepRow(const StepState& step) const;

  // scheduler_runs.cc
  void OnTaskEnd(WorkerSlot* slot, const EndedTask& end, Now now);
  void OnRunning(WorkerSlot* slot, const RunningTask& running, Now now);
  void CheckPace(WorkerSlot* slot, const PollReply& reply, Now now);
  std::pair<Unit*, std::size_t> FindMember(const TaskKey& task);
  void RecordSpeed(const Unit& unit, const Member& member, Now now);
  void RecordFailure(Unit* unit, RunNumber run, Now now);
  void RecordDone(Unit* unit, Now now);
  void Settle(Unit* unit, std::size_t member);
  void SettleAbsent(WorkerSlot* slot, const PollReply& reply, Instant sent);
  void StopRun(Unit* unit, const char* why);
  void ResetUnit(Unit* unit);

  // scheduler_place.cc
  // Workers for all members of a unit, and the runs that have to end first.
  struct HostOption;
  struct PreemptionPlan {
    std::vector<WorkerSlot*> m_slots;
    UnitSet m_victims;
    double m_cost = 0.0;  // Core-seconds of work thrown away.
  };

  // Accelerators of workers that take work.
  struct AcceleratorCount {
    int m_free = 0;
    int m_total = 0;
  };

  AcceleratorCount CountAccelerators() const;
  double RequiredFreeShare(const Unit& unit, Now now) const;
  Instant ObjectiveDeadline(const JobState& job, int occurrence) const;
  std::vector<StepState*> ReadySteps(Now now);
  const WorkerTable::RackMap& RacksFor(const Unit& unit);
  std::vector<WorkerSlot*> ChooseWorkers(const Unit& unit, const std::vector<WorkerSlot*>& candidates, Now now) const;
  void PlaceStep(StepState* step, AcceleratorCount* accelerators, Now now);
  bool TryPlace(Unit* unit, Now now);
  bool PlaceOn(Unit* unit, const std::vector<WorkerSlot*>& slots, Now now);
  void EvacuateDraining(Now now);
  bool WithinGuarantee(const Unit& unit);
  double LostWork(const Unit& unit, Now now) const;
  bool MayPreempt(const Unit& victim, const Unit& unit) const;
  void EvaluateOption(const Unit& unit, const UnitSet& chosen, Now now, HostOption* offer) const;
  std::optional<PreemptionPlan> PlanPreemption(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                               Now now) const;
  double MaxLostWork(const Unit& unit) const;
  bool PreemptFor(Unit* unit, Now now);

  SchedulerSettings m_settings;
  std::shared_ptr<const QueueConfiguration> m_configuration;
  std::map<JobId, std::unique_ptr<JobState>> m_jobs;
  WorkerTable m_workers;
  std::set<StepKey> m_changed_steps;                                               // Rows to write.
  std::map<JobId, JobPhase> m_changed_phases;                                      // Rows to write.
  std::vector<StartCommand> m_unsent_starts;                                       // Wait for their rows.
  std::vector<StartCommand> m_resends;                                             // Stand in rows already.
  std::vector<std::string> m_removed_rows;                                         // Keys.
  std::vector<JobId> m_deleted_jobs;                                               // Jobs whose rows are removed.
  UnitSet m_active;                                                                // With members that are not settled.
  std::set<std::pair<WorkerId, std::pair<TaskKey, RunNumber>>> m_unrecorded_runs;  // Run, but stand in no row.
  // Computed at need, and true until the end of the Decide that did.
  std::map<std::pair<PoolName, std::string>, WorkerTable::RackMap> m_racks;  // By pool and label.
  std::map<AccountId, int> m_urgent_demand;  // Accelerators of all jobs of priority 0 that have not ended.
  bool m_urgent_demand_valid = false;
  Instant m_next_expiry_check;  // Steady time: old jobs are looked for again.
  int m_starts = 0;
  int m_preemptions = 0;
};

}  // namespace hickoryquay::jobs
