// Lifecycle of a run: start, answers, poll replies, end, and how it is established that a run can't exist any more.

#include <algorithm>
#include <optional>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {

namespace {

constexpr log::Part kLog{"runs"};

std::string RunText(RunNumber run) {
  return std::to_string(Raw(run));
}

bool OccupiesWorker(const Member& member) {
  return member.m_slot != nullptr;
}

// All units of the step are done, or are confirmed by their workers.
bool AllRun(const StepState& step) {
  const auto runs = [](const Member& member) {
    return member.m_state == MemberState::kRunning || member.m_state == MemberState::kSettled;
  };
  return std::all_of(step.m_units.begin(), step.m_units.end(), [&runs](const auto& unit) {
    return unit->m_done || (unit->m_active && std::all_of(unit->m_members.begin(), unit->m_members.end(), runs));
  });
}

// As AllRun, and none is being stopped.
bool AllRunOn(const StepState& step) {
  return AllRun(step) && std::none_of(step.m_units.begin(), step.m_units.end(),
                                      [](const auto& unit) { return !unit->m_done && unit->m_stopping; });
}

void SetState(Member* member, MemberState state, Instant since) {
  member->m_state = state;
  member->m_since = since;
}

// False where the pace depends on more than the worker: away from the data, or in a rack-local gang across racks.
bool TellsSpeed(const Unit& unit) {
  const StepSpec& spec = *unit.m_step->m_spec;
  const auto on_rack = [](const Member& member, const std::string& rack) {
    return member.m_slot == nullptr || member.m_slot->m_entry.m_rack == rack;
  };
  const auto all_on = [&](const std::string& rack) {
    return std::all_of(unit.m_members.begin(), unit.m_members.end(),
                       [&](const Member& member) { return on_rack(member, rack); });
  };
  if (!spec.m_data_rack.empty() && !all_on(spec.m_data_rack)) return false;
  const WorkerSlot* first = unit.m_members.front().m_slot;
  return !spec.m_rack_local || first == nullptr || all_on(first->m_entry.m_rack);
}

// Steady time since which all members run; empty if some don't. A gang makes no progress before.
std::optional<Instant> AllMembersRunSince(const Unit& unit) {
  Instant since;
  for (const Member& member : unit.m_members) {
    if (member.m_state != MemberState::kRunning) return std::nullopt;
    since = std::max(since, member.m_since);
  }
  return since;
}

// As above. Instant{} if the run may have resumed from a checkpoint or was started by an earlier scheduler, so that its
// progress did not begin at 0 then.
std::optional<Instant> WorkBegan(const Unit& unit) {
  const auto restored = [](const Member& member) { return member.m_restored; };
  const bool fresh = Raw(unit.m_run) == 1 && std::none_of(unit.m_members.begin(), unit.m_members.end(), restored);
  const auto since = AllMembersRunSince(unit);
  if (!since || fresh) return since;
  return Instant{};
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// Answers
//-------------------------------------------------------------------------------------------------

bool Scheduler::MaySend(const StartCommand& command) const {
  const auto job = m_jobs.find(command.m_task.m_step.m_job);
  if (job == m_jobs.end()) return false;
  const auto& steps = job->second->m_steps[static_cast<std::size_t>(command.m_task.m_step.m_occurrence)];
  if (static_cast<std::size_t>(command.m_task.m_step.m_step) >= steps.size()) return false;  // The job is archived.
  const Unit* unit = steps[static_cast<std::size_t>(command.m_task.m_step.m_step)]->FindUnit(command.m_task.m_index);
  if (unit == nullptr || !unit->m_active || unit->m_run != command.m_run) return false;
  const Member& member = unit->m_members[static_cast<std::size_t>(command.m_task.m_index - unit->m_first)];
  return (member.m_state == MemberState::kPlanned || member.m_state == MemberState::kSent) && !unit->m_stopping &&
         member.m_slot->TakesStarts();
}

// Returns the unit of a task and the index of its member; nullptr if the job or its step is unknown.
std::pair<Unit*, std::size_t> Scheduler::FindMember(const TaskKey& task) {
  JobState* job = Find(task.m_step.m_job);
  if (job == nullptr || task.m_step.m_occurrence >= job->m_occurrences) return {nullptr, 0};
  const auto& steps = job->m_steps[static_cast<std::size_t>(task.m_step.m_occurrence)];
  if (task.m_step.m_step >= static_cast<int>(steps.size())) return {nullptr, 0};
  Unit* unit = steps[static_cast<std::size_t>(task.m_step.m_step)]->FindUnit(task.m_index);
  return {unit, unit == nullptr ? 0 : static_cast<std::size_t>(task.m_index - unit->m_first)};
}

std::vector<StartCommand> Scheduler::TakeResends(Instant now, const JobFilter& sent) {
  std::vector<StartCommand> resends;
  for (StartCommand& command : std::exchange(m_resends, {})) {
    if (sent && !sent(command.m_task.m_step.m_job)) {
      m_resends.push_back(std::move(command));
      continue;
    }
    const auto [unit, index] = FindMember(command.m_task);
    const bool wanted = unit != nullptr && unit->m_active && unit->m_run == command.m_run && !unit->m_stopping &&
                        unit->m_members[index].m_state == MemberState::kSent;
    if (!wanted) continue;
    Member& member = unit->m_members[index];
    // A run that is not sent again is stopped if the worker does not list it; see SettleAbsent.
    member.m_slot->TakesStarts() ? resends.push_back(std::move(command))
                                 : SetState(&member, MemberState::kUnknown, now);
  }
  return resends;
}

void Scheduler::OnStartSent(const StartCommand& command, Now now) {
  const auto [unit, index] = FindMember(command.m_task);
  if (unit == nullptr || unit->m_run != command.m_run) return;
  unit->m_members[index].m_last_sent = now.m_steady;
  if (unit->m_members[index].m_state != MemberState::kPlanned) return;  // A resend.
  SetState(&unit->m_members[index], MemberState::kSent, now.m_steady);
  ++m_starts;
}

void Scheduler::OnStartAnswer(const StartCommand& command, StartOutcome outcome, Now now) {
  const auto [unit, index] = FindMember(command.m_task);
  if (unit == nullptr || unit->m_run != command.m_run) return;
  Member& member = unit->m_members[index];
  if (!OccupiesWorker(member) || member.m_slot->m_entry.m_id != command.m_worker ||
      member.m_state != MemberState::kSent)
    return;
  // After a start without an answer, the refusal of a resend does not prove that the first one won't arrive.
  if (member.m_resends > 0 && outcome != StartOutcome::kAccepted) outcome = StartOutcome::kUnknown;
  switch (outcome) {
    case StartOutcome::kAccepted:
      member.m_slot->m_refusals = 0;
      log::Info(kLog, "Start confirmed",
                {{"task", ToText(command.m_task)},
                 {"run", RunText(command.m_run)},
                 {"worker", command.m_worker.m_value},
                 {"ms", std::to_string((now.m_steady - member.m_since).count())}});
      SetState(&member, MemberState::kRunning, now.m_steady);
      NoteRunning(*unit, now);
      return;
    case StartOutcome::kUnknown:
      if (member.m_resends < m_settings.m_max_start_resends && !unit->m_stopping) {
        ++member.m_resends;
        log::Warn(
            kLog, "Start was not answered, sending it again",
            {{"task", ToText(command.m_task)}, {"run", RunText(command.m_run)}, {"worker", command.m_worker.m_value}});
        m_resends.push_back(command);
        return;
      }
      [[fallthrough]];
    case StartOutcome::kFenced:            // A newer scheduler is active and resolves the state of the run.
    case StartOutcome::kOtherIncarnation:  // The session reports the loss of the whole worker.
      log::Warn(
          kLog, "Start got no usable answer, the run may have started",
          {{"task", ToText(command.m_task)}, {"run", RunText(command.m_run)}, {"worker", command.m_worker.m_value}});
      SetState(&member, MemberState::kUnknown, now.m_steady);
      return;
    default:
      break;
  }
  log::Warn(kLog, "Start refused by the worker",
            {{"task", ToText(command.m_task)},
             {"run", RunText(command.m_run)},
             {"worker", command.m_worker.m_value},
             {"outcome", std::to_string(static_cast<int>(outcome))}});
  // The members of a gang that have started are stopped first; the worker must not be chosen again right after that.
  const Millis until_stopped = unit->m_members.size() > 1 ? m_settings.m_preemption.m_stop_timeout : Millis{0};
  // Doubles with each refusal in a row, up to eight times, or work returns to the worker before it starts elsewhere.
  const Millis refusing_for = m_settings.m_avoid_refusing_for * (1 << std::min(member.m_slot->m_refusals++, 3));
  Instant& avoid_until = member.m_slot->m_avoid_until;
  avoid_until = std::max(avoid_until, now.m_steady + until_stopped + refusing_for);
  if (unit->m_members.size() > 1) StopRun(unit, "start of a member refused");
  if (OccupiesWorker(member)) Settle(unit, index);
}

void Scheduler::OnStopAnswer(const StopCommand& command, StopOutcome outcome, Now now) {
  WorkerSlot* slot = m_workers.Find(command.m_worker);
  LateCopy* late = slot == nullptr ? nullptr : slot->FindStopping(command.m_task, command.m_run);
  if (late != nullptr) {
    late->m_stop = outcome == StopOutcome::kStopping ? StopState::kAcknowledged : StopState::kRequested;
    late->m_stop_at = now.m_steady + m_settings.m_stop_retry_delay;
    return;
  }
  const auto [unit, index] = FindMember(command.m_task);
  if (unit == nullptr || unit->m_run != command.m_run) return;
  Member& member = unit->m_members[index];
  if (!OccupiesWorker(member) || member.m_slot->m_entry.m_id != command.m_worker || member.m_stop != StopState::kSent)
    return;
  const bool stops = outcome == StopOutcome::kStopping;
  member.m_stop_failed = !stops;
  member.m_stop = stops ? StopState::kAcknowledged : StopState::kRequested;
  member.m_stop_at = stops ? now.m_steady : now.m_steady + m_settings.m_stop_retry_delay;
}

// A worker has confirmed a run of the job, or listed its end.
void Scheduler::NoteBegun(JobState* job, Now now) {
  job->m_has_run = true;
  if (job->m_phase == JobPhase::kQueued) SetPhase(job, JobPhase::kRunning, now);
}

// A member of the unit runs. Reports the job when its first step has begun within a guarantee.
void Scheduler::NoteRunning(const Unit& unit, Now now) {
  JobState* job = unit.m_step->m_job;
  StepState* step = unit.m_step;
  if (step->WasHeldBack() && AllRunOn(*step)) {
    step->m_held_back.Clear();
    step->m_held_for_rack.Clear();
  }
  NoteBegun(job, now);
  if (job->m_begun || job->m_job.m_priority != 0 || unit.m_step->m_key.m_step != 0) return;
  job->m_begun = AllRun(*unit.m_step);
  if (!job->m_begun || !m_guarantees.Covers(*job)) return;
  m_guarantee_starts.push_back(
      {job->m_job.m_id, job->m_job.m_account, now.m_wall - job->m_job.m_accepted, now.m_steady - job->m_taken_in});
}

//-------------------------------------------------------------------------------------------------
// Poll replies
//-------------------------------------------------------------------------------------------------

void Scheduler::OnPollReply(const WorkerId& worker, const PollReply& reply, Instant sent, Now now) {
  WorkerSlot* slot = m_workers.Find(worker);
  if (slot == nullptr) return;
  OnIncarnation(slot, reply, sent, now);
  for (const EndedTask& end : reply.m_ended) {
    if (end.m_number <= slot->m_processed_ends) continue;
    slot->m_processed_ends = end.m_number;
    OnTaskEnd(slot, end, now);
  }
  slot->m_unrecorded_runs = 0;
  for (const RunningTask& running : reply.m_running) OnRunning(slot, running, now);
  CheckPace(slot, reply, now);
  RecordProgress(slot, reply, now);
  SettleAbsent(slot, reply, sent, now);
  slot->m_silent_since = Instant{};
  slot->m_silent_with_domain = false;
  slot->m_lost = false;
}

void Scheduler::OnRunning(WorkerSlot* slot, const RunningTask& running, Now now) {
  const auto [unit, index] = FindMember(running.m_task);
  const bool known =
      unit != nullptr && unit->m_run == running.m_run && unit->m_active && unit->m_members[index].m_slot == slot;
  if (!known) {
    ++slot->m_unrecorded_runs;
    m_unrecorded_runs.insert({slot->m_entry.m_id, {running.m_task, running.m_run}});
    log::Warn(
        kLog, "Run is not recorded in a row, stopping it",
        {{"task", ToText(running.m_task)}, {"run", RunText(running.m_run)}, {"worker", slot->m_entry.m_id.m_value}});
    return;
  }
  Member& member = unit->m_members[index];
  if (member.m_state != MemberState::kRunning) SetState(&member, MemberState::kRunning, now.m_steady);
  member.m_listed = now.m_steady;
  member.m_listed_percent = running.m_percent;
  NoteRunning(*unit, now);
  ClearIfSound(unit);
  if (unit->m_step->m_spec->m_checkpoints && !running.m_checkpoint.empty()) unit->m_checkpoint = running.m_checkpoint;
  const bool overdue =
      member.m_stop == StopState::kAcknowledged &&
      now.m_steady - member.m_stop_at > m_settings.m_preemption.m_stop_timeout + m_settings.m_stop_retry_delay;
  if (overdue) member.m_stop = StopState::kRequested;
}

void Scheduler::OnTaskEnd(WorkerSlot* slot, const EndedTask& end, Now now) {
  const auto [unit, index] = FindMember(end.m_task);
  log::Info(kLog, "Run ended",
            {{"task", ToText(end.m_task)},
             {"run", RunText(end.m_run)},
             {"how", ToString(end.m_kind)},
             {"worker", slot->m_entry.m_id.m_value},
             {"number", std::to_string(end.m_number)}});
  if (unit == nullptr) return;
  if (unit->m_set_aside) slot->m_withholds_ends = true;
  NoteBegun(unit->m_step->m_job, now);
  const bool current = unit->m_active && unit->m_run == end.m_run && unit->m_members[index].m_slot == slot;
  const bool lasts = unit->m_step->m_spec->m_long_running;
  if (current && unit->m_step->m_spec->m_checkpoints && !end.m_checkpoint.empty())
    unit->m_checkpoint = end.m_checkpoint;
  if (end.m_kind == EndKind::kDone) {
    slot->m_failures = 0;
    slot->m_soundness.OnDone();
  }
  if (end.m_kind == EndKind::kDone && !lasts) {
    if (current) RecordSpeed(*unit, &unit->m_members[index], now);
    RecordDone(unit, now);
    if (!current && unit->m_active) StopRun(unit, "an earlier run is done");
  } else if (end.m_kind == EndKind::kFailed) {
    DoubtWorker(slot, unit->m_step, now);
    RecordFailure(unit, end.m_run, now);
  }
  if (!current) return;
  if (!unit->m_done && unit->m_members.size() > 1) StopRun(unit, ToString(end.m_kind));
  if (unit->m_members[index].m_slot == slot) Settle(unit, index);
}

// Settles runs that the worker does not list. Such a run can't start any more if its stop was acknowledged before the
// poll was sent, if the worker had confirmed the run before, or if it was started under an earlier epoch.
void Scheduler::SettleAbsent(WorkerSlot* slot, const PollReply& reply, Instant sent, Now now) {
  if (reply.m_more_ended) return;
  const auto members = slot->m_members;
  for (const auto& held : members) {
    Unit* unit = held.first;
    const std::size_t index = held.second;
    Member& member = unit->m_members[index];
    if (member.m_slot != slot) continue;
    const TaskKey key = unit->Key(index);
    const bool listed = std::any_of(reply.m_running.begin(), reply.m_running.end(), [&](const RunningTask& running) {
      return running.m_run == unit->m_run && running.m_task == key;
    });
    if (listed) continue;
    const bool stopped = member.m_stop == StopState::kAcknowledged && member.m_stop_at < sent;
    const bool vanished = member.m_state == MemberState::kRunning && member.m_since < sent;
    const bool unanswered = member.m_state == MemberState::kUnknown && member.m_since < sent;
    if (stopped || vanished || (unanswered && member.m_restored)) {
      log::Info(kLog, "Run is not listed by its worker",
                {{"task", ToText(key)},
                 {"run", RunText(unit->m_run)},
                 {"worker", slot->m_entry.m_id.m_value},
                 {"proof", stopped    ? "stopped"
                           : vanished ? "vanished"
                                      : "earlier epoch"}});
      if (vanished && !stopped) {  // The worker's process has crashed, and may be gone itself.
        RecordCrash(unit, index, {WorkerLoss::kRestarted, slot->CountUnits(), now.m_steady}, now);
        NoteLost(unit, index, now);
        slot->m_avoid_until = std::max(slot->m_avoid_until, now.m_steady + m_settings.m_avoid_refusing_for);
      }
      if (unit->m_members.size() > 1 && !unit->m_done) StopRun(unit, "member is not on its worker");
      if (member.m_slot == slot) Settle(unit, index);
    } else if (unanswered) {
      StopRun(unit, "start was not answered");
    }
  }
}

//-------------------------------------------------------------------------------------------------
// Outcomes
//-------------------------------------------------------------------------------------------------

// Compares the progress of each task since the last reply with its earlier pace. A worker on which most tasks have
// slowed down or make no progress gets no new tasks for m_avoid_slow_for.
void Scheduler::CheckPace(WorkerSlot* slot, const PollReply& reply, Now now) {
  constexpr double kWhole = 100.0;
  int judged = 0;
  int slow = 0;
  for (const RunningTask& running : reply.m_running) {
    const auto [unit, index] = FindMember(running.m_task);
    if (unit == nullptr || unit->m_run != running.m_run || unit->m_members[index].m_slot != slot) continue;
    Member& member = unit->m_members[index];
    const auto begin = WorkBegan(*unit);
    if (!begin || unit->m_stopping) continue;
    if (member.m_percent_at == Instant{}) {  // What was done before this run, or before this scheduler, tells no pace.
      const bool fresh = *begin != Instant{};
      member.m_percent = member.m_first_percent = fresh ? 0 : running.m_percent;
      member.m_percent_at = member.m_first_percent_at = fresh ? *begin : now.m_steady;
    }
    const Millis span = now.m_steady - member.m_percent_at;
    if (span < m_settings.m_min_pace_span) continue;
    const Millis before = member.m_percent_at - member.m_first_percent_at;
    const int made = member.m_percent - member.m_first_percent;
    const bool known = before >= m_settings.m_min_pace_span && made > 0;
    // Without an earlier report, the usual pace is half of what the caller's estimate implies.
    const auto estimate = static_cast<double>(std::max<std::int64_t>(1, unit->m_step->m_spec->m_estimate.count()));
    const double usual = known ? made / static_cast<double>(before.count()) : kWhole / 2.0 / estimate;
    // Progress is a whole percentage: where little is due, rounding makes a task look slow.
    if (usual * static_cast<double>(span.count()) < m_settings.m_min_expected_percent) continue;
    const double pace = (running.m_percent - member.m_percent) / static_cast<double>(span.count());
    member.m_percent = running.m_percent;
    member.m_percent_at = now.m_steady;
    if (running.m_percent >= static_cast<int>(kWhole)) continue;  // It waits for other members of its gang.
    ++judged;
    if (pace < m_settings.m_slow_pace_share * usual) ++slow;
  }
  if (judged == 0 || 2 * slow <= judged) return;
  if (slot->m_avoid_until <= now.m_steady) {
    log::Info(kLog, "Worker has slowed down, no new tasks are placed on it",
              {{"worker", slot->m_entry.m_id.m_value},
               {"slow", std::to_string(slow)},
               {"judged", std::to_string(judged)},
               {"for_ms", std::to_string(m_settings.m_avoid_slow_for.count())}});
  }
  slot->m_avoid_until = std::max(slot->m_avoid_until, now.m_steady + m_settings.m_avoid_slow_for);
}

// Learns the worker's speed from the progress of its tasks.
void Scheduler::RecordProgress(WorkerSlot* slot, const PollReply& reply, Now now) {
  for (const RunningTask& running : reply.m_running) {
    const auto [unit, index] = FindMember(running.m_task);
    if (unit == nullptr || unit->m_run != running.m_run || unit->m_members[index].m_slot != slot) continue;
    if (unit->m_stopping || unit->m_step->m_spec->m_long_running) continue;
    if (!TellsSpeed(*unit)) continue;
    const std::optional<Instant> begin = WorkBegan(*unit);
    if (!begin) continue;
    ObserveProgress(running.m_percent, *begin, unit->m_step->m_spec->m_estimate, now.m_steady,
                    m_settings.m_choice.m_speed, &slot->m_speed, &unit->m_step->m_pace, &unit->m_members[index].m_pace);
  }
}

// A run that lasts clears its unit of the crashes before.
void Scheduler::ClearIfSound(Unit* unit) {
  if (unit->m_sound || !HasRunOn(*unit, SoundAfter(*unit, m_settings.m_choice.m_crashes))) return;
  unit->m_sound = true;
  if (unit->m_crashes.empty()) return;
  unit->m_crashes.clear();
  MarkChanged(*unit);
  log::Info(kLog, "Task runs on, crashes before are not counted any more", {{"task", ToText(unit->Key(0))}});
}

// Learns the worker's speed from the duration of a task that is done. Members of a gang end together.
void Scheduler::RecordSpeed(const Unit& unit, Member* member, Now now) {
  const bool tells = unit.m_members.size() == 1 && member->m_state == MemberState::kRunning && TellsSpeed(unit) &&
                     Raw(unit.m_run) == 1 && !member->m_restored;
  if (!tells) return;
  ObservePace(1.0, now.m_steady - member->m_since, unit.m_step->m_spec->m_estimate, now.m_steady,
              m_settings.m_choice.m_speed, &member->m_slot->m_speed, &unit.m_step->m_pace, &member->m_pace);
}

// A task of the step failed on the worker.
void Scheduler::DoubtWorker(WorkerSlot* slot, StepState* step, Now now) {
  ++slot->m_failures;
  step->m_avoided[slot->m_entry.m_id] = now.m_steady + m_settings.m_soundness.m_longest_rest;
  const Millis rest = slot->m_soundness.OnFailure(step->m_avoided.size(), m_settings.m_soundness);
  if (rest == Millis{0}) return;
  slot->m_avoid_until = std::max(slot->m_avoid_until, now.m_steady + rest);
  log::Info(kLog, "Worker rests after failures",
            {{"worker", slot->m_entry.m_id.m_value},
             {"failures", std::to_string(slot->m_failures)},
             {"for_ms", std::to_string(rest.count())}});
}

void Scheduler::RecordFailure(Unit* unit, RunNumber run, Now now) {
  if (unit->m_step->m_spec->m_long_running) return;  // It may fail any number of times.
  auto& failed = unit->m_failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  failed.push_back(run);
  MarkChanged(*unit);
  JobState* job = unit->m_step->m_job;
  if (HasUsedAllAttempts(*unit, *job) && !unit->m_done && !Ended(job->m_phase)) {
    EndJob(job, JobPhase::kFailed, now);
  }
}

void Scheduler::RecordDone(Unit* unit, Now now) {
  if (unit->m_done) return;
  unit->m_done = true;
  unit->m_step->m_interrupted.erase(unit->m_first);
  --unit->m_step->m_units_left;
  MarkChanged(*unit);
  FinishIfComplete(unit->m_step->m_job, now);
}

void Scheduler::Settle(Unit* unit, std::size_t index) {
  Member& member = unit->m_members[index];
  member.m_slot->KeepLateCopy(member, unit->Key(index), unit->m_run);
  m_workers.Release(member.m_slot, unit, index);
  member = Member{};
  member.m_state = MemberState::kSettled;
  MarkChanged(*unit);
  if (std::none_of(unit->m_members.begin(), unit->m_members.end(), OccupiesWorker)) ResetUnit(unit);
}

void Scheduler::ResetUnit(Unit* unit) {
  if (unit->IsFirstRun()) --unit->m_step->m_first_runs;
  unit->m_active = false;
  unit->m_stopping = false;
  unit->m_sound = false;
  unit->m_may_share = false;
  for (Member& member : unit->m_members) member = Member{};
  unit->m_step->OnWaiting(*unit);
  m_active.erase(unit);
}

void Scheduler::StopRun(Unit* unit, const char* why, Interruption interruption) {
  if (unit->m_stopping || !unit->m_active) return;
  unit->m_stopping = true;
  if (unit->m_interruption == Interruption::kNone) unit->m_interruption = interruption;
  log::Info(kLog, "Run is stopped", {{"task", ToText(unit->Key(0))}, {"run", RunText(unit->m_run)}, {"why", why}});
  std::vector<std::size_t> never_sent;
  for (std::size_t i = 0; i < unit->m_members.size(); ++i) {
    Member& member = unit->m_members[i];
    if (!OccupiesWorker(member)) continue;
    if (member.m_state == MemberState::kPlanned) {
      never_sent.push_back(i);
    } else if (member.m_stop == StopState::kNone) {
      member.m_stop = StopState::kRequested;
      member.m_stop_at = Instant{};
    }
  }
  for (const std::size_t i : never_sent) Settle(unit, i);
}

}  // namespace hickoryquay::jobs
