// Units: the scheduler's state of one job. A unit is the set of tasks that are placed together: a gang, or a single
// task. Each of its tasks is a member.
#pragma once

#include <boost/container/flat_set.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/held_back_time.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/jobs/worker_speed.h"

namespace hickoryquay::jobs {

struct JobState;
struct StepState;
struct WorkerSlot;

enum class MemberState {
  kNone,
  kPlanned,  // Placed; the start was not sent yet.
  kSent,     // The start was sent and has no answer yet.
  kUnknown,  // May be running: the start got no answer, or the run was restored from a row.
  kRunning,
  kSettled,  // The run has ended or can never start.
};

enum class StopState { kNone, kRequested, kSent, kAcknowledged };

// One task of a unit in its current run.
struct Member {
  MemberState m_state = MemberState::kNone;
  StopState m_stop = StopState::kNone;
  WorkerSlot* m_slot = nullptr;  // Where it has resources allocated; nullptr in kNone and kSettled.
  Instant m_born;                // Wall time of the start of its worker's incarnation; 0: not known.
  bool m_restored = false;       // Placed under an earlier epoch, whose commands its worker now refuses.
  int m_resends = 0;             // Of a start that got no answer.
  Instant m_last_sent;           // Steady time of the last copy of the start; 0: not sent by this scheduler.
  Instant m_since;               // Steady time of the last change of m_state.
  Instant m_listed;              // Steady time of the last reply that listed it as running.
  int m_listed_percent = 0;      // Progress in that reply, 0 to 100.
  int m_percent = 0;             // Progress reported at m_percent_at, 0 to 100.
  Instant m_percent_at;          // Steady time; 0: not reported yet.
  int m_first_percent = 0;       // Progress that was made before m_first_percent_at.
  Instant m_first_percent_at;    // Steady time from which its pace is judged.
  RunPace m_pace;
  Instant m_stop_at;           // Steady time: of the answer in kAcknowledged, of the next attempt in kRequested.
  Instant m_stop_sent;         // Steady time of the first stop; 0: not sent yet.
  bool m_stop_failed = false;  // The last stop was not answered.
};

// A run of one member under which its worker crashed; see crash_isolation.h.
struct CrashedRun {
  RunNumber m_run{};
  int m_member = 0;
  bool m_evident = false;  // The unit was alone on the worker and had just begun.
  Millis m_ran{0};         // From the start to the first sign of the crash; 0: not known.

  bool operator==(const CrashedRun&) const = default;
};

// Why a run that did not end as done is over.
enum class Interruption {
  kNone,       // It failed or was refused, or there was none.
  kLost,       // With its worker, or under an earlier scheduler, whose reasons are not known.
  kMoved,      // Stopped, since its worker leaves.
  kPreempted,  // Stopped for more urgent work.
  kOther,      // Stopped for another reason, see StopRun.
};

struct Unit {
  StepState* m_step = nullptr;
  int m_first = 0;  // Index of its first task.
  std::vector<Member> m_members;
  RunNumber m_run{};  // Number of the last start; 0: never started.
  std::vector<RunNumber> m_failed_runs;
  std::vector<CrashedRun> m_crashes;
  int m_losses_at_first_crash = 0;  // Workers that the scheduler had lost by then.
  std::string m_checkpoint;         // The next start resumes here; empty: starts from the beginning.
  bool m_active = false;            // At least one member has resources allocated.
  bool m_done = false;
  bool m_unread = false;     // Its row can't be read: it may run or be done, so it is not started.
  bool m_set_aside = false;  // Its row can't be stored, so it is not started any more.
  bool m_stopping = false;   // All members are being stopped.
  bool m_sound = false;      // This run has outlasted the crashes before it.
  bool m_may_share = false;  // It has found no worker without other work, and is placed beside others.
  Instant m_alone_until;     // Steady time until which it waits for such workers; 0: it does not.
  Instant m_placed;          // Steady time of the last placement.
  Instant m_lost_at;         // Steady time of the first loss since its last placement; 0: there was none.
  int m_preemptions = 0;     // Times that it was stopped for urgent work.
  Interruption m_interruption = Interruption::kNone;  // Of the last run, while the unit waits or that run is stopped.
  Interruption m_replaces = Interruption::kNone;      // Of the run before the present one.
  bool m_has_reservation = false;  // Room is reserved for it on workers (WorkerSlot::m_reservations).
  Instant m_reserved_until;        // Steady time at which the reservation ends at the latest.
  bool m_may_leave_rack = false;   // No rack that it prefers can hold it by the last plan for it.

