#include "hickoryquay/jobs/preemption.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickoryquay::jobs {

namespace {

// Cores of the worker that the task keeps from others: its own, or those that belong to its accelerators.
double CoresTaken(const Resources& task, const Resources& capacity) {
  double share = 0.0;
  if (capacity.m_accelerators > 0) share = static_cast<double>(task.m_accelerators) / capacity.m_accelerators;
  return std::max(static_cast<double>(task.m_millicores), share * static_cast<double>(capacity.m_millicores)) / 1000.0;
}

// Accelerators of the tasks of a job that could run now.
int CurrentNeed(const JobState& job) {
  int needed = 0;
  for (const auto& steps : job.m_steps) {
    for (const auto& step : steps) {
      if (IsBlocked(steps, *step)) continue;
      const int tasks = step->m_spec->m_gang ? step->m_spec->m_tasks : 1;
      needed += step->m_units_left * tasks * step->m_spec->m_task.m_accelerators;
    }
  }
  return needed;
}

// Work of the unit's run that a stop throws away.
Millis LostTime(const Unit& unit, const PreemptionRound& round) {
  const Millis since = round.m_steady - unit.m_placed;
  return unit.m_step->m_spec->m_checkpoints ? std::min(since, round.m_settings->m_restore) : since;
}

double LostCoreSeconds(const Unit& unit, const PreemptionRound& round) {
  double cores = 0.0;
  for (const Member& member : unit.m_members) {
    if (member.m_slot != nullptr) cores += CoresTaken(unit.m_step->m_spec->m_task, member.m_slot->m_entry.m_capacity);
  }
  return cores * static_cast<double>(LostTime(unit, round).count()) / 1000.0;
}

bool IsBorrowed(const Unit& unit, const PreemptionRound& round) {
  const JobState& job = *unit.m_step->m_job;
  return job.m_job.m_priority == 0 && !round.m_guarantees->Protects(job);
}

bool MayStop(const Unit& victim, bool guaranteed, const PreemptionRound& round) {
  if (victim.m_stopping || victim.m_done) return false;
  if (guaranteed) return victim.m_step->m_job->m_job.m_priority > 0 || IsBorrowed(victim, round);
  const bool makes_up = victim.IsReplacement() && round.m_steady - victim.m_placed < victim.m_step->m_spec->m_estimate;
  return victim.m_step->m_job->m_job.m_priority > 0 && !makes_up &&
         victim.m_preemptions < round.m_settings->m_max_stops;
}

// The member's run will end soon: it is done or its stop is under way.
bool EndsSoon(const Unit& unit, const Member& member, const PreemptionRound& round) {
  if (unit.m_done) return true;
  if (!unit.m_stopping || member.m_stop_failed) return false;
  const PreemptionSettings& settings = *round.m_settings;
  return member.m_stop_sent.m_ms == 0 ||
         round.m_steady - member.m_stop_sent <= settings.m_stop_timeout + settings.m_stop_margin;
}

// As RoomFor, after all runs that are being stopped have ended.
Resources FutureRoomFor(const WorkerSlot& slot, const Unit& unit, bool guaranteed, const PreemptionRound& round) {
  Resources room = RoomFor(slot, unit, guaranteed);
  for (const auto& [held, index] : slot.m_members) {
    if (EndsSoon(*held, held->m_members[index], round)) room += held->m_step->m_spec->m_task;
  }
  return room;
}

// A worker as host of one more member, and the cost of the necessary preemptions.
struct HostOption {
  WorkerSlot* m_slot = nullptr;
  Resources m_room;           // Free resources after all units that are chosen so far have ended.
  int m_planned_members = 0;  // Members that the plan places here.
  bool m_up_to_date = false;
  bool m_possible = false;
  PreemptionCost m_cost;
  std::vector<Unit*> m_victims;
};

// Computes which units one more member on the option's worker would stop, and at what cost.
void EvaluateOption(const Unit& unit, const UnitSet& chosen, const PreemptionRound& round, HostOption* option) {
  const Resources& task = unit.m_step->m_spec->m_task;
  const bool guaranteed = round.m_guarantees->Covers(*unit.m_step->m_job);
  option->m_up_to_date = true;
  option->m_victims.clear();
  option->m_cost = {};
  option->m_possible =
      LimitPerWorker(*option->m_slot, unit, std::numeric_limits<int>::max()) > option->m_planned_members;
  if (!option->m_possible) return;
  std::vector<std::pair<PreemptionCost, Unit*>> stoppable;
  for (const auto& [held, index] : option->m_slot->m_members) {
    // Members of one unit are adjacent in the set.
    const bool seen = !stoppable.empty() && stoppable.back().second == held;
    if (seen || !MayStop(*held, guaranteed, round) || chosen.contains(held)) continue;
    stoppable.push_back({{IsBorrowed(*held, round) ? 1 : 0, LostCoreSeconds(*held, round)}, held});
  }
  std::stable_sort(stoppable.begin(), stoppable.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources left = option->m_room;
  for (const auto& [cost, held] : stoppable) {
    if (task.FitsIn(left)) break;
    for (const auto& [other, index] : option->m_slot->m_members) {
      if (other == held) left += held->m_step->m_spec->m_task;
    }
    option->m_victims.push_back(held);
    option->m_cost.m_borrowed += cost.m_borrowed;
    option->m_cost.m_core_seconds += cost.m_core_seconds;
  }
  option->m_possible = task.FitsIn(left);
  // At equal cost prefers the fuller worker, so that empty workers stay free for larger gangs.
  option->m_cost.m_core_seconds += 0.001 * left.m_accelerators;
}

std::vector<HostOption> MakeOptions(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                    const PreemptionRound& round) {
  const bool guaranteed = round.m_guarantees->Covers(*unit.m_step->m_job);
  std::vector<HostOption> options;
  for (WorkerSlot* slot : candidates) {
    if (!MayHost(*slot, unit, *round.m_crashes, round.m_steady)) continue;
    HostOption& option = options.emplace_back();
    option.m_slot = slot;
    option.m_room = FutureRoomFor(*slot, unit, guaranteed, round);
  }
  return options;
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// Guarantees
//-------------------------------------------------------------------------------------------------

Guarantees::Guarantees(const std::map<JobId, JobState*>& jobs, const QueueConfiguration& configuration) {
  std::map<AccountId, std::vector<std::pair<const JobState*, int>>> by_account;
  for (const auto& [id, job] : jobs) {
    if (Ended(job->m_phase) || job->m_job.m_priority != 0) continue;
    by_account[job->m_job.m_account].emplace_back(job, CurrentNeed(*job));
  }
  for (auto& [account, urgent] : by_account) {
    std::stable_sort(urgent.begin(), urgent.end(), [](const auto& a, const auto& b) {
      return a.first->m_job.m_accepted < b.first->m_job.m_accepted;
    });
    const int guaranteed = configuration.Guaranteed(account);
    int needed = 0;
    for (const auto& [job, need] : urgent) {
      needed += need;
      if (needed <= guaranteed) m_protected.insert(job);
    }
    if (needed > guaranteed) continue;
    for (const auto& [job, need] : urgent) m_covered.insert(job);
  }
}

//-------------------------------------------------------------------------------------------------
// Room
//-------------------------------------------------------------------------------------------------

int CountFitting(const Resources& room, const Resources& task) {
  if (!Resources{}.FitsIn(room)) return 0;  // The worker has shrunk below what runs there.
  auto times = std::numeric_limits<std::int64_t>::max();
  const auto limit_by = [&times](std::int64_t available, std::int64_t needed) {
    if (needed > 0) times = std::min(times, available / needed);
  };
  limit_by(room.m_accelerators, task.m_accelerators);
  limit_by(room.m_millicores, task.m_millicores);
  limit_by(room.m_memory_mb, task.m_memory_mb);
  return static_cast<int>(std::clamp<std::int64_t>(times, 0, std::numeric_limits<int>::max()));
}

bool IsOpenTo(const WorkerSlot& slot, const Unit& unit, const CrashSettings& crashes, Instant steady) {
  const auto& avoided = unit.m_step->m_avoided;
  const auto failed_here = avoided.find(slot.m_entry.m_id);
  if (failed_here != avoided.end() && steady < failed_here->second) return false;
  return slot.IsSchedulable() && slot.m_unrecorded_runs == 0 && !slot.MayRunLateCopies() &&
         MayShare(slot, unit, crashes);
}

bool MayHost(const WorkerSlot& slot, const Unit& unit, const CrashSettings& crashes, Instant steady) {
  return steady >= slot.m_avoid_until && IsOpenTo(slot, unit, crashes, steady);
}

int LimitPerWorker(const WorkerSlot& slot, const Unit& unit, int fitting) {
  const int limit = unit.m_step->m_spec->m_max_per_worker;
  if (limit == 0) return fitting;
  const auto of_step = std::count_if(slot.m_members.begin(), slot.m_members.end(),
                                     [&](const auto& held) { return held.first->m_step == unit.m_step; });
  return std::min(fitting, std::max(0, limit - static_cast<int>(of_step)));
}

Resources RoomFor(const WorkerSlot& slot, const Unit& unit, bool guaranteed) {
  Resources room = slot.m_free;
  for (const auto& [other, reservation] : slot.m_reservations) {
    if (other != &unit && (reservation.m_guaranteed || !guaranteed)) room -= reservation.m_room;
  }
  return room;
}

bool ReservationHolds(const WorkerSlot& slot, const Unit& unit, const PreemptionRound& round) {
  const auto found = slot.m_reservations.find(const_cast<Unit*>(&unit));
  if (found == slot.m_reservations.end()) return true;
  return MayHost(slot, unit, *round.m_crashes, round.m_steady) &&
         found->second.m_room.FitsIn(FutureRoomFor(slot, unit, found->second.m_guaranteed, round));
}

//-------------------------------------------------------------------------------------------------
// Plans
//-------------------------------------------------------------------------------------------------

std::optional<PreemptionPlan> PlanPreemption(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                             const PreemptionRound& round) {
  const Resources& task = unit.m_step->m_spec->m_task;
  PreemptionPlan plan;
  std::vector<HostOption> options = MakeOptions(unit, candidates, round);
  while (plan.m_slots.size() < unit.m_members.size()) {
    HostOption* best = nullptr;
    for (HostOption& option : options) {
      if (!option.m_up_to_date) EvaluateOption(unit, plan.m_victims, round, &option);
      if (option.m_possible && (best == nullptr || option.m_cost < best->m_cost)) best = &option;
    }
    if (best == nullptr) return std::nullopt;
    const std::vector<Unit*> victims = best->m_victims;
    plan.m_cost.m_borrowed += best->m_cost.m_borrowed;
    plan.m_cost.m_core_seconds += best->m_cost.m_core_seconds;
    plan.m_slots.push_back(best->m_slot);
    best->m_room -= task;
    ++best->m_planned_members;
    best->m_up_to_date = false;
    for (Unit* victim : victims) {
      plan.m_victims.insert(victim);
      for (const Member& member : victim->m_members) {
        for (HostOption& option : options) {
          if (option.m_slot != member.m_slot) continue;
          option.m_room += victim->m_step->m_spec->m_task;
          option.m_up_to_date = false;
        }
      }
    }
  }
  return plan;
}

bool IsWorthIt(const Unit& unit, const PreemptionPlan& plan, const PreemptionRound& round) {
  if (plan.m_victims.empty()) return true;
  const PreemptionSettings& settings = *round.m_settings;
  const Millis estimate = unit.m_step->m_spec->m_estimate;
  const Instant deadline = ObjectiveDeadline(*unit.m_step->m_job, unit.m_step->m_key.m_occurrence);
  if (round.m_wall + settings.m_stop_timeout + estimate > deadline) return false;
  double cores = 0.0;
  for (const WorkerSlot* slot : plan.m_slots) {
    cores += CoresTaken(unit.m_step->m_spec->m_task, slot->m_entry.m_capacity);
  }
  const double own = cores * static_cast<double>(estimate.count()) / 1000.0;
  return plan.m_cost.m_core_seconds <= settings.m_max_repeated_share * own;
}

}  // namespace hickoryquay::jobs
