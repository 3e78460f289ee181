// Scheduler: decides which task runs on which worker. A state machine without I/O or clocks; a driver carries out its
// commands.
//
// Order of the actions on a worker:
//   1. A run is placed and its step is marked as changed; nothing is sent.
//   2. TakeBatch returns the changed rows and the starts that depend on them; the driver stores the rows.
//   3. The starts are sent after the rows are stored, unless the run was stopped meanwhile (see MaySend).
//   4. An end that a worker lists also changes a row; the worker may drop the end once that row is stored.
// So the rows name every run that may exist after a takeover, and an end is always known to the rows or the worker.
//
// Resources of a run are released only after its worker lists its end, or after it is certain that it can't run there.
//
// What it hands to the driver is in commands.h.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/archived_jobs.h"
#include "hickoryquay/jobs/commands.h"
#include "hickoryquay/jobs/evacuation.h"
#include "hickoryquay/jobs/idle_jobs.h"
#include "hickoryquay/jobs/incarnation.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/preemption.h"
#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/jobs/scheduler_settings.h"
#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/jobs/worker_choice.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

struct Now {
  Instant m_steady;  // For timeouts.
  Instant m_wall;    // For objectives and timed jobs.
};

// Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(const SchedulerSettings& settings);
  ~Scheduler();

  // Restore the state from the rows of an earlier scheduler; call before the first Decide. Steps of unknown jobs are
  // logged and ignored.
  void RestoreJob(const AcceptedJob& job);
  void RestorePhase(JobId job, JobPhase phase, Instant since);
  void RestoreStep(const StepRow& row);
  // A row of a step that can't be read. Call after RestoreStep of all others. None of its units is started here, and
  // the row stays as it is, so that a later leader may read it.
  void RestoreUnreadStep(const StepRowKey& row);
  // Call once all is restored and cancels are applied. Ends jobs whose last end is stored and whose phase is not: the
  // leader before was lost between the two. O(tasks of open jobs).
  void EndRestoredJobs(Now now);

  void OnJob(const AcceptedJob& job, Now now);  // Ignores a job that exists already.
  void OnCancel(JobId job, Now now);
  void SetConfiguration(std::shared_ptr<const QueueConfiguration> configuration);

  void OnWorkerListed(const WorkerEntry& worker, Now now);    // Also when it has changed.
  void OnWorkerUnlisted(const WorkerId& worker);              // Gets no new tasks; running ones continue.
  void SetWorkerUsable(const WorkerId& worker, bool usable);  // It answers and has accepted this scheduler's epoch.

  void OnWorkerSilent(const WorkerId& worker, Now now);  // A call got no answer.

  // Sets the failure domains to which nothing new may be sent. Runs there go on; those that are not sent yet are
  // withdrawn and placed elsewhere. Workers of a domain that is lifted return in steps, see evacuation.h.
  void SetEvacuated(std::set<DomainId> domains, Now now);
  std::map<DomainId, EvacuatedDomain> EvacuatedDomains() const;  // Includes domains that no worker has.

  // Sets the failure domains whose workers don't answer. Nothing new is placed there, and what is not sent yet is
  // placed elsewhere.
  void SetLost(std::set<DomainId> domains, Now now);

  // All runs that were placed on the worker have ended. They can't start again, unless it may return under its id while
  // a copy of their start is under way: such a run is kept, and the worker stays busy, until it is certain.
  void OnWorkerCleared(const WorkerId& worker, WorkerLoss loss, Now now);
  // If the reply is of another incarnation than the one before, the runs of that one are resolved; see incarnation.h.
  void OnPollReply(const WorkerId& worker, const PollReply& reply, Instant sent, Now now);
  void OnStartSent(const StartCommand& command, Now now);
  void OnStartAnswer(const StartCommand& command, StartOutcome outcome, Now now);
  void OnStopAnswer(const StopCommand& command, StopOutcome outcome, Now now);

  // Places waiting units of the jobs in `placed` and starts preemptions for them, unless `places` is false. Call after
  // every event, and at least every 100 ms.
  void Decide(Now now, bool places = true, const JobFilter& placed = {});

  // Starts without an answer, to be sent again unchanged; a worker that already has the run accepts them.
  std::vector<StartCommand> TakeResends(Instant now, const JobFilter& sent = {});

  // Empty if nothing changed. A single row is returned even if it exceeds max_bytes.
  Batch TakeBatch(std::size_t max_rows, std::size_t max_bytes);
  std::vector<StopCommand> TakeStops(Now now);  // May be sent immediately.

  std::vector<GuaranteeStart> TakeGuaranteeStarts() { return std::exchange(m_guarantee_starts, {}); }
  std::vector<ReplacedRun> TakeReplacedRuns() { return std::exchange(m_replaced_runs, {}); }

  // The store rejects the row for good: it is not written again, and none of its units is started any more.
  void SetAside(const StepRowKey& row);
  void WithholdEnds(const WorkerId& worker);  // Some are in no row: none is handed out as recorded any more.
  // Returns each job once. Call only when every batch taken so far is stored.
  std::vector<SettledJob> TakeSettledJobs();
  // These jobs were moved elsewhere at that version of the store: the next batches delete their rows.
  void OnArchived(const std::vector<JobId>& jobs, Version moved, Now now);
  const ArchivedJobs& Archived() const { return m_archived; }
  void DeleteRow(std::string key) { m_removed_rows.push_back(std::move(key)); }

  // False if the run was stopped after its start was handed out. True for a resend while its run is not stopped.
  bool MaySend(const StartCommand& command) const;
  void OnStartWithheld(const StartCommand& command, Now now);  // It was handed out and not sent, see MaySend.
  bool IsBusy(const WorkerId& worker) const;                   // A run is or may be there.
  // The state of a run there can only be resolved by a poll sent after `last`.
  bool NeedsPoll(const WorkerId& worker, Instant last) const;
  bool HasUnrecordedRuns(const WorkerId& worker) const;  // Until a poll shows that they have ended.
  std::vector<OccupiedWorker> OccupiedWorkers() const;   // Includes workers of restored runs.

  std::map<QueueName, int> Pending() const;  // Jobs without a started task, by queue.
  SchedulerCounts Counts() const;
  std::uint64_t JobBytes() const { return m_job_bytes; }  // Estimate of the memory that all jobs take.
  const std::map<AccountId, std::uint64_t>& AccountBytes() const { return m_account_bytes; }  // The same, by account.
  // Accepted jobs of which nothing runs, and jobs with a step that lasts and is interrupted; in the order of
  // acceptance, the first `most`. Timed jobs that are not due are left out. O(open jobs + most * workers).
  std::vector<IdleJob> IdleJobs(std::size_t most, Now now) const;
  void LogRestoredJobs() const;                    // One line for each open job. Call after EndRestoredJobs.
  std::optional<JobPhase> Phase(JobId job) const;  // May not be stored yet; empty: unknown job.

 private:
  // scheduler.cc
  JobState* Find(JobId job);
  StepState* FindOrCreateStep(JobState* job, int occurrence, int step);
  void CreateDueSteps(JobState* job, Now now);
  static StepRowKey RowOf(const Unit& unit) { return {unit.m_step->m_key, unit.m_first / kUnitsPerRow}; }
  void MarkChanged(const Unit& unit) { m_changed_rows.insert(RowOf(unit)); }
  void SetPhase(JobState* job, JobPhase phase, Now now);
  void FinishIfComplete(JobState* job, Now now);
  void EndJob(JobState* job, JobPhase phase, Now now);
  void ForgetArchivedJobs(Now now);
  StepRow MakeStepRow(const StepState& step, int index) const;

  // scheduler_runs.cc
  void OnTaskEnd(WorkerSlot* slot, const EndedTask& end, Now now);
  void NoteBegun(JobState* job, Now now);
  void NoteRunning(const Unit& unit, Now now);
  void OnRunning(WorkerSlot* slot, const RunningTask& running, Now now);
  void CheckPace(WorkerSlot* slot, const PollReply& reply, Now now);
  std::pair<Unit*, std::size_t> FindMember(const TaskKey& task);
  void RecordProgress(WorkerSlot* slot, const PollReply& reply, Now now);
  void ClearIfSound(Unit* unit);
  void RecordSpeed(const Unit& unit, Member* member, Now now);
  void DoubtWorker(WorkerSlot* slot, StepState* step, Now now);
  void RecordFailure(Unit* unit, RunNumber run, Now now);
  void RecordDone(Unit* unit, Now now);
  void Settle(Unit* unit, std::size_t member);
  void SettleAbsent(WorkerSlot* slot, const PollReply& reply, Instant sent, Now now);
  void StopRun(Unit* unit, const char* why, Interruption interruption = Interruption::kOther);

  // scheduler_restart.cc
  void OnIncarnation(WorkerSlot* slot, const PollReply& reply, Instant sent, Now now);
  bool MayStartLate(const WorkerSlot& slot, const Member& member, Now now) const;
  void StopLateStart(Unit* unit, std::size_t member, const char* why, Now now);
  void ResolveAfterRestart(const UnitMember& placed, const LostWorker& lost, const PollReply& reply, Instant sent,
                           Now now);
  void RecordCrash(Unit* unit, std::size_t member, const LostWorker& lost, Now now);
  static LostWorker Describe(const WorkerSlot& slot, WorkerLoss loss, Now now);
  void LoseRun(Unit* unit, std::size_t member, const LostWorker& lost, Now now);
  void NoteLost(Unit* unit, std::size_t member, Now now);
  void ResetUnit(Unit* unit);

  // scheduler_evacuation.cc
  void ReturnWorkers(Now now);
  void WithdrawUnsent(WorkerSlot* slot, const char* why);

  // scheduler_idle.cc
  IdleCause CauseOfWaiting(const Unit& unit, RoomCensus* room, Now now) const;
  std::optional<IdleJob> DescribeIdleUnit(const StepState& step, Now now) const;
  std::optional<IdleJob> DescribeIfIdle(const JobState& job, bool runs, Now now) const;

  // scheduler_place.cc
  struct Turn {  // Of a step in a round: of its units that were placed before, as the key says, or of all.
    SchedulingKey m_key;
    StepState* m_step = nullptr;
  };
  double RequiredFreeShare(const Unit& unit, Now now) const;
  bool KeepsReserveFrom(const JobState& state, Now now) const;
  bool LeavesTooFewFree(const Unit& unit, Now now) const;
  bool PrefersDataRack(const Unit& unit, Now now) const;
  bool HasWaitedLongEnough(const StepState& step, Now now) const;
  bool IsRackOptional(const Unit& unit, Now now) const;
  bool FitsIntoFreeRoom(const Unit& unit, int times);
  bool HasAmpleRoom(const Unit& unit);
  void NoteHeldBack(const Unit& unit, Now now);
  void NoteStopping(Now now);
  Millis WaitBeforeTakeover(const StepState& step, Millis bound, Now now) const;
  std::vector<Turn> ReadySteps(Now now, const JobFilter& placed);
  const Candidates& CandidatesFor(const Unit& unit);
  const PoolPace& PaceOf(const PoolName& pool, Now now);
  ChoiceInput InputFor(const Unit& unit, Now now);
  void PlaceStep(const Turn& turn, Now now);
  Unit* PlaceUnits(const Turn& turn, Now now);
  bool TryPlace(Unit* unit, Now now, std::optional<RankedWorkers>* ranked = nullptr);
  bool PlaceOn(Unit* unit, const std::vector<WorkerSlot*>& slots, Now now);
  void EvacuateDraining(Now now);
  void PlaceAlone(Unit* unit, Now now);
  void ReleaseHeldWorkers(Unit* unit);
  PreemptionRound MakeRound(Now now) const;
  void ReleaseReservation(Unit* unit);
  void DropReservations(Now now);
  std::optional<PreemptionPlan> FindPlan(Unit* unit, Now now);
  bool PreemptFor(Unit* unit, Now now);

  SchedulerSettings m_settings;
  std::shared_ptr<const QueueConfiguration> m_configuration;
  std::map<JobId, std::unique_ptr<JobState>> m_jobs;
  std::map<JobId, JobState*> m_open_jobs;  // Those of m_jobs that have not ended: few of many at most times.
  std::uint64_t m_job_bytes = 0;           // Of m_jobs, see MemoryOf.
  std::map<AccountId, std::uint64_t> m_account_bytes;
  std::map<std::pair<PoolName, int>, Instant> m_last_jobs;  // By pool and priority: the last arrival, steady time.
  WorkerTable m_workers;
  std::set<DomainId> m_evacuated;
  std::set<DomainId> m_lost;                   // Failure domains that don't answer.
  std::set<StepRowKey> m_changed_rows;         // Their rows must be written.
  std::map<JobId, JobPhase> m_changed_phases;  // Their rows must be written.
  std::vector<StartCommand> m_unsent_starts;   // Wait until their rows are stored.
  std::vector<StartCommand> m_resends;         // Their rows are stored already.
  std::vector<std::string> m_removed_rows;     // Keys of rows to delete.
  UnitSet m_active;                            // Units with a member that has resources allocated.
  std::set<std::pair<WorkerId, std::pair<TaskKey, RunNumber>>> m_unrecorded_runs;  // In no row.
  // Caches, valid until the end of the current Decide.
  std::map<std::pair<PoolName, std::string>, Candidates> m_candidates;  // By pool and label.
  std::map<PoolName, PoolPace> m_paces;
  PoolRooms m_rooms;
  Guarantees m_guarantees;
  std::vector<GuaranteeStart> m_guarantee_starts;  // Not taken yet.
  std::vector<ReplacedRun> m_replaced_runs;        // Not taken yet.
  ArchivedJobs m_archived;
  Instant m_first_placement;  // Steady time of the first Decide that places; 0: none yet.
  int m_starts = 0;
  int m_preemptions = 0;
  int m_lost_runs = 0;
  int m_lost_ends = 0;
  int m_lost_workers = 0;  // Since construction; restarts included, ends of leases not.
};

}  // namespace hickoryquay::jobs