  bool IsWaiting() const { return !m_active && !m_done && !m_unread && !m_set_aside; }
  // Its present run replaces one that a lost or leaving worker took from it.
  bool IsReplacement() const { return m_replaces == Interruption::kLost || m_replaces == Interruption::kMoved; }
  bool IsFirstRun() const { return m_active && m_run == RunNumber{1}; }
  TaskKey Key(std::size_t member) const;
  int Accelerators() const;
};

// Orders by job, step and first task, not by address, so that simulations are reproducible.
struct UnitLess {
  bool operator()(const Unit* a, const Unit* b) const;
};
using UnitSet = std::set<Unit*, UnitLess>;

// A member, as its unit and its index in m_members.
using UnitMember = std::pair<Unit*, std::size_t>;
struct UnitMemberLess {
  bool operator()(const UnitMember& a, const UnitMember& b) const;
};
using UnitMemberSet = boost::container::flat_set<UnitMember, UnitMemberLess>;

struct StepState {
  StepKey m_key;
  JobState* m_job = nullptr;
  const StepSpec* m_spec = nullptr;
  std::vector<std::unique_ptr<Unit>> m_units;
  int m_units_left = 0;            // Units that are not done.
  std::size_t m_passed = 0;        // The first ones of m_units, so many, are placed or done.
  int m_first_runs = 0;            // Units for which Unit::IsFirstRun holds.
  bool m_is_awaited = false;       // Another step of the job comes after it.
  std::set<int> m_interrupted;     // Units that wait and were placed before, by their first task.
  std::set<int> m_stored_rows;     // Of which a row is stored.
  std::set<int> m_set_aside_rows;  // That the store rejects.
  StepPace m_pace;
  HeldBackTime m_held_back;               // With ample room, until all of its units run: Scheduler::NoteHeldBack.
  HeldBackTime m_held_for_rack;           // As above, of a gang for one rack that would fit on several.
  std::map<WorkerId, Instant> m_avoided;  // Workers on which its tasks failed, each until a steady time.

  Unit* FindUnit(int task) const;
  bool HasWaiting();  // Of the units.
  bool WasHeldBack() const { return !m_held_back.IsEmpty() || !m_held_for_rack.IsEmpty(); }
  void OnWaiting(const Unit& unit);  // It was placed before, and waits unless it is done.
};

struct JobState {
  AcceptedJob m_job;
  std::shared_ptr<const std::string> m_payload;
  JobPhase m_phase = JobPhase::kQueued;
  bool m_has_run = false;  // A worker has confirmed at least one run.
  bool m_begun = false;    // All tasks of its first step have run, at least once at the same time.
  Instant m_taken_in;      // Steady time at which this scheduler learned of it.
  bool m_phase_stored = false;
  bool m_settled = false;            // Returned by TakeSettledJobs.
  Instant m_ended;                   // Wall time.
  Millis m_critical_path{0};         // By the caller's estimates.
  std::uint64_t m_memory_bytes = 0;  // See MemoryOf; 0 once it is archived.
  int m_occurrences = 1;
  int m_created_occurrences = 0;                                 // Number of occurrences that have their steps created.
  std::vector<std::vector<std::unique_ptr<StepState>>> m_steps;  // By occurrence and step; empty until created.
};

// Steps that the step depends on have units left; `steps` are those of its occurrence.
bool IsBlocked(const std::vector<std::unique_ptr<StepState>>& steps, const StepState& step);

// Whether the unit has failed as often as its job allows. A step that lasts may fail any number of times.
bool HasUsedAllAttempts(const Unit& unit, const JobState& job);

// Wall time by which the occurrence must end to meet the job's objective.
Instant ObjectiveDeadline(const JobState& job, int occurrence);

// Duration of the longest chain of dependent steps, by the caller's estimates.
Millis EstimateCriticalPath(const JobRequest& request);

}  // namespace hickoryquay::jobs
