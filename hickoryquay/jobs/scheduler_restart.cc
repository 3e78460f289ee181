// Runs of a worker that was lost, or that restarted under its id.

#include <algorithm>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/crash_isolation.h"
#include "hickoryquay/jobs/incarnation.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {

namespace {

constexpr log::Part kLog{"runs"};

bool Lists(const PollReply& reply, const TaskKey& task, RunNumber run) {
  return std::any_of(reply.m_running.begin(), reply.m_running.end(),
                     [&](const RunningTask& running) { return running.m_task == task && running.m_run == run; });
}

// Progress that the run would have made by now at its pace until its worker last listed it, 100 and more if it would
// have ended. An upper bound: the worker may have gone before. Empty for gangs, which make progress together, and for
// runs that began at an unknown time.
std::optional<int> ExpectedPercent(const Unit& unit, const Member& member, Now now) {
  const bool fresh = unit.m_members.size() == 1 && Raw(unit.m_run) == 1 && !member.m_restored;
  if (!fresh || member.m_state != MemberState::kRunning || member.m_listed <= member.m_since) return std::nullopt;
  const auto observed = static_cast<double>((member.m_listed - member.m_since).count());
  const auto ran = static_cast<double>((now.m_steady - member.m_since).count());
  return static_cast<int>(member.m_listed_percent * ran / observed);
}

std::string TextOf(std::optional<std::int64_t> value) {
  return value ? std::to_string(*value) : "unknown";
}

}  // namespace

void Scheduler::OnIncarnation(WorkerSlot* slot, const PollReply& reply, Instant sent, Now now) {
  if (!reply.m_born || *reply.m_born == slot->m_born) return;
  const bool restarted = slot->m_born.m_ms != 0;
  if (restarted) {
    ++m_lost_workers;
    slot->OnRestarted();
  }
  slot->m_born = *reply.m_born;
  const auto members = slot->m_members;
  const LostWorker lost = Describe(*slot, WorkerLoss::kRestarted, now);
  for (const UnitMember& placed : members) {
    Member& member = placed.first->m_members[placed.second];
    if (member.m_slot != slot || member.m_born == slot->m_born) continue;
    // A row without a start time: SettleAbsent resolves the run as on a worker that reports none.
    const bool unknown = member.m_born.m_ms == 0 && !restarted;
    unknown ? void(member.m_born = slot->m_born) : ResolveAfterRestart(placed, lost, reply, sent, now);
  }
}

void Scheduler::ResolveAfterRestart(const UnitMember& placed, const LostWorker& lost, const PollReply& reply,
                                    Instant sent, Now now) {
  const auto [unit, index] = placed;
  const Member& member = unit->m_members[index];
  RunBeforeRestart run;
  run.m_sent = member.m_state != MemberState::kPlanned;
  run.m_confirmed = member.m_state == MemberState::kRunning;
  run.m_confirmed_at = member.m_since;
  run.m_sent_again = member.m_resends > 0;
  run.m_earlier_epoch = member.m_restored;
  run.m_listed = Lists(reply, unit->Key(index), unit->m_run);
  switch (Resolve(run, sent)) {
    case AfterRestart::kWithdraw:
      return StopRun(unit, "its worker has restarted");
    case AfterRestart::kClear:
      return LoseRun(unit, index, lost, now);
    case AfterRestart::kStop:
      if (!run.m_listed) RecordCrash(unit, index, lost, now);
      return StopLateStart(unit, index, "its worker has restarted, a late start may arrive", now);
  }
}

// A copy of the start got no answer, and the worker would not know that an earlier incarnation had refused it.
bool Scheduler::MayStartLate(const WorkerSlot& slot, const Member& member, Now now) const {
  if (slot.m_born == Instant{} || member.m_last_sent == Instant{}) return false;
  const bool unanswered = member.m_state == MemberState::kSent || member.m_state == MemberState::kUnknown;
  return (unanswered || member.m_resends > 0) && now.m_steady - member.m_last_sent < kMaxCallDelay;
}

// Stops a run that a copy of its start may still begin.
void Scheduler::StopLateStart(Unit* unit, std::size_t index, const char* why, Now now) {
  Member& member = unit->m_members[index];
  const WorkerSlot* slot = member.m_slot;
  StopRun(unit, why);
  if (member.m_slot != slot) return;
  member.m_state = MemberState::kUnknown;
  member.m_since = now.m_steady;
  // A stop that the earlier incarnation acknowledged is unknown to this one.
  member.m_stop = StopState::kRequested;
  member.m_stop_at = Instant{};
}

