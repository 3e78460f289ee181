// What accepted jobs of which nothing runs wait for.

#include <algorithm>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {

namespace {

constexpr log::Part kLog{"idle"};

// Tasks of the job by their state.
struct TaskCounts {
  int m_placed = 0;
  int m_done = 0;
  int m_waiting = 0;
  int m_unread = 0;
};

TaskCounts CountTasks(const JobState& job) {
  TaskCounts counts;
  for (const auto& steps : job.m_steps) {
    for (const auto& step : steps) {
      for (const auto& unit : step->m_units) {
        int& count = unit->m_active   ? counts.m_placed
                     : unit->m_done   ? counts.m_done
                     : unit->m_unread ? counts.m_unread
                                      : counts.m_waiting;
        count += static_cast<int>(unit->m_members.size());
      }
    }
  }
  return counts;
}

}  // namespace

IdleCause Scheduler::CauseOfWaiting(const Unit& unit, RoomCensus* room, Now now) const {
  if (unit.m_unread) return IdleCause::kUnreadRow;
  if (unit.m_set_aside) return IdleCause::kSetAside;
  const StepSpec& spec = *unit.m_step->m_spec;
  const CrashSettings& crashes = m_settings.m_choice.m_crashes;
  const int members = static_cast<int>(unit.m_members.size());
  const bool waited = HasWaitedLongEnough(*unit.m_step, now);
  ChoiceInput input;
  input.m_unit = &unit;
  input.m_guaranteed = m_guarantees.Covers(*unit.m_step->m_job);
  input.m_now = now.m_steady;
  input.m_uses_resting = waited;
  *room = CountRoom(input, m_workers.Slots(), crashes);
  if (room->m_if_empty < members) return IdleCause::kNoWorker;
  if (room->m_if_usable_empty < members) return IdleCause::kWorkersUnusable;
  if (room->m_free < members) return IdleCause::kNoRoom;
  if (NeedsIsolation(unit, crashes)) return IdleCause::kAlone;
  if (room->m_takeable < members) return IdleCause::kWithheldRoom;
  if (LeavesTooFewFree(unit, now)) return IdleCause::kFreeShare;
  if (waited || IsRackOptional(unit, now)) return IdleCause::kUnexplained;
  if (spec.m_rack_local && members > 1 && room->m_best_rack < members) return IdleCause::kRack;
  const auto& slots = m_workers.Slots();
  const bool rack_exists = std::any_of(slots.begin(), slots.end(), [&spec](const WorkerSlot* slot) {
    return slot->IsSchedulable() && slot->m_entry.m_rack == spec.m_data_rack;
  });
  if (rack_exists && PrefersDataRack(unit, now)) return IdleCause::kDataRack;
  return IdleCause::kUnexplained;
}

// The first unit of a step that is neither done nor known to run.
std::optional<IdleJob> Scheduler::DescribeIdleUnit(const StepState& step, Now now) const {
  for (const auto& unit : step.m_units) {
    if (unit->m_done) continue;
    IdleJob idle{step.m_key.m_job,
                 IdleCause::kUnexplained,
                 unit->Key(0),
                 static_cast<int>(unit->m_members.size()),
                 unit->m_run,
                 {},
                 {}};
    const auto cause = unit->m_active ? CauseOfActive(*unit, &idle.m_worker) : CauseOfWaiting(*unit, &idle.m_room, now);
    if (!cause) continue;
    idle.m_cause = *cause;
    return idle;
  }
  return std::nullopt;
}

// Empty if a task of the job runs and no step that lasts is interrupted. Of several steps, the one that is explained
// least.
std::optional<IdleJob> Scheduler::DescribeIfIdle(const JobState& job, bool runs, Now now) const {
  std::optional<IdleJob> least;
  bool ready = false;
  for (const auto& steps : job.m_steps) {
    for (const auto& step : steps) {
      if (step->m_units_left == 0 || IsBlocked(steps, *step)) continue;
      ready = true;
      if (runs && !step->m_spec->m_long_running) continue;
      const auto idle = DescribeIdleUnit(*step, now);
      if (idle && (!least || idle->m_cause > least->m_cause)) least = idle;
    }
  }
  if (ready || runs) return least;
  IdleJob idle;
  idle.m_job = job.m_job.m_id;
  idle.m_task.m_step.m_job = idle.m_job;
  if (job.m_created_occurrences < job.m_occurrences) idle.m_cause = IdleCause::kNotDue;
  return idle;
}

std::vector<IdleJob> Scheduler::IdleJobs(std::size_t most, Now now) const {
  std::set<const JobState*> running;
  for (const Unit* unit : m_active) {
    const bool runs = std::any_of(unit->m_members.begin(), unit->m_members.end(),
                                  [](const Member& member) { return member.m_state == MemberState::kRunning; });
    if (runs) running.insert(unit->m_step->m_job);
  }
  std::vector<const JobState*> jobs;
  for (const auto& [id, job] : m_open_jobs) jobs.push_back(job);
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const JobState* a, const JobState* b) { return a->m_job.m_accepted < b->m_job.m_accepted; });
  std::vector<IdleJob> idle;
  for (const JobState* job : jobs) {
    if (idle.size() >= most) break;
    const auto found = DescribeIfIdle(*job, running.contains(job), now);
    if (found && found->m_cause != IdleCause::kNotDue) idle.push_back(*found);
  }
  return idle;
}

void Scheduler::LogRestoredJobs() const {
  for (const auto& [id, job] : m_open_jobs) {
    const TaskCounts counts = CountTasks(*job);
    log::Info(kLog, "Job restored",
              {{"job", HexText(id)},
               {"phase", ToString(job->m_phase)},
               {"placed", std::to_string(counts.m_placed)},
               {"done", std::to_string(counts.m_done)},
               {"waiting", std::to_string(counts.m_waiting)},
               {"unread", std::to_string(counts.m_unread)}});
  }
}

}  // namespace hickoryquay::jobs
