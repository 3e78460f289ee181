#include "hickoryquay/jobs/scheduler.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/job_memory.h"

namespace hickoryquay::jobs {

namespace {

constexpr log::Part kLog{"scheduler"};

}  // namespace

Scheduler::Scheduler(const SchedulerSettings& settings) : m_settings(settings) {}
Scheduler::~Scheduler() = default;

//-------------------------------------------------------------------------------------------------
// Restoring
//-------------------------------------------------------------------------------------------------

void Scheduler::RestoreJob(const AcceptedJob& job) {
  auto& state = m_jobs[job.m_id];
  if (state) return;
  state = std::make_unique<JobState>();
  state->m_job = job;
  state->m_payload = std::make_shared<const std::string>(job.m_request.m_payload);
  state->m_job.m_request.m_payload.clear();  // m_payload holds the only copy.
  state->m_occurrences = std::max(1, job.m_request.m_repeats);
  state->m_steps.resize(static_cast<std::size_t>(state->m_occurrences));
  state->m_critical_path = EstimateCriticalPath(job.m_request);
  state->m_memory_bytes = MemoryOf(job.m_request);
  m_job_bytes += state->m_memory_bytes;
  m_account_bytes[job.m_account] += state->m_memory_bytes;
  m_open_jobs[job.m_id] = state.get();
}

void Scheduler::RestorePhase(JobId id, JobPhase phase, Instant since) {
  JobState* job = Find(id);
  if (job == nullptr) return;
  job->m_phase = phase;
  job->m_phase_stored = true;
  job->m_has_run = phase != JobPhase::kQueued;
  job->m_begun = job->m_has_run;  // When it began is not known here.
  if (!Ended(phase)) return;
  job->m_ended = since;
  m_open_jobs.erase(id);
}

void Scheduler::RestoreStep(const StepRow& row) {
  JobState* job = Find(row.m_key.m_job);
  if (job == nullptr) return log::Warn(kLog, "Stored step belongs to no known job", {{"step", ToText(row.m_key)}});
  StepState* step = FindOrCreateStep(job, row.m_key.m_occurrence, row.m_key.m_step);
  if (step == nullptr) return log::Warn(kLog, "Stored step does not exist in its job", {{"step", ToText(row.m_key)}});
  step->m_stored_rows.insert(row.m_index);
  for (const UnitRow& unit_row : row.m_units) {
    Unit* unit = step->FindUnit(unit_row.m_first);
    if (unit == nullptr) continue;
    if (RowOf(*unit).m_index != row.m_index) {  // Written by an earlier version: it is split up.
      MarkChanged(*unit);
      m_changed_rows.insert({step->m_key, row.m_index});
    }
    if (unit->IsFirstRun()) --step->m_first_runs;  // Told by another row, of an earlier version.
    unit->m_run = unit_row.m_run;
    if (!step->m_spec->m_long_running) unit->m_failed_runs = unit_row.m_failed_runs;  // Earlier versions kept all.
    unit->m_crashes = unit_row.m_crashes;
    unit->m_checkpoint = unit_row.m_checkpoint;
    if (unit_row.m_done && !unit->m_done) --step->m_units_left;
    unit->m_done = unit->m_done || unit_row.m_done;
    for (std::size_t i = 0; i < unit_row.m_members.size() && i < unit->m_members.size(); ++i) {
      const PlacedMember& placed = unit_row.m_members[i];
      if (placed.m_settled) {
        unit->m_members[i].m_state = MemberState::kSettled;
        continue;
      }
      WorkerSlot* slot = m_workers.Add(placed.m_worker);
      if (slot->m_entry.m_address.empty()) slot->m_entry.m_address = placed.m_address;
      Member& member = unit->m_members[i];
      member.m_state = MemberState::kUnknown;
      member.m_slot = slot;
      member.m_restored = true;
      m_workers.Allocate(slot, unit, i);
      member.m_born = placed.m_born;
      unit->m_active = true;
    }
    if (!unit->m_active) {
      const auto& failed_runs = unit_row.m_failed_runs;
      const bool failed = std::find(failed_runs.begin(), failed_runs.end(), unit->m_run) != failed_runs.end();
      unit->m_interruption = failed ? Interruption::kOther : Interruption::kLost;
      step->OnWaiting(*unit);
      continue;
    }
    m_active.insert(unit);
    if (unit->IsFirstRun()) ++step->m_first_runs;
    const auto& failed_runs = unit_row.m_failed_runs;
    const bool failed = std::find(failed_runs.begin(), failed_runs.end(), unit->m_run) != failed_runs.end();
    // The leader before stored the end of a member and was lost before it stopped the others.
    const bool incomplete =
        !unit->m_done && std::any_of(unit->m_members.begin(), unit->m_members.end(),
                                     [](const Member& member) { return member.m_state == MemberState::kSettled; });
    if (failed || incomplete || Ended(job->m_phase)) StopRun(unit, "run was ending before the takeover");
  }
}

void Scheduler::RestoreUnreadStep(const StepRowKey& row) {
  JobState* job = Find(row.m_step.m_job);
  if (job == nullptr) return;
  StepState* step = FindOrCreateStep(job, row.m_step.m_occurrence, row.m_step.m_step);
  if (step == nullptr) return;
  // The first row may be of an earlier version and hold units of all rows.
  const auto told = [step, &row](const Unit& unit) {
    const int index = RowOf(unit).m_index;
    return index == row.m_index || (row.m_index == 0 && !step->m_stored_rows.contains(index));
  };
  for (const auto& unit : step->m_units) {
    if (told(*unit) && unit->IsWaiting()) unit->m_unread = true;
  }
  step->m_stored_rows.insert(row.m_index);
}

void Scheduler::EndRestoredJobs(Now now) {
  std::vector<JobState*> jobs;
  for (const auto& [id, job] : m_open_jobs) jobs.push_back(job);
  for (JobState* job : jobs) {
    const bool failed = std::any_of(job->m_steps.begin(), job->m_steps.end(), [job](const auto& steps) {
      return std::any_of(steps.begin(), steps.end(), [job](const auto& step) {
        return std::any_of(step->m_units.begin(), step->m_units.end(),
                           [job](const auto& unit) { return !unit->m_done && HasUsedAllAttempts(*unit, *job); });
      });
    });
    failed ? EndJob(job, JobPhase::kFailed, now) : FinishIfComplete(job, now);
  }
}

//-------------------------------------------------------------------------------------------------
// Jobs
//-------------------------------------------------------------------------------------------------

JobState* Scheduler::Find(JobId job) {
  const auto found = m_jobs.find(job);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

void Scheduler::OnJob(const AcceptedJob& job, Now now) {
  if (Find(job.m_id) != nullptr) return;
  RestoreJob(job);
  JobState* state = Find(job.m_id);
  state->m_taken_in = now.m_steady;
  m_last_jobs[{job.m_pool, job.m_priority}] = now.m_steady;
  CreateDueSteps(state, now);
  const StepSpec& first = job.m_request.m_steps.front();
  log::Info(kLog, "Job taken in",
            {{"job", HexText(job.m_id)},
             {"queue", job.m_queue.m_value},
             {"account", job.m_account.m_value},
             {"accepted_ms_ago", std::to_string((now.m_wall - job.m_accepted).count())},
             {"priority", std::to_string(job.m_priority)},
             {"steps", std::to_string(job.m_request.m_steps.size())},
             {"tasks", std::to_string(first.m_tasks)},
             {"accelerators", std::to_string(first.m_task.m_accelerators)},
             {"gang", first.m_gang ? first.m_rack_local ? "rack" : "any" : "no"},
             {"label", first.m_required_label},
             {"estimate_ms", std::to_string(state->m_critical_path.count())},
             {"objective_in_ms", std::to_string((ObjectiveDeadline(*state, 0) - now.m_wall).count())}});
}

void Scheduler::OnCancel(JobId id, Now now) {
  JobState* job = Find(id);
  if (job == nullptr || Ended(job->m_phase)) return;
  EndJob(job, JobPhase::kCancelled, now);
}

void Scheduler::SetConfiguration(std::shared_ptr<const QueueConfiguration> configuration) {
  m_configuration = std::move(configuration);
}

StepState* Scheduler::FindOrCreateStep(JobState* job, int occurrence, int index) {
  const auto& specs = job->m_job.m_request.m_steps;
  if (occurrence < 0 || occurrence >= job->m_occurrences) return nullptr;
  if (index < 0 || index >= static_cast<int>(specs.size())) return nullptr;
  auto& steps = job->m_steps[static_cast<std::size_t>(occurrence)];
  if (steps.empty()) {
    steps.resize(specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i) {
      auto step = std::make_unique<StepState>();
      step->m_key = StepKey{job->m_job.m_id, occurrence, static_cast<int>(i)};
      step->m_job = job;
      step->m_spec = &specs[i];
      const int units = specs[i].m_gang ? 1 : specs[i].m_tasks;
      for (int u = 0; u < units; ++u) {
        auto unit = std::make_unique<Unit>();
        unit->m_step = step.get();
        unit->m_first = u;
        unit->m_members.resize(specs[i].m_gang ? static_cast<std::size_t>(specs[i].m_tasks) : 1);
        step->m_units.push_back(std::move(unit));
      }
      step->m_units_left = units;
      steps[i] = std::move(step);
      for (const int earlier : specs[i].m_after) steps[static_cast<std::size_t>(earlier)]->m_is_awaited = true;
    }
    ++job->m_created_occurrences;
  }
  return steps[static_cast<std::size_t>(index)].get();
}

void Scheduler::CreateDueSteps(JobState* job, Now now) {
  const JobRequest& request = job->m_job.m_request;
  for (int k = 0; k < job->m_occurrences; ++k) {
    if (!job->m_steps[static_cast<std::size_t>(k)].empty()) continue;
    const bool due = request.m_repeats == 0 ||
                     request.m_first_due + k * request.m_interval <= now.m_wall + m_settings.m_max_early_start;
    if (!due) break;
    FindOrCreateStep(job, k, 0);
  }
}

void Scheduler::SetPhase(JobState* job, JobPhase phase, Now now) {
  if (job->m_phase == phase) return;
  job->m_phase = phase;
  if (Ended(phase)) {
    job->m_ended = now.m_wall;
    m_open_jobs.erase(job->m_job.m_id);
  }
  m_changed_phases[job->m_job.m_id] = phase;
}

void Scheduler::FinishIfComplete(JobState* job, Now now) {
  if (Ended(job->m_phase)) return;
  for (const auto& steps : job->m_steps) {
    if (steps.empty()) return;
    for (const auto& step : steps) {
      if (step->m_units_left > 0) return;
    }
  }
  EndJob(job, JobPhase::kCompleted, now);
}

void Scheduler::EndJob(JobState* job, JobPhase phase, Now now) {
  log::Info(kLog, "Job ended", {{"job", HexText(job->m_job.m_id)}, {"phase", ToString(phase)}});
  SetPhase(job, phase, now);
  for (const auto& steps : job->m_steps) {
    for (const auto& step : steps) {
      for (const auto& unit : step->m_units) {
        // The other members of a gang that is done end without a stop.
        if (unit->m_active && !unit->m_done) StopRun(unit.get(), ToString(phase));
      }
    }
  }
}

std::vector<SettledJob> Scheduler::TakeSettledJobs() {
  std::set<JobId> unsettled;
  for (const Unit* unit : m_active) unsettled.insert(unit->m_step->m_key.m_job);
  for (const StepRowKey& row : m_changed_rows) unsettled.insert(row.m_step.m_job);
  for (const auto& [job, phase] : m_changed_phases) unsettled.insert(job);
  std::vector<SettledJob> settled;
  for (const auto& [id, job] : m_jobs) {
    if (!Ended(job->m_phase) || job->m_settled || !job->m_phase_stored || unsettled.contains(id)) continue;
    job->m_settled = true;
    settled.push_back({id, PhaseRow{job->m_phase, job->m_ended}});
  }
  return settled;
}

void Scheduler::OnArchived(const std::vector<JobId>& jobs, Version moved, Now now) {
  for (const JobId id : jobs) {
    JobState* job = Find(id);
    if (job == nullptr) continue;
    for (auto& steps : job->m_steps) {
      for (const auto& step : steps) {
        // A job may be cancelled while room is made for it.
        for (const auto& unit : step->m_units) {
          ReleaseReservation(unit.get());
          ReleaseHeldWorkers(unit.get());
        }
        for (const int index : step->m_stored_rows) m_removed_rows.push_back(ToText(StepRowKey{step->m_key, index}));
      }
      steps.clear();
    }
    m_removed_rows.push_back(HexText(id));
    job->m_payload.reset();
    const std::uint64_t bytes = std::exchange(job->m_memory_bytes, 0);
    m_job_bytes -= bytes;
    const auto account = m_account_bytes.find(job->m_job.m_account);
    if (account != m_account_bytes.end() && (account->second -= bytes) == 0) m_account_bytes.erase(account);
    m_archived.Add(id, moved, now.m_steady);
  }
}

void Scheduler::ForgetArchivedJobs(Now now) {
  for (const JobId job : m_archived.TakeForgotten(now.m_steady, m_settings.m_forget_after)) {
    m_open_jobs.erase(job);
    m_jobs.erase(job);
  }
}

//-------------------------------------------------------------------------------------------------
// Workers
//-------------------------------------------------------------------------------------------------

void Scheduler::OnWorkerListed(const WorkerEntry& worker, Now now) {
  // All workers are listed again when the row of one changes: only a new value tells how much time is left from now on.
  const WorkerSlot* known = m_workers.Find(worker.m_id);
  const bool cold_reported = known == nullptr || known->m_entry.m_cold_left != worker.m_cold_left;
  const bool leave_reported = known == nullptr || known->m_entry.m_draining != worker.m_draining ||
                              known->m_entry.m_remaining != worker.m_remaining;
  m_workers.Update(worker);
  WorkerSlot* slot = m_workers.Find(worker.m_id);
  if (cold_reported) slot->m_cold_until = now.m_steady + worker.m_cold_left.value_or(Millis{0});
  if (leave_reported) {
    slot->m_leaves_at.reset();
    if (worker.m_draining && worker.m_remaining) slot->m_leaves_at = now.m_steady + *worker.m_remaining;
    if (worker.m_draining) WithdrawUnsent(slot, "its worker is leaving");
  }
  slot->m_evacuated = m_evacuated.contains(worker.m_domain);
  slot->m_domain_lost = m_lost.contains(worker.m_domain);
}

void Scheduler::OnWorkerUnlisted(const WorkerId& worker) {
  WorkerSlot* slot = m_workers.Find(worker);
  if (slot == nullptr) return;
  slot->m_listed = false;
  m_workers.EraseIfUnused(worker);
}

void Scheduler::SetWorkerUsable(const WorkerId& worker, bool usable) {
  WorkerSlot* slot = m_workers.Find(worker);
  if (slot != nullptr) slot->m_usable = usable;
}

void Scheduler::OnWorkerSilent(const WorkerId& worker, Now now) {
  WorkerSlot* slot = m_workers.Find(worker);
  if (slot != nullptr && slot->m_silent_since == Instant{}) slot->m_silent_since = now.m_steady;
}

void Scheduler::OnWorkerCleared(const WorkerId& worker, WorkerLoss loss, Now now) {
  WorkerSlot* slot = m_workers.Find(worker);
  if (slot == nullptr) return;
  slot->m_unrecorded_runs = 0;
  if (loss != WorkerLoss::kLeaseOver && !std::exchange(slot->m_lost, true)) ++m_lost_workers;
  const auto members = slot->m_members;
  const LostWorker lost = Describe(*slot, loss, now);
  for (const auto& [unit, member] : members) {
    if (unit->m_members[member].m_slot != slot) continue;
    const bool late = loss != WorkerLoss::kReplaced && MayStartLate(*slot, unit->m_members[member], now);
    if (!late) {
      LoseRun(unit, member, lost, now);
      continue;
    }
    RecordCrash(unit, member, lost, now);
    StopLateStart(unit, member, "its worker is gone, a late start may arrive", now);
  }
  m_workers.EraseIfUnused(worker);
}

bool Scheduler::IsBusy(const WorkerId& worker) const {
  const WorkerSlot* slot = m_workers.Find(worker);
  if (slot == nullptr) return false;
  return std::any_of(slot->m_members.begin(), slot->m_members.end(), [](const auto& held) {
    return held.first->m_members[held.second].m_state != MemberState::kPlanned;
  });
}

bool Scheduler::HasUnrecordedRuns(const WorkerId& worker) const {
  const WorkerSlot* slot = m_workers.Find(worker);
  return slot != nullptr && slot->m_unrecorded_runs > 0;
}

bool Scheduler::NeedsPoll(const WorkerId& worker, Instant last) const {
  const WorkerSlot* slot = m_workers.Find(worker);
  if (slot == nullptr) return false;
  return std::any_of(slot->m_members.begin(), slot->m_members.end(), [last](const auto& held) {
    const Member& member = held.first->m_members[held.second];
    return (member.m_state == MemberState::kUnknown && member.m_since >= last) ||
           (member.m_stop == StopState::kAcknowledged && member.m_stop_at >= last);
  });
}

std::vector<OccupiedWorker> Scheduler::OccupiedWorkers() const {
  std::vector<OccupiedWorker> occupied;
  for (const auto& [id, slot] : m_workers.All()) {
    if (slot->m_members.empty()) continue;
    Instant born;
    bool all_known = true;
    for (const auto& [unit, index] : slot->m_members) {
      const Instant of_run = unit->m_members[index].m_born;
      all_known = all_known && of_run != Instant{};
      born = std::max(born, of_run);
    }
    occupied.push_back({id, slot->m_entry.m_address, all_known ? std::optional(born) : std::nullopt});
  }
  return occupied;
}

//-------------------------------------------------------------------------------------------------
// Commands for the driver
//-------------------------------------------------------------------------------------------------

Batch Scheduler::TakeBatch(std::size_t max_rows, std::size_t max_bytes) {
  Batch batch;
  // Steps are written before phases, so that a job is not reported as ended before its ends are stored.
  std::set<StepRowKey> taken;
  std::size_t bytes = 0;
  bool full = false;
  while (!m_changed_rows.empty() && batch.m_rows.size() < max_rows && !full) {
    const StepRowKey row = *m_changed_rows.begin();
    JobState* job = Find(row.m_step.m_job);
    if (job != nullptr) {
      StepState* step = FindOrCreateStep(job, row.m_step.m_occurrence, row.m_step.m_step);
      if (step->m_set_aside_rows.contains(row.m_index)) {
        m_changed_rows.erase(m_changed_rows.begin());
        continue;
      }
      std::string value = Write(MakeStepRow(*step, row.m_index));
      full = !batch.m_rows.empty() && bytes + value.size() > max_bytes;
      if (full) break;  // It is part of the next batch.
      bytes += value.size();
      step->m_stored_rows.insert(row.m_index);
      batch.m_rows.push_back({ToText(row), std::move(value)});
      taken.insert(row);
    }
    m_changed_rows.erase(m_changed_rows.begin());
  }
  if (m_changed_rows.empty()) {
    while (!m_changed_phases.empty() && batch.m_rows.size() < max_rows) {
      const auto [id, phase] = *m_changed_phases.begin();
      m_changed_phases.erase(m_changed_phases.begin());
      JobState* job = Find(id);
      if (job == nullptr) continue;
      job->m_phase_stored = true;
      batch.m_rows.push_back({HexText(id), Write(PhaseRow{phase, job->m_ended})});
      batch.m_phases.push_back({id, phase, job->m_job.m_priority, job->m_job.m_accepted});
    }
    for (WorkerSlot* slot : m_workers.Slots()) {
      if (slot->m_withholds_ends || slot->m_processed_ends <= slot->m_released_ends) continue;
      slot->m_released_ends = slot->m_processed_ends;
      batch.m_recorded_ends.push_back({slot->m_entry.m_id, slot->m_processed_ends, slot->m_born});
    }
  }
  // Deletions fill what is left, since nothing waits for them.
  while (!m_removed_rows.empty() && batch.m_rows.size() < max_rows) {
    batch.m_rows.push_back({std::move(m_removed_rows.back()), std::nullopt});
    m_removed_rows.pop_back();
  }
  std::erase_if(m_unsent_starts, [&](StartCommand& command) {
    const Unit* unit = FindMember(command.m_task).first;
    if (unit == nullptr || !taken.contains(RowOf(*unit))) return false;
    batch.m_starts.push_back(std::move(command));
    return true;
  });
  return batch;
}

void Scheduler::SetAside(const StepRowKey& row) {
  JobState* job = Find(row.m_step.m_job);
  StepState* step = job == nullptr ? nullptr : FindOrCreateStep(job, row.m_step.m_occurrence, row.m_step.m_step);
  if (step == nullptr) return;
  step->m_set_aside_rows.insert(row.m_index);
  for (const auto& unit : step->m_units) {
    if (RowOf(*unit).m_index != row.m_index) continue;
    unit->m_set_aside = true;
    const bool unsent = unit->m_active && std::all_of(unit->m_members.begin(), unit->m_members.end(),
                                                      [](const auto& m) { return m.m_state == MemberState::kPlanned; });
    if (unsent) StopRun(unit.get(), "its row can't be stored");
  }
}

void Scheduler::WithholdEnds(const WorkerId& worker) {
  if (WorkerSlot* slot = m_workers.Find(worker)) slot->m_withholds_ends = true;
}

StepRow Scheduler::MakeStepRow(const StepState& step, int index) const {
  StepRow row{step.m_key, {}, index};
  const std::size_t begin = static_cast<std::size_t>(index) * kUnitsPerRow;
  const std::size_t end = std::min(begin + kUnitsPerRow, step.m_units.size());
  for (std::size_t u = begin; u < end; ++u) {
    const Unit* unit = step.m_units[u].get();
    if (Raw(unit->m_run) == 0) continue;
    UnitRow& unit_row = row.m_units.emplace_back();
    unit_row.m_first = unit->m_first;
    unit_row.m_run = unit->m_run;
    unit_row.m_done = unit->m_done;
    unit_row.m_failed_runs = unit->m_failed_runs;
    unit_row.m_crashes = unit->m_crashes;
    unit_row.m_checkpoint = unit->m_checkpoint;
    if (!unit->m_active) continue;
    for (const Member& member : unit->m_members) {
      PlacedMember& placed = unit_row.m_members.emplace_back();
      placed.m_settled = member.m_slot == nullptr;
      if (placed.m_settled) continue;
      placed.m_worker = member.m_slot->m_entry.m_id;
      placed.m_address = member.m_slot->m_entry.m_address;
      placed.m_born = member.m_born;
    }
  }
  return row;
}

std::vector<StopCommand> Scheduler::TakeStops(Now now) {
  std::vector<StopCommand> stops;
  for (Unit* unit : m_active) {
    for (std::size_t i = 0; i < unit->m_members.size(); ++i) {
      Member& member = unit->m_members[i];
      if (member.m_slot == nullptr || member.m_stop != StopState::kRequested || now.m_steady < member.m_stop_at)
        continue;
      member.m_stop = StopState::kSent;
      if (member.m_stop_sent.m_ms == 0) member.m_stop_sent = now.m_steady;
      stops.push_back({member.m_slot->m_entry.m_id, unit->Key(i), unit->m_run});
    }
  }
  for (WorkerSlot* slot : m_workers.Slots()) {
    for (LateCopy& copy : slot->m_late_copies) {
      if (copy.m_stop != StopState::kRequested || now.m_steady < copy.m_stop_at) continue;
      copy.m_stop = StopState::kSent;
      stops.push_back({slot->m_entry.m_id, copy.m_task, copy.m_run});
    }
  }
  for (const auto& [worker, run] : m_unrecorded_runs) stops.push_back({worker, run.first, run.second});
  m_unrecorded_runs.clear();  // A run that is still there is found again by the next poll.
  return stops;
}

std::map<QueueName, int> Scheduler::Pending() const {
  std::map<QueueName, int> pending;
  for (const auto& [id, job] : m_jobs) {
    if (!Ended(job->m_phase) && !job->m_has_run) ++pending[job->m_job.m_queue];
  }
  return pending;
}

std::optional<JobPhase> Scheduler::Phase(JobId id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? std::nullopt : std::optional(found->second->m_phase);
}

SchedulerCounts Scheduler::Counts() const {
  SchedulerCounts counts;
  counts.m_open_jobs = static_cast<int>(m_open_jobs.size());
  counts.m_active_units = static_cast<int>(m_active.size());
  counts.m_starts = m_starts;
  counts.m_preemptions = m_preemptions;
  counts.m_lost_runs = m_lost_runs;
  counts.m_lost_ends = m_lost_ends;
  for (const auto& [id, slot] : m_workers.All()) {
    if (!slot->m_listed) continue;
    counts.m_accelerators += slot->m_entry.m_capacity.m_accelerators;
    counts.m_used_accelerators += slot->m_entry.m_capacity.m_accelerators - slot->m_free.m_accelerators;
  }
  return counts;
}

}  // namespace hickoryquay::jobs
