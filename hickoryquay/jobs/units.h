// Units: the state of one job inside the scheduler. A unit is what is placed together: a gang, or one task.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/worker_api.h"

namespace hickoryquay::jobs {

struct JobState;
struct StepState;
struct WorkerSlot;

enum class MemberState {
  kNone,
  kPlanned,  // Placed; no start was sent.
  kSent,     // The start has no answer yet.
  kUnknown,  // It may run: the start was not answered, or the run stands in a row of an earlier scheduler.
  kRunning,
  kSettled,  // Ended, or never to run.
};

enum class StopState { kNone, kRequested, kSent, kAcknowledged };

// One task of a unit in its current run.
struct Member {
  MemberState m_state = MemberState::kNone;
  StopState m_stop = StopState::kNone;
  WorkerSlot* m_slot = nullptr;  // Holds room there unless kNone or kSettled.
  bool m_restored = false;       // Placed by an earlier scheduler, whose orders its worker refuses by now.
  int m_resends = 0;             // Of a start that was not answered.
  Instant m_since;               // Steady time of the last change of m_state.
  int m_percent = 0;             // Of its work, as reported at m_percent_at.
  Instant m_percent_at;          // Steady time; 0: not reported yet.
  Instant m_stop_at;             // Steady time: of the answer where kAcknowledged, of the next try where kRequested.
};

struct Unit {
  StepState* m_step = nullptr;
  int m_first = 0;  // Index of its first task.
  std::vector<Member> m_members;
  RunNumber m_run{};  // Of the last start; 0: never started.
  std::vector<RunNumber> m_failed_runs;
  std::string m_checkpoint;  // A start goes on from here; empty: from the beginning.
  bool m_active = false;     // Some member is not settled.
  bool m_done = false;
  bool m_stopping = false;   // The run must end.
  Instant m_placed;          // Steady time of the last placement.
  Instant m_reserved_until;  // Steady time until which room that is being made for it is kept.

  bool IsWaiting() const { return !m_active && !m_done; }
  TaskKey Key(std::size_t member) const;
  int Accelerators() const;
};

// By job, step and first task, so that the same day is played the same way again.
struct UnitLess {
  bool operator()(const Unit* a, const Unit* b) const;
};
using UnitSet = std::set<Unit*, UnitLess>;

// A member by its unit and its index there.
using UnitMember = std::pair<Unit*, std::size_t>;
struct UnitMemberLess {
  bool operator()(const UnitMember& a, const UnitMember& b) const;
};
using UnitMemberSet = std::set<UnitMember, UnitMemberLess>;

struct StepState {
  StepKey m_key;
  JobState* m_job = nullptr;
  const StepSpec* m_spec = nullptr;
  std::vector<std::unique_ptr<Unit>> m_units;
  int m_units_left = 0;     // Not done.
  bool m_stored = false;    // A row of it exists.
  double m_work_sum = 0.0;  // Of logarithms of the work of finished tasks, in ms on a worker of usual speed.
  int m_work_samples = 0;

  Unit* FindUnit(int task) const;
};

struct JobState {
  AcceptedJob m_job;
  std::shared_ptr<const std::string> m_payload;
  JobPhase m_phase = JobPhase::kQueued;
  bool m_has_run = false;  // A worker has confirmed a run at some time.
  bool m_phase_stored = false;
  Instant m_ended;            // Wall time.
  Millis m_critical_path{0};  // Its longest chain of steps, by the caller's estimates.
  int m_occurrences = 1;
  int m_created_occurrences = 0;                                 // Occurrences whose time has come.
  std::vector<std::vector<std::unique_ptr<StepState>>> m_steps;  // By occurrence and step; empty until opened.
};

// The longest chain of steps, by the caller's estimates.
Millis EstimateCriticalPath(const JobRequest& request);

}  // namespace hickoryquay::jobs