LostWorker Scheduler::Describe(const WorkerSlot& slot, WorkerLoss loss, Now now) {
  return {loss, slot.CountUnits(), slot.m_silent_since == Instant{} ? now.m_steady : slot.m_silent_since,
          slot.m_silent_with_domain};
}

void Scheduler::RecordCrash(Unit* unit, std::size_t index, const LostWorker& lost, Now now) {
  JobState* job = unit->m_step->m_job;
  const CrashSettings& settings = m_settings.m_choice.m_crashes;
  const auto same = [&](const CrashedRun& crash) {
    return crash.m_run == unit->m_run && crash.m_member == static_cast<int>(index);
  };
  if (std::any_of(unit->m_crashes.begin(), unit->m_crashes.end(), same)) return;
  if (Ended(job->m_phase) || !CountsAsCrash(*unit, unit->m_members[index], lost, settings)) return;
  const Millis ran = RanUntil(unit->m_members[index], lost);
  const int losses = m_lost_workers - unit->m_losses_at_first_crash;
  const int workers = static_cast<int>(m_workers.Slots().size());
  if (ran > settings.m_sound_after && AreLossesUsual(*unit, losses, workers, settings)) return;
  if (unit->m_crashes.empty()) unit->m_losses_at_first_crash = m_lost_workers;
  const CrashedRun crash{unit->m_run, static_cast<int>(index), IsEvident(unit->m_members[index], lost, settings), ran};
  unit->m_crashes.push_back(crash);
  MarkChanged(*unit);
  const CrashVerdict verdict = Judge(unit->m_crashes, unit->m_run, settings);
  log::Warn(kLog, "Worker crashed under a task",
            {{"task", ToText(unit->Key(index))},
             {"run", std::to_string(Raw(unit->m_run))},
             {"worker", unit->m_members[index].m_slot->m_entry.m_id.m_value},
             {"ran_ms", std::to_string(ran.count())},
             {"evident", crash.m_evident ? "yes" : "no"},
             {"crashes", std::to_string(unit->m_crashes.size())},
             {"next", verdict == CrashVerdict::kGiveUp    ? "given up"
                      : verdict == CrashVerdict::kIsolate ? "alone"
                                                          : "as usual"}});
  if (verdict == CrashVerdict::kGiveUp) EndJob(job, JobPhase::kFailed, now);
}

// Call before the member is settled.
void Scheduler::NoteLost(Unit* unit, std::size_t index, Now now) {
  if (unit->m_done || Ended(unit->m_step->m_job->m_phase)) return;
  constexpr int kWhole = 100;
  ++m_lost_runs;
  if (ExpectedPercent(*unit, unit->m_members[index], now).value_or(0) >= kWhole) ++m_lost_ends;
  if (unit->m_lost_at == Instant{}) unit->m_lost_at = now.m_steady;  // Of a gang, the first member that was lost.
  unit->m_interruption = Interruption::kLost;
}

void Scheduler::LoseRun(Unit* unit, std::size_t index, const LostWorker& lost, Now now) {
  const Member& member = unit->m_members[index];
  const WorkerSlot* slot = member.m_slot;
  // A restored run began at an unknown time.
  const bool confirmed = member.m_state == MemberState::kRunning && !member.m_restored;
  std::optional<std::int64_t> ran;
  std::optional<std::int64_t> listed;
  if (confirmed) ran = (now.m_steady - member.m_since).count();
  if (member.m_listed != Instant{}) listed = (now.m_steady - member.m_listed).count();
  log::Info(kLog, "Run lost with its worker",
            {{"task", ToText(unit->Key(index))},
             {"run", std::to_string(Raw(unit->m_run))},
             {"worker", slot->m_entry.m_id.m_value},
             {"why", ToString(lost.m_why)},
             {"draining", slot->m_entry.m_draining ? "yes" : "no"},
             {"ran_ms", TextOf(ran)},
             {"listed_ms_ago", TextOf(listed)},
             {"listed_percent", std::to_string(member.m_listed_percent)},
             {"expected_percent", TextOf(ExpectedPercent(*unit, member, now))},
             {"units_there", std::to_string(lost.m_units)},
             {"silent_ms", std::to_string((now.m_steady - lost.m_silent_since).count())}});
  RecordCrash(unit, index, lost, now);
  NoteLost(unit, index, now);
  if (unit->m_step->m_spec->m_gang && !unit->m_done) StopRun(unit, "member lost");
  if (unit->m_members[index].m_slot == slot) Settle(unit, index);
}

}  // namespace hickoryquay::jobs
