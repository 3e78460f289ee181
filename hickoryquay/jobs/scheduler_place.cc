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

// Cores that one accelerator counts as in lost work, by the platform's price list.
constexpr double kCoresPerAccelerator = 8.0;

double CoreEquivalents(const Resources& task) {
  return static_cast<double>(task.m_millicores) / 1000.0 + kCoresPerAccelerator * task.m_accelerators;
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// Order
//-------------------------------------------------------------------------------------------------

bool EarliestDeadlineFirst(const SchedulingKey& a, const SchedulingKey& b) {
  return std::tie(a.m_priority, a.m_deadline) < std::tie(b.m_priority, b.m_deadline);
}

bool FirstComeFirstServed(const SchedulingKey& a, const SchedulingKey& b) {
  return a.m_accepted < b.m_accepted;
}

Instant Scheduler::ObjectiveDeadline(const JobState& job, int occurrence) const {
  const JobRequest& request = job.m_job.m_request;
  const Instant from =
      request.m_repeats > 0 ? request.m_first_due + occurrence * request.m_interval : job.m_job.m_accepted;
  const auto stretched =
      static_cast<std::int64_t>(job.m_job.m_stretch * static_cast<double>(job.m_critical_path.count()));
  return from + Millis{stretched} + job.m_job.m_objective;
}

// Steps that have units left and don't wait for earlier steps, in the order of placement. Units of one step are placed
// in the order of their index.
std::vector<StepState*> Scheduler::ReadySteps(Now now) {
  struct Candidate {
    SchedulingKey m_key;
    StepState* m_step;
  };
  std::vector<Candidate> candidates;
  for (const auto& entry : m_open_jobs) {
    JobState* job = entry.second;
    if (job->m_created_occurrences < job->m_occurrences) CreateDueSteps(job, now);
    for (int k = 0; k < job->m_occurrences; ++k) {
      const auto& steps = job->m_steps[static_cast<std::size_t>(k)];
      if (steps.empty()) continue;
      const SchedulingKey key{job->m_job.m_priority, job->m_job.m_accepted, ObjectiveDeadline(*job, k)};
      for (const auto& step : steps) {
        if (step->m_units_left == 0) continue;
        const auto& after = step->m_spec->m_after;
        const bool blocked = std::any_of(after.begin(), after.end(), [&](int earlier) {
          return steps[static_cast<std::size_t>(earlier)]->m_units_left > 0;
        });
        if (blocked) continue;
        candidates.push_back({key, step.get()});
      }
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [this](const Candidate& a, const Candidate& b) { return m_settings.m_order(a.m_key, b.m_key); });
  std::vector<StepState*> steps;
  steps.reserve(candidates.size());
  for (const Candidate& candidate : candidates) steps.push_back(candidate.m_step);
  return steps;
}

Scheduler::AcceleratorCount Scheduler::CountAccelerators() const {
  AcceleratorCount accelerators;
  for (const auto& [id, slot] : m_workers.All()) {
    if (!slot->IsSchedulable()) continue;
    accelerators.m_free += slot->m_free.m_accelerators;
    accelerators.m_total += slot->m_entry.m_capacity.m_accelerators;
  }
  return accelerators;
}

// Share of all accelerators that must stay free after this unit is placed, so that more urgent work can start without a
// preemption.
double Scheduler::RequiredFreeShare(const Unit& unit, Now now) const {
  const JobState& job = *unit.m_step->m_job;
  if (job.m_job.m_priority == 0) return 0.0;
  const double usual = job.m_job.m_priority == 1 ? m_settings.m_min_free_share : m_settings.m_min_free_share_batch;
  const Millis estimate = unit.m_step->m_spec->m_estimate;
  const Millis slack = ObjectiveDeadline(job, unit.m_step->m_key.m_occurrence) - now.m_wall - estimate;
  const auto tight_ms =
      static_cast<std::int64_t>(m_settings.m_tight_slack_share * static_cast<double>(estimate.count()));
  const bool is_tight = slack.count() >= 0 && slack.count() < tight_ms;
  return is_tight ? std::min(usual, m_settings.m_min_free_share_tight) : usual;
}

// Stops work on workers that are about to leave. Tasks with checkpoints are stopped in time to save their progress;
// others are stopped as soon as they can't end in time, so that they restart elsewhere sooner.
void Scheduler::EvacuateDraining(Now now) {
  for (const auto& [id, slot] : m_workers.All()) {
    if (!slot->m_leaves_at || slot->m_members.empty()) continue;
    const Millis left = *slot->m_leaves_at - now.m_steady - m_settings.m_stop_timeout - m_settings.m_leave_margin;
    const UnitMemberSet members = slot->m_members;
    for (const auto& [unit, index] : members) {
      if (unit->m_stopping || unit->m_done) continue;
      const StepSpec& spec = *unit->m_step->m_spec;
      const auto min_run_ms =
          static_cast<std::int64_t>(m_settings.m_evacuate_share * static_cast<double>(spec.m_estimate.count()));
      const Millis ran = now.m_steady - unit->m_placed;
      const bool too_long = Millis{min_run_ms} - ran > std::max(left, Millis{0});
      if (spec.m_checkpoints ? left.count() <= 0 : too_long) StopRun(unit, "its worker is leaving");
    }
  }
}

void Scheduler::Decide(Now now) {
  ForgetArchivedJobs(now);
  EvacuateDraining(now);
  ReturnWorkers(now);
  for (const auto& [id, slot] : m_workers.All()) {
    Unit* unit = slot->m_reserved_for;
    if (unit != nullptr && (!unit->IsWaiting() || unit->m_reserved_until <= now.m_steady))
      slot->m_reserved_for = nullptr;
  }
  m_racks.clear();
  m_paces.clear();
  m_urgent_demand_valid = false;
  AcceleratorCount accelerators = CountAccelerators();
  for (StepState* step : ReadySteps(now)) PlaceStep(step, &accelerators, now);
}

// Places the waiting units of a step until one does not fit. The others won't fit either, and must not use resources
// that are left free for more urgent work.
void Scheduler::PlaceStep(StepState* step, AcceleratorCount* accelerators, Now now) {
  const bool urgent = step->m_job->m_job.m_priority == 0;  // May preempt others.
  for (const auto& owned : step->m_units) {
    Unit* unit = owned.get();
    if (!unit->IsWaiting()) continue;
    const int takes = unit->Accelerators();
    // Capped at half of what the unit leaves of all accelerators, or a large unit could never start.
    const double min_free =
        std::min(RequiredFreeShare(*unit, now) * accelerators->m_total, (accelerators->m_total - takes) / 2.0);
    if (!urgent && accelerators->m_free - takes < min_free) return;
    if (TryPlace(unit, now)) {
      accelerators->m_free -= takes;
      continue;
    }
    if (m_settings.m_preempts && urgent) PreemptFor(unit, now);
    return;
  }
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
  for (const auto& [id, slot] : m_workers.All()) {
    if (slot->m_entry.m_pool == pool && slot->IsSchedulable()) workers.push_back(slot.get());
  }
  entry->second = JudgePool(workers, *tightest, now.m_steady, m_settings.m_choice);
  return entry->second;
}

Choice Scheduler::ChooseFor(const Unit& unit, const std::vector<WorkerSlot*>& candidates, Now now) {
  const JobState& job = *unit.m_step->m_job;
  ChoiceInput input;
  input.m_unit = &unit;
  input.m_priority = job.m_job.m_priority;
  input.m_estimate = unit.m_step->m_spec->m_estimate;
  input.m_budget = ObjectiveDeadline(job, unit.m_step->m_key.m_occurrence) - now.m_wall;
  input.m_pace = PaceOf(job.m_job.m_pool, now);
  input.m_now = now.m_steady;
  return ChooseWorkers(input, candidates, m_settings.m_choice);
}

namespace {

std::vector<WorkerSlot*> Flatten(const std::map<std::string, std::vector<WorkerSlot*>>& racks) {
  std::vector<WorkerSlot*> all;
  for (const auto& [name, slots] : racks) all.insert(all.end(), slots.begin(), slots.end());
  return all;
}

int FreeAccelerators(const std::vector<WorkerSlot*>& slots) {
  int free = 0;
  for (const WorkerSlot* slot : slots) free += slot->m_free.m_accelerators;
  return free;
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

bool Scheduler::TryPlace(Unit* unit, Now now) {
  const StepSpec& spec = *unit->m_step->m_spec;
  const auto& racks = RacksFor(*unit);
  if (spec.m_rack_local && unit->m_members.size() > 1) {
    Choice best;
    auto best_key = std::tuple(true, std::numeric_limits<int>::max(), std::numeric_limits<int>::max());
    const bool uneven = PaceOf(unit->m_step->m_job->m_job.m_pool, now).m_uneven;
    bool fits_any = false;
    for (const auto& [name, slots] : racks) {
      fits_any = fits_any || FitsWhenEmpty(slots, *unit);
      const int free = FreeAccelerators(slots);
      if (!uneven && !std::get<bool>(best_key) && free >= std::get<2>(best_key)) continue;
      Choice chosen = ChooseFor(*unit, slots, now);
      const auto key = std::tuple(chosen.m_cold, chosen.m_rank, free);
      if (chosen.m_slots.empty() || key >= best_key) continue;
      best = std::move(chosen);
      best_key = key;
    }
    if (!best.m_slots.empty()) return PlaceOn(unit, best.m_slots, now);
    const bool may_spread =
        WithinGuarantee(*unit) && now.m_wall - unit->m_step->m_job->m_job.m_accepted > m_settings.m_spread_after;
    if (fits_any && !may_spread) return false;
  } else if (!spec.m_data_rack.empty()) {
    const auto rack = racks.find(spec.m_data_rack);
    if (rack != racks.end()) {
      const auto chosen = ChooseFor(*unit, rack->second, now).m_slots;
      if (!chosen.empty()) return PlaceOn(unit, chosen, now);
      const Instant deadline = ObjectiveDeadline(*unit->m_step->m_job, unit->m_step->m_key.m_occurrence);
      const auto remote_ms =
          static_cast<std::int64_t>(m_settings.m_remote_factor * static_cast<double>(spec.m_estimate.count()));
      if (now.m_wall + Millis{remote_ms} < deadline) return false;  // There is time to wait for the rack of the data.
    }
  }
  const Choice chosen = ChooseFor(*unit, Flatten(racks), now);
  if (chosen.m_slots.empty()) return false;
  if (chosen.m_rank < 0) --m_paces[unit->m_step->m_job->m_job.m_pool].m_probes;
  return PlaceOn(unit, chosen.m_slots, now);
}

bool Scheduler::PlaceOn(Unit* unit, const std::vector<WorkerSlot*>& slots, Now now) {
  JobState* job = unit->m_step->m_job;
  unit->m_run = RunNumber{Raw(unit->m_run) + 1};
  unit->m_active = true;
  unit->m_placed = now.m_steady;
  m_active.insert(unit);
  for (std::size_t i = 0; i < unit->m_members.size(); ++i) {
    Member& member = unit->m_members[i];
    member = Member{};
    member.m_state = MemberState::kPlanned;
    member.m_slot = slots[i];
    member.m_since = now.m_steady;
    m_workers.Allocate(slots[i], unit, i);
    if (slots[i]->m_reserved_for == unit) slots[i]->m_reserved_for = nullptr;
    m_unsent_starts.push_back(
        {slots[i]->m_entry.m_id, unit->Key(i), unit->m_run, job->m_payload, unit->m_checkpoint, job->m_job.m_priority});
    log::Info(kLog, "Run placed",
              {{"task", ToText(unit->Key(i))},
               {"run", std::to_string(Raw(unit->m_run))},
               {"worker", slots[i]->m_entry.m_id.m_value},
               {"rack", slots[i]->m_entry.m_rack},
               {"priority", std::to_string(job->m_job.m_priority)},
               {"checkpoint", unit->m_checkpoint},
               {"waited_ms", std::to_string((now.m_wall - job->m_job.m_accepted).count())}});
  }
  MarkChanged(*unit);
  if (job->m_phase == JobPhase::kQueued) SetPhase(job, JobPhase::kRunning, now);
  return true;
}

//-------------------------------------------------------------------------------------------------
// Preemption
//-------------------------------------------------------------------------------------------------

// Returns true if the job has priority 0 and its account's guarantee covers all of the account's jobs of priority 0.
bool Scheduler::WithinGuarantee(const Unit& unit) {
  const AcceptedJob& job = unit.m_step->m_job->m_job;
  if (job.m_priority != 0 || !m_configuration) return false;
  if (!std::exchange(m_urgent_demand_valid, true)) {
    m_urgent_demand.clear();
    for (const auto& [id, other] : m_jobs) {
      if (Ended(other->m_phase) || other->m_job.m_priority != 0) continue;
      int& needed = m_urgent_demand[other->m_job.m_account];
      for (const StepSpec& step : other->m_job.m_request.m_steps) needed += step.m_tasks * step.m_task.m_accelerators;
    }
  }
  return m_urgent_demand[job.m_account] <= m_configuration->Guaranteed(job.m_account);
}

const WorkerTable::RackMap& Scheduler::RacksFor(const Unit& unit) {
  const PoolName& pool = unit.m_step->m_job->m_job.m_pool;
  const std::string& label = unit.m_step->m_spec->m_required_label;
  const auto [entry, added] = m_racks.try_emplace({pool, label});
  if (added) entry->second = m_workers.Racks(pool, label);
  return entry->second;
}

// Work that is lost by stopping the unit's run, in core-seconds.
double Scheduler::LostWork(const Unit& unit, Now now) const {
  Millis since = now.m_steady - unit.m_placed;
  if (unit.m_step->m_spec->m_checkpoints) since = std::min(since, m_settings.m_restore);
  return CoreEquivalents(unit.m_step->m_spec->m_task) * static_cast<double>(unit.m_members.size()) *
         static_cast<double>(since.count()) / 1000.0;
}

bool Scheduler::MayPreempt(const Unit& victim, const Unit& unit) const {
  if (victim.m_stopping || victim.m_done) return false;
  const AcceptedJob& victim_job = victim.m_step->m_job->m_job;
  const AcceptedJob& unit_job = unit.m_step->m_job->m_job;
  return victim_job.m_priority > unit_job.m_priority;
}

// A worker as host of one more member, and the cost of the necessary preemptions.
struct Scheduler::HostOption {
  WorkerSlot* m_slot = nullptr;
  Resources m_room;           // Free resources after all units that are chosen so far have ended.
  int m_planned_members = 0;  // Members that the plan places here.
  bool m_up_to_date = false;
  bool m_possible = false;
  double m_cost = 0.0;
  std::vector<Unit*> m_victims;
};

// Computes which units one more member on the option's worker would stop, and at what cost.
void Scheduler::EvaluateOption(const Unit& unit, const UnitSet& chosen, Now now, HostOption* option) const {
  const Resources& task = unit.m_step->m_spec->m_task;
  option->m_up_to_date = true;
  option->m_victims.clear();
  option->m_cost = 0.0;
  option->m_possible =
      LimitPerWorker(*option->m_slot, unit, std::numeric_limits<int>::max()) > option->m_planned_members;
  if (!option->m_possible) return;
  std::vector<std::pair<double, Unit*>> stoppable;
  for (const auto& [held, index] : option->m_slot->m_members) {
    // Members of one unit are adjacent in the set.
    const bool seen = !stoppable.empty() && stoppable.back().second == held;
    if (!seen && MayPreempt(*held, unit) && !chosen.contains(held)) stoppable.emplace_back(LostWork(*held, now), held);
  }
  std::stable_sort(stoppable.begin(), stoppable.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources left = option->m_room;
  for (const auto& [lost, held] : stoppable) {
    if (task.FitsIn(left)) break;
    for (const auto& [other, index] : option->m_slot->m_members) {
      if (other == held) left += held->m_step->m_spec->m_task;
    }
    option->m_victims.push_back(held);
    option->m_cost += lost;
  }
  option->m_possible = task.FitsIn(left);
  // At equal cost prefers the fuller worker, so that empty workers stay free for larger gangs.
  option->m_cost += 0.001 * left.m_accelerators;
}

// Greedily chooses the cheapest units to stop so that all members fit on `candidates`; empty if that is impossible.
std::optional<Scheduler::PreemptionPlan> Scheduler::PlanPreemption(const Unit& unit,
                                                                   const std::vector<WorkerSlot*>& candidates,
                                                                   Now now) const {
  const Resources& task = unit.m_step->m_spec->m_task;
  PreemptionPlan plan;
  std::vector<HostOption> options;
  for (WorkerSlot* slot : candidates) {
    if (slot->m_reserved_for != nullptr && slot->m_reserved_for != &unit) continue;
    HostOption& option = options.emplace_back();
    option.m_slot = slot;
    option.m_room = slot->m_free;
    for (const auto& [held, index] : slot->m_members) {
      if (held->m_stopping || held->m_done) option.m_room += held->m_step->m_spec->m_task;
    }
  }
  while (plan.m_slots.size() < unit.m_members.size()) {
    HostOption* best = nullptr;
    for (HostOption& option : options) {
      if (!option.m_up_to_date) EvaluateOption(unit, plan.m_victims, now, &option);
      if (option.m_possible && (best == nullptr || option.m_cost < best->m_cost)) best = &option;
    }
    if (best == nullptr) return std::nullopt;
    const std::vector<Unit*> victims = best->m_victims;
    plan.m_cost += best->m_cost;
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

// Most work that may be lost for the unit, in core-seconds.
double Scheduler::MaxLostWork(const Unit& unit) const {
  const StepSpec& spec = *unit.m_step->m_spec;
  const double own = CoreEquivalents(spec.m_task) * static_cast<double>(unit.m_members.size()) *
                     static_cast<double>(spec.m_estimate.count()) / 1000.0;
  return m_settings.m_max_lost_core_s + m_settings.m_max_lost_share * own;
}

bool Scheduler::PreemptFor(Unit* unit, Now now) {
  if (unit->m_reserved_until > now.m_steady) return false;  // A preemption for it is in progress.
  const StepSpec& spec = *unit->m_step->m_spec;
  const auto& racks = RacksFor(*unit);
  std::optional<PreemptionPlan> best;
  if (spec.m_rack_local && unit->m_members.size() > 1) {
    for (const auto& [name, slots] : racks) {
      auto plan = PlanPreemption(*unit, slots, now);
      if (plan && (!best || plan->m_cost < best->m_cost)) best = std::move(plan);
    }
  }
  if (!best && (!spec.m_rack_local || WithinGuarantee(*unit))) best = PlanPreemption(*unit, Flatten(racks), now);
  if (!best) return false;
  const bool overdue =
      now.m_wall - unit->m_step->m_job->m_job.m_accepted > m_settings.m_spread_after && WithinGuarantee(*unit);
  if (!overdue && best->m_cost > MaxLostWork(*unit)) return false;
  for (WorkerSlot* slot : best->m_slots) slot->m_reserved_for = unit;
  unit->m_reserved_until = now.m_steady + m_settings.m_stop_timeout + m_settings.m_reservation_margin;
  for (Unit* victim : best->m_victims) {
    ++m_preemptions;
    StopRun(victim, "makes room for urgent work");
  }
  return true;
}

}  // namespace hickoryquay::jobs
