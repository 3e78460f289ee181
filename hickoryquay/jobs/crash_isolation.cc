#include "hickoryquay/jobs/crash_isolation.h"

#include <algorithm>
#include <map>

#include "hickoryquay/jobs/preemption.h"

namespace hickoryquay::jobs {

namespace {

bool HasOthers(const WorkerSlot& slot, const Unit& unit) {
  return std::any_of(slot.m_members.begin(), slot.m_members.end(),
                     [&unit](const UnitMember& held) { return held.first != &unit; });
}

bool HasLongRunning(const WorkerSlot& slot) {
  return std::any_of(slot.m_members.begin(), slot.m_members.end(),
                     [](const UnitMember& held) { return held.first->m_step->m_spec->m_long_running; });
}

CrashVerdict JudgeMember(const std::vector<const CrashedRun*>& crashes, RunNumber run, const CrashSettings& settings) {
  const auto evident =
      std::count_if(crashes.begin(), crashes.end(), [](const CrashedRun* crash) { return crash->m_evident; });
  const auto count = static_cast<int>(crashes.size());
  if (evident >= settings.m_give_up_at_evident) return CrashVerdict::kGiveUp;
  if (count >= settings.m_limit_at) {
    const RunNumber limited_since = crashes[static_cast<std::size_t>(settings.m_limit_at) - 1]->m_run;
    const auto starts = static_cast<std::int64_t>(Raw(run)) - static_cast<std::int64_t>(Raw(limited_since));
    if (starts >= settings.m_starts_left) return CrashVerdict::kGiveUp;
  }
  return count >= settings.m_isolate_at ? CrashVerdict::kIsolate : CrashVerdict::kNone;
}

}  // namespace

CrashVerdict Judge(const std::vector<CrashedRun>& crashes, RunNumber run, const CrashSettings& settings) {
  CrashVerdict worst = CrashVerdict::kNone;
  std::map<int, std::vector<const CrashedRun*>> by_member;
  for (const CrashedRun& crash : crashes) by_member[crash.m_member].push_back(&crash);
  for (const auto& [member, of_member] : by_member) worst = std::max(worst, JudgeMember(of_member, run, settings));
  return worst;
}

bool CountsAsCrash(const Unit& unit, const Member& member, const LostWorker& lost, const CrashSettings& settings) {
  if (member.m_slot->m_entry.m_draining || member.m_state == MemberState::kPlanned) return false;
  if (unit.m_done) return false;
  if (lost.m_why == WorkerLoss::kLeaseOver && lost.m_with_domain) return false;
  if (member.m_restored) return true;
  const bool proved = lost.m_why != WorkerLoss::kLeaseOver;
  return RanUntil(member, lost) <= (proved ? settings.m_longest_suspicion : settings.m_sound_after);
}

Millis RanUntil(const Member& member, const LostWorker& lost) {
  return member.m_restored ? Millis{0} : std::max(Millis{0}, lost.m_silent_since - member.m_since);
}

Millis SoundAfter(const Unit& unit, const CrashSettings& settings) {
  Millis longest{0};
  for (const CrashedRun& crash : unit.m_crashes) longest = std::max(longest, crash.m_ran);
  const auto outlasted = static_cast<std::int64_t>(settings.m_outlasts * static_cast<double>(longest.count()));
  return std::max(settings.m_sound_after, Millis{outlasted});
}

bool AreLossesUsual(const Unit& unit, int losses, int workers, const CrashSettings& settings) {
  const auto crashes = static_cast<int>(unit.m_crashes.size());
  if (crashes == 0 || workers < 2) return false;
  const int elsewhere = losses - crashes;  // The loss in question is among them, the first one is not.
  return elsewhere >= settings.m_usual_losses * crashes * (workers - 1);
}

bool IsEvident(const Member& member, const LostWorker& lost, const CrashSettings& settings) {
  // Without an answer to its start, or after a takeover, it is not known when the run began.
  const bool known = member.m_state == MemberState::kRunning && !member.m_restored;
  return known && lost.m_units == 1 && lost.m_silent_since - member.m_since <= settings.m_evident_within;
}

bool HasRunOn(const Unit& unit, Millis sound_after) {
  return std::all_of(unit.m_members.begin(), unit.m_members.end(), [sound_after](const Member& member) {
    return member.m_state == MemberState::kRunning && member.m_listed - member.m_since >= sound_after;
  });
}

bool NeedsIsolation(const Unit& unit, const CrashSettings& settings) {
  return !unit.m_crashes.empty() && !unit.m_may_share &&
         Judge(unit.m_crashes, unit.m_run, settings) != CrashVerdict::kNone;
}

bool MayShare(const WorkerSlot& slot, const Unit& unit, const CrashSettings& settings) {
  if (slot.m_held_for != nullptr && slot.m_held_for != &unit) return false;
  if (NeedsIsolation(unit, settings)) {
    const bool reserved = std::any_of(slot.m_reservations.begin(), slot.m_reservations.end(),
                                      [&unit](const auto& entry) { return entry.first != &unit; });
    return !reserved && !HasOthers(slot, unit);
  }
  return std::none_of(slot.m_members.begin(), slot.m_members.end(), [&](const UnitMember& held) {
    return held.first != &unit && NeedsIsolation(*held.first, settings);
  });
}

std::vector<WorkerSlot*> ChooseWorkersToHold(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                             const CrashSettings& settings) {
  std::vector<WorkerSlot*> options;
  std::size_t held = 0;
  for (WorkerSlot* slot : candidates) {
    if (slot->m_held_for != nullptr) ++held;
    if (slot->m_held_for == nullptr && slot->m_reservations.empty() && !HasLongRunning(*slot)) options.push_back(slot);
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const WorkerSlot* a, const WorkerSlot* b) { return a->CountUnits() < b->CountUnits(); });
  const StepSpec& spec = *unit.m_step->m_spec;
  std::vector<WorkerSlot*> chosen;
  int room = 0;
  for (WorkerSlot* slot : options) {
    if (room >= static_cast<int>(unit.m_members.size())) break;
    const int fitting = CountFitting(slot->m_entry.m_capacity, spec.m_task);
    const int times = spec.m_max_per_worker == 0 ? fitting : std::min(fitting, spec.m_max_per_worker);
    if (times <= 0) continue;
    room += times;
    chosen.push_back(slot);
  }
  if (room < static_cast<int>(unit.m_members.size())) return {};
  const double limit = settings.m_max_held_share * static_cast<double>(candidates.size());
  if (held > 0 && static_cast<double>(held + chosen.size()) > limit) return {};
  return chosen;
}

}  // namespace hickoryquay::jobs
