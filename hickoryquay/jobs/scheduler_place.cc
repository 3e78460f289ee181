// Placement: the order of waiting steps, the choice of workers, and preemption.

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {

namespace {

constexpr log::Part kLog{"placement"};

}  // namespace

//-------------------------------------------------------------------------------------------------
// Order
//-------------------------------------------------------------------------------------------------

bool EarliestDeadlineFirst(const SchedulingKey& a, const SchedulingKey& b) {
  return std::tie(a.m_priority, b.m_interrupted, a.m_deadline) < std::tie(b.m_priority, a.m_interrupted, b.m_deadline);
}

bool FirstComeFirstServed(const SchedulingKey& a, const SchedulingKey& b) {
  return a.m_accepted < b.m_accepted;
}

// Steps that have units left and don't wait for earlier steps, in the order of placement. Units of one step are placed
// in the order of their index, those that were placed before ahead of the others. Work within a guarantee comes first.
std::vector<Scheduler::Turn> Scheduler::ReadySteps(Now now, const JobFilter& placed) {
  std::vector<Turn> turns;
  for (const auto& entry : m_open_jobs) {
    JobState* job = entry.second;
    if (job->m_created_occurrences < job->m_occurrences) CreateDueSteps(job, now);
    if (placed && !placed(entry.first)) continue;
    for (int k = 0; k < job->m_occurrences; ++k) {
      const auto& steps = job->m_steps[static_cast<std::size_t>(k)];
      if (steps.empty()) continue;
      SchedulingKey key{job->m_job.m_priority, false, job->m_job.m_accepted, ObjectiveDeadline(*job, k)};
      for (const auto& step : steps) {
        if (step->m_units_left == 0 || IsBlocked(steps, *step)) continue;
        for (const bool interrupted : {true, false}) {
          key.m_interrupted = interrupted;
          if (!interrupted || !step->m_interrupted.empty()) turns.push_back({key, step.get()});
        }
      }
    }
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [this](const Turn& a, const Turn& b) { return m_settings.m_order(a.m_key, b.m_key); });
  if (m_settings.m_preempts) {
    std::stable_partition(turns.begin(), turns.end(),
                          [this](const Turn& turn) { return m_guarantees.Covers(*turn.m_step->m_job); });
  }
  return turns;
}

// Share of its pool's accelerators that must stay free after this unit is placed, so that more urgent work can start
// without a preemption.
double Scheduler::RequiredFreeShare(const Unit& unit, Now now) const {
  const JobState& job = *unit.m_step->m_job;
  if (job.m_job.m_priority == 0) return 0.0;
  const double usual = job.m_job.m_priority == 1 ? m_settings.m_min_free_share : m_settings.m_min_free_share_batch;
  const Millis estimate = unit.m_step->m_spec->m_estimate;
  const Millis slack = ObjectiveDeadline(job, unit.m_step->m_key.m_occurrence) - now.m_wall - estimate;
  const auto tight_ms =
      static_cast<std::int64_t>(m_settings.m_tight_slack_share * static_cast<double>(estimate.count()));
  const bool is_tight = slack.count() >= 0 && slack.count() < tight_ms;
  const bool was_lost = unit.m_interruption == Interruption::kLost || unit.m_interruption == Interruption::kMoved;
  const bool is_awaited = was_lost && unit.m_step->m_is_awaited && unit.m_step->m_first_runs == 0;
  return is_tight || is_awaited ? std::min(usual, m_settings.m_min_free_share_tight) : usual;
}

// More urgent jobs, for which the free share is kept, have arrived of late, or the job has something running.
bool Scheduler::KeepsReserveFrom(const JobState& state, Now now) const {
  const auto active = [](const auto& unit) { return unit->m_active; };
  for (const auto& steps : state.m_steps) {
    for (const auto& step : steps) {
      if (std::any_of(step->m_units.begin(), step->m_units.end(), active)) return true;
    }
  }
  const AcceptedJob& job = state.m_job;
  const auto end = m_last_jobs.lower_bound({job.m_pool, job.m_priority});
  return std::any_of(m_last_jobs.lower_bound({job.m_pool, std::numeric_limits<int>::min()}), end,
                     [&](const auto& last) { return now.m_steady - last.second < m_settings.m_longest_reserve; });
}

bool Scheduler::LeavesTooFewFree(const Unit& unit, Now now) const {
  const AcceptedJob& job = unit.m_step->m_job->m_job;
  const auto room = m_rooms.find(job.m_pool);
  if (job.m_priority == 0 || room == m_rooms.end()) return false;
  const bool lasts = unit.m_step->m_spec->m_long_running;
  if (lasts && Raw(unit.m_run) > 0) return false;  // It used its room before.
  // The share is kept for urgent work that needs accelerators: it holds for longer while these are in use.
  const bool light = lasts || room->second.AcceleratorUse() < kLightUse;
  const HeldBackTime& waited = unit.m_step->m_held_back;
  if (waited.HasLasted(m_settings.m_longest_reserve, now.m_steady)) return false;
  if (waited.HasLasted(m_settings.m_longest_preference, now.m_steady) &&
      (light || !KeepsReserveFrom(*unit.m_step->m_job, now)))
    return false;
  const int takes = unit.Accelerators();
  if (takes == 0) return false;
  // Capped at half of what the unit leaves of all accelerators, or a large unit could never start.
  const double min_free =
      std::min(RequiredFreeShare(unit, now) * room->second.m_total, (room->second.m_total - takes) / 2.0);
  return room->second.m_free - takes < min_free;
}

// There is time to wait for the rack of the unit's data.
bool Scheduler::PrefersDataRack(const Unit& unit, Now now) const {
  const StepSpec& spec = *unit.m_step->m_spec;
  if (spec.m_data_rack.empty()) return false;
  const Instant deadline = ObjectiveDeadline(*unit.m_step->m_job, unit.m_step->m_key.m_occurrence);
  const auto remote_ms =
      static_cast<std::int64_t>(m_settings.m_remote_factor * static_cast<double>(spec.m_estimate.count()));
  return now.m_wall + Millis{remote_ms} < deadline;
}

// Preferences don't hold the step back any more.
bool Scheduler::HasWaitedLongEnough(const StepState& step, Now now) const {
  return step.m_held_back.HasLasted(m_settings.m_longest_preference, now.m_steady);
}

namespace {

// What a gang for one rack loses where it runs on several: a longer wait would cost its caller more.
Millis LongestWaitForRack(const StepSpec& spec, const SchedulerSettings& settings) {
  const double lost_ms = (settings.m_remote_factor - 1.0) * static_cast<double>(spec.m_estimate.count());
  return std::max(settings.m_longest_preference, Millis{static_cast<std::int64_t>(lost_ms)});
}

}  // namespace

// The unit no longer waits for the rack that it prefers.
bool Scheduler::IsRackOptional(const Unit& unit, Now now) const {
  const StepState& step = *unit.m_step;
  return HasWaitedLongEnough(step, now) ||
         step.m_held_for_rack.HasLasted(LongestWaitForRack(*step.m_spec, m_settings), now.m_steady) ||
         (unit.m_may_leave_rack && m_guarantees.Covers(*step.m_job));
}

// Whether the unit fits so many times, with its limit per worker for each of them. Workers that return soon count: the
// step would wait for them, and then for as long again.
bool Scheduler::FitsIntoFreeRoom(const Unit& unit, int times) {
  const StepSpec& spec = *unit.m_step->m_spec;
  const std::size_t needed = static_cast<std::size_t>(times) * unit.m_members.size();
  std::size_t room = 0;
  const auto add = [&](const WorkerSlot* slot) {
    const int fitting = CountFitting(slot->m_free, spec.m_task);
    const int limit = times * spec.m_max_per_worker;
    room += static_cast<std::size_t>(limit == 0 ? fitting : std::min(fitting, limit));
    return room >= needed;
  };
  const Candidates& candidates = CandidatesFor(unit);
  return std::any_of(candidates.m_all.begin(), candidates.m_all.end(), add) ||
         std::any_of(candidates.m_returning.begin(), candidates.m_returning.end(), add);
}

// The unit fits twice into what is free, and the pool is lightly used: room that is taken now is not missed by others.
// A step that lasts serves its callers at any load.
bool Scheduler::HasAmpleRoom(const Unit& unit) {
  const auto pool = m_rooms.find(unit.m_step->m_job->m_job.m_pool);
  if (pool == m_rooms.end()) return false;
  return (unit.m_step->m_spec->m_long_running || pool->second.IsLightlyUsed()) && FitsIntoFreeRoom(unit, 2);
}

void Scheduler::NoteHeldBack(const Unit& unit, Now now) {
  StepState* step = unit.m_step;
  step->m_held_back.Note(HasAmpleRoom(unit), now.m_steady);
  const bool wants_rack = step->m_spec->m_rack_local && unit.m_members.size() > 1;
  if (wants_rack) step->m_held_for_rack.Note(FitsIntoFreeRoom(unit, 1), now.m_steady);
}

// A unit that is being stopped waits for its next run already.
void Scheduler::NoteStopping(Now now) {
  for (const Unit* unit : m_active) {
    const bool waits = unit->m_stopping && !unit->m_done && !Ended(unit->m_step->m_job->m_phase);
    if (waits && !unit->m_step->HasWaiting()) NoteHeldBack(*unit, now);
  }
}

// Stops work on workers that are about to leave. Tasks with checkpoints are stopped in time to save their progress;
// others are stopped as soon as they can't end in time, so that they restart elsewhere sooner.
void Scheduler::EvacuateDraining(Now now) {
  for (WorkerSlot* slot : m_workers.Slots()) {
    if (!slot->m_leaves_at || slot->m_members.empty()) continue;
    const Millis left =
        *slot->m_leaves_at - now.m_steady - m_settings.m_preemption.m_stop_timeout - m_settings.m_leave_margin;
    const UnitMemberSet members = slot->m_members;
    for (const auto& [unit, index] : members) {
      if (unit->m_stopping || unit->m_done) continue;
      const StepSpec& spec = *unit->m_step->m_spec;
      const auto min_run_ms =
          static_cast<std::int64_t>(m_settings.m_evacuate_share * static_cast<double>(spec.m_estimate.count()));
      const Millis ran = now.m_steady - unit->m_placed;
      const bool too_long = Millis{min_run_ms} - ran > std::max(left, Millis{0});
      if (spec.m_checkpoints ? left.count() <= 0 : too_long)
        StopRun(unit, "its worker is leaving", Interruption::kMoved);
    }
  }
}

void Scheduler::Decide(Now now, bool places, const JobFilter& placed) {
  ForgetArchivedJobs(now);
  EvacuateDraining(now);
  ReturnWorkers(now);
  m_workers.DropLateCopies(now.m_steady);
  if (!places) return;
  if (m_first_placement == Instant{}) m_first_placement = now.m_steady;
  m_candidates.clear();
  m_paces.clear();
  m_guarantees = m_configuration ? Guarantees(m_open_jobs, *m_configuration) : Guarantees();
  DropReservations(now);
  m_rooms = m_workers.CountPools();
  NoteStopping(now);
  for (const Turn& turn : ReadySteps(now, placed)) PlaceStep(turn, now);
}

// For how long an earlier scheduler may have held the step back. The workers that join get their time in any case.
Millis Scheduler::WaitBeforeTakeover(const StepState& step, Millis bound, Now now) const {
  const AcceptedJob& job = step.m_job->m_job;
  const bool restored = step.m_job->m_taken_in == Instant{} && job.m_request.m_repeats == 0;
  if (!restored || now.m_steady - m_first_placement >= m_settings.m_join_time) return Millis{0};
  return std::clamp(now.m_wall - job.m_accepted, Millis{0}, bound - m_settings.m_join_time);
}

void Scheduler::PlaceStep(const Turn& turn, Now now) {
  StepState* step = turn.m_step;
  if (Ended(step->m_job->m_phase)) return;  // Another step has ended it in this round.
  if (!step->HasWaiting()) return;
  // Room may have become short, or ample, since the last round.
  if (step->WasHeldBack()) NoteHeldBack(*step->m_units[step->m_passed], now);
  const Unit* left = PlaceUnits(turn, now);
  if (left == nullptr || step->WasHeldBack()) return;
  step->m_held_back.Credit(WaitBeforeTakeover(*step, m_settings.m_longest_preference, now));
  step->m_held_for_rack.Credit(WaitBeforeTakeover(*step, LongestWaitForRack(*step->m_spec, m_settings), now));
  NoteHeldBack(*left, now);
}

// Places the waiting units of a step, or those that were placed before, until one does not fit. The others won't fit
// either, and must not use resources that are left free for more urgent work. Within a guarantee, room is made for all
// of them at the same time. Returns the first one that is left, if the job has not ended.
Unit* Scheduler::PlaceUnits(const Turn& turn, Now now) {
  StepState* step = turn.m_step;
  Unit* left = nullptr;
  const bool preempts = m_settings.m_preempts && step->m_job->m_job.m_priority == 0;
  const bool guaranteed = m_guarantees.Covers(*step->m_job);
  std::optional<RankedWorkers> ranked;
  for (std::size_t i = step->m_passed; i < step->m_units.size(); ++i) {
    Unit* unit = step->m_units[i].get();
    if (!unit->IsWaiting() || (turn.m_key.m_interrupted && !step->m_interrupted.contains(unit->m_first))) continue;
    // Its last start did not end in a crash, or an earlier leader has stored the crash and not the end of the job.
    if (Judge(unit->m_crashes, unit->m_run, m_settings.m_choice.m_crashes) == CrashVerdict::kGiveUp) {
      EndJob(step->m_job, JobPhase::kFailed, now);
      return nullptr;
    }
    if (NeedsIsolation(*unit, m_settings.m_choice.m_crashes)) {
      ranked.reset();
      PlaceAlone(unit, now);
      if (left == nullptr && unit->IsWaiting()) left = unit;
      continue;  // The other units of the step need no worker of their own.
    }
    if (LeavesTooFewFree(*unit, now)) return left != nullptr ? left : unit;
    bool placed = TryPlace(unit, now, &ranked);
    if (!placed) {
      ranked.reset();
      placed = preempts && PreemptFor(unit, now) && TryPlace(unit, now);
    }
    if (placed) continue;
    if (left == nullptr) left = unit;
    if (!guaranteed || !unit->m_has_reservation) return left;
  }
  return left;
}

//-------------------------------------------------------------------------------------------------
// Workers
//-------------------------------------------------------------------------------------------------

// The pool's workers in the view of its urgent queue with the least stretch.
const PoolPace& Scheduler::PaceOf(const PoolName& pool, Now now) {
  const auto [entry, added] = m_paces.try_emplace(pool);
  if (!added || !m_configuration) return entry->second;
  std::optional<double> tightest;
  for (const Queue& queue : m_configuration->m_queues) {
    if (queue.m_pool == pool && queue.m_priority == 0)
      tightest = std::min(queue.m_stretch, tightest.value_or(queue.m_stretch));
  }
  if (!tightest) return entry->second;
  std::vector<const WorkerSlot*> workers;
  for (WorkerSlot* slot : m_workers.Slots()) {
    if (slot->m_entry.m_pool == pool && slot->IsSchedulable()) workers.push_back(slot);
  }
  entry->second = JudgePool(workers, *tightest, now.m_steady, m_settings.m_choice);
  return entry->second;
}

ChoiceInput Scheduler::InputFor(const Unit& unit, Now now) {
  const JobState& job = *unit.m_step->m_job;
  ChoiceInput input;
  input.m_unit = &unit;
  input.m_priority = job.m_job.m_priority;
  input.m_estimate = unit.m_step->m_spec->m_estimate;
  input.m_budget = ObjectiveDeadline(job, unit.m_step->m_key.m_occurrence) - now.m_wall;
  input.m_pace = PaceOf(job.m_job.m_pool, now);
  input.m_guaranteed = m_guarantees.Covers(job);
  input.m_now = now.m_steady;
  input.m_uses_resting = HasWaitedLongEnough(*unit.m_step, now);
  return input;
}

namespace {

// Nothing but its step distinguishes the unit from the others of the step.
bool IsPlainTask(const Unit& unit) {
  return unit.m_members.size() == 1 && unit.m_step->m_spec->m_data_rack.empty() && unit.m_crashes.empty() &&
         !unit.m_has_reservation && unit.m_alone_until == Instant{};
}

// Returns true if the rack could hold the unit if nothing else ran there.
bool FitsWhenEmpty(const std::vector<WorkerSlot*>& slots, const Unit& unit) {
  int times = 0;
  for (const WorkerSlot* slot : slots) {
    const int limit = unit.m_step->m_spec->m_max_per_worker;
    const int fitting = CountFitting(slot->m_entry.m_capacity, unit.m_step->m_spec->m_task);
    times += limit == 0 ? fitting : std::min(fitting, limit);
  }
  return times >= static_cast<int>(unit.m_members.size());
}

}  // namespace

// `ranked`: of the units of the step that were placed just before, kept for the next one.
bool Scheduler::TryPlace(Unit* unit, Now now, std::optional<RankedWorkers>* ranked) {
  const StepSpec& spec = *unit->m_step->m_spec;
  const auto& [racks, domains, all, returning] = CandidatesFor(*unit);
  const ChoiceInput input = InputFor(*unit, now);
  if (ranked != nullptr && IsPlainTask(*unit)) {
    if (!*ranked) ranked->emplace(input, all, m_settings.m_choice);
    const Choice best = (*ranked)->Best();
    if (best.m_slots.empty()) return false;
    PlaceOn(unit, best.m_slots, now);
    if (best.m_rank >= 0) {
      (*ranked)->OnPlaced();
    } else {
      --m_paces[unit->m_step->m_job->m_job.m_pool].m_probes;
      ranked->reset();
    }
    return true;
  }
  if (ranked != nullptr) ranked->reset();
  const bool leaves_rack = IsRackOptional(*unit, now);
  const bool gang = unit->m_members.size() > 1;
  const bool uneven = input.m_pace.m_uneven;
  const auto choose = [&](const std::vector<WorkerSlot*>& slots) {
    return ChooseWorkers(input, slots, m_settings.m_choice);
  };
  if (spec.m_rack_local && gang) {
    const Choice best = ChooseGroup(racks, GroupOrder::kPack, uneven, choose);
    if (!best.m_slots.empty()) return PlaceOn(unit, best.m_slots, now);
    const bool fits_any =
        std::any_of(racks.begin(), racks.end(), [unit](const auto& rack) { return FitsWhenEmpty(rack.second, *unit); });
    if (fits_any && !leaves_rack) return false;
  } else if (!spec.m_data_rack.empty()) {
    const auto rack = racks.find(spec.m_data_rack);
    if (rack != racks.end()) {
      const auto chosen = choose(rack->second).m_slots;
      if (!chosen.empty()) return PlaceOn(unit, chosen, now);
      if (!leaves_rack && PrefersDataRack(*unit, now)) return false;
    }
  }
  Choice chosen;
  if (gang) chosen = ChooseGroup(domains, GroupOrder::kSpread, uneven, choose);
  if (chosen.m_slots.empty()) chosen = choose(all);
  if (chosen.m_slots.empty()) return false;
  if (chosen.m_rank < 0) --m_paces[unit->m_step->m_job->m_job.m_pool].m_probes;
  return PlaceOn(unit, chosen.m_slots, now);
}

bool Scheduler::PlaceOn(Unit* unit, const std::vector<WorkerSlot*>& slots, Now now) {
  JobState* job = unit->m_step->m_job;
  unit->m_run = RunNumber{Raw(unit->m_run) + 1};
  unit->m_active = true;
  if (unit->IsFirstRun()) ++unit->m_step->m_first_runs;
  unit->m_replaces = std::exchange(unit->m_interruption, Interruption::kNone);
  unit->m_step->m_interrupted.erase(unit->m_first);
  unit->m_placed = now.m_steady;
  m_active.insert(unit);
  const Instant lost_at = std::exchange(unit->m_lost_at, Instant{});
  const Millis since_lost = lost_at == Instant{} ? Millis{0} : now.m_steady - lost_at;
  if (lost_at != Instant{}) m_replaced_runs.push_back({job->m_job.m_priority, since_lost});
  m_rooms[job->m_job.m_pool].Take(unit->m_step->m_spec->m_task, static_cast<int>(unit->m_members.size()));
  for (std::size_t i = 0; i < unit->m_members.size(); ++i) {
    Member& member = unit->m_members[i];
    member = Member{};
    member.m_state = MemberState::kPlanned;
    member.m_slot = slots[i];
    member.m_since = now.m_steady;
    m_workers.Allocate(slots[i], unit, i);
    m_unsent_starts.push_back(
        {slots[i]->m_entry.m_id, unit->Key(i), unit->m_run, job->m_payload, unit->m_checkpoint, job->m_job.m_priority});
    log::Info(kLog, "Run placed",
              {{"task", ToText(unit->Key(i))},
               {"run", std::to_string(Raw(unit->m_run))},
               {"worker", slots[i]->m_entry.m_id.m_value},
               {"rack", slots[i]->m_entry.m_rack},
               {"priority", std::to_string(job->m_job.m_priority)},
               {"checkpoint", unit->m_checkpoint},
               {"since_lost_ms", std::to_string(since_lost.count())},
               {"waited_ms", std::to_string((now.m_wall - job->m_job.m_accepted).count())}});
  }
  ReleaseReservation(unit);
  ReleaseHeldWorkers(unit);
  MarkChanged(*unit);
  return true;
}

//-------------------------------------------------------------------------------------------------
// Preemption
//-------------------------------------------------------------------------------------------------

const Candidates& Scheduler::CandidatesFor(const Unit& unit) {
  const PoolName& pool = unit.m_step->m_job->m_job.m_pool;
  const std::string& label = unit.m_step->m_spec->m_required_label;
  const auto [entry, added] = m_candidates.try_emplace({pool, label});
  if (added) entry->second = m_workers.CandidatesOf(pool, label);
  return entry->second;
}

PreemptionRound Scheduler::MakeRound(Now now) const {
  return {&m_settings.m_preemption, &m_settings.m_choice.m_crashes, &m_guarantees, now.m_steady, now.m_wall};
}

void Scheduler::ReleaseReservation(Unit* unit) {
  if (!std::exchange(unit->m_has_reservation, false)) return;
  for (WorkerSlot* slot : m_workers.Slots()) slot->m_reservations.erase(unit);
}

void Scheduler::ReleaseHeldWorkers(Unit* unit) {
  if (std::exchange(unit->m_alone_until, Instant{}) == Instant{}) return;
  for (WorkerSlot* slot : m_workers.Slots()) {
    if (slot->m_held_for == unit) slot->m_held_for = nullptr;
  }
}

// Places a unit on workers without other work. Where there are none, new work is kept off some until they are empty,
// for m_longest_wait.
void Scheduler::PlaceAlone(Unit* unit, Now now) {
  if (TryPlace(unit, now)) return;
  if (unit->m_alone_until != Instant{}) {
    unit->m_may_share = now.m_steady >= unit->m_alone_until;
    if (unit->m_may_share) ReleaseHeldWorkers(unit);
    return;
  }
  const StepSpec& spec = *unit->m_step->m_spec;
  const bool needs_rack = spec.m_rack_local && unit->m_members.size() > 1;
  const auto& [racks, domains, all, returning] = CandidatesFor(*unit);
  std::vector<WorkerSlot*> chosen;
  for (const auto& [name, slots] : racks) {
    if (!needs_rack && name != spec.m_data_rack) continue;
    chosen = ChooseWorkersToHold(*unit, slots, m_settings.m_choice.m_crashes);
    if (!chosen.empty()) break;
  }
  if (chosen.empty()) chosen = ChooseWorkersToHold(*unit, all, m_settings.m_choice.m_crashes);
  for (WorkerSlot* slot : chosen) slot->m_held_for = unit;
  unit->m_alone_until = now.m_steady + m_settings.m_choice.m_crashes.m_longest_wait;
}

// Drops the reservations of units that are not waiting any more, and those that won't lead to a start, so that other
// room is made for their units in this round.
void Scheduler::DropReservations(Now now) {
  const PreemptionRound round = MakeRound(now);
  UnitSet dropped;
  for (WorkerSlot* slot : m_workers.Slots()) {
    for (const auto& [unit, reservation] : slot->m_reservations) {
      const bool wanted = unit->IsWaiting() && now.m_steady < unit->m_reserved_until;
      if (!wanted || !ReservationHolds(*slot, *unit, round)) dropped.insert(unit);
    }
  }
  for (Unit* unit : dropped) ReleaseReservation(unit);
  for (WorkerSlot* slot : m_workers.Slots()) {
    const Unit* unit = slot->m_held_for;
    if (unit == nullptr) continue;
    const bool waits = unit->IsWaiting() && !Ended(unit->m_step->m_job->m_phase);
    if (!waits || !slot->IsSchedulable()) slot->m_held_for = nullptr;
  }
}

// The cheapest plan among the workers that the unit would take: in a single rack for a rack-local gang, in the rack of
// its data while it waits for that. Within its guarantee it may leave the rack if there is no such plan.
std::optional<PreemptionPlan> Scheduler::FindPlan(Unit* unit, Now now) {
  const StepSpec& spec = *unit->m_step->m_spec;
  const PreemptionRound round = MakeRound(now);
  const auto& [racks, domains, all, returning] = CandidatesFor(*unit);
  std::optional<PreemptionPlan> best;
  const bool any_rack = spec.m_rack_local && unit->m_members.size() > 1;
  const bool data_rack = !any_rack && racks.contains(spec.m_data_rack) && PrefersDataRack(*unit, now) &&
                         !HasWaitedLongEnough(*unit->m_step, now);
  for (const auto& [name, slots] : racks) {
    if (!any_rack && !(data_rack && name == spec.m_data_rack)) continue;
    auto plan = PlanPreemption(*unit, slots, round);
    if (plan && (!best || plan->m_cost < best->m_cost)) best = std::move(plan);
  }
  const bool needs_rack = any_rack || data_rack;
  unit->m_may_leave_rack = !best && needs_rack && m_guarantees.Covers(*unit->m_step->m_job);
  if (!best && (!needs_rack || unit->m_may_leave_rack)) best = PlanPreemption(*unit, all, round);
  return best;
}

// Returns true if a new plan was made. The room is reserved until the unit is placed, see DropReservations.
bool Scheduler::PreemptFor(Unit* unit, Now now) {
  if (unit->m_has_reservation) return false;  // A preemption for it is in progress.
  const auto plan = FindPlan(unit, now);
  if (!plan) return false;
  const bool guaranteed = m_guarantees.Covers(*unit->m_step->m_job);
  if (!guaranteed && !IsWorthIt(*unit, *plan, MakeRound(now))) return false;
  for (WorkerSlot* slot : plan->m_slots) {
    Reservation& reservation = slot->m_reservations[unit];
    reservation.m_room += unit->m_step->m_spec->m_task;
    reservation.m_guaranteed = guaranteed;
  }
  unit->m_has_reservation = true;
  unit->m_reserved_until = now.m_steady + m_settings.m_preemption.m_reclaim;
  for (Unit* victim : plan->m_victims) {
    ++m_preemptions;
    ++victim->m_preemptions;
    StopRun(victim, guaranteed ? "makes room for a guarantee" : "makes room for urgent work", Interruption::kPreempted);
  }
  return true;
}

}  // namespace hickoryquay::jobs
