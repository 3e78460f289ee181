#include "hickoryquay/jobs/idle_jobs.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "hickoryquay/jobs/preemption.h"

namespace hickoryquay::jobs {

namespace {

constexpr const char* kCauseNames[] = {
    "not due",          "row can't be read", "row can't be stored", "no such worker",
    "workers unusable", "no room",           "being stopped",       "run unconfirmed",
    "start unanswered", "start not sent",    "workers withheld",    "waits to run alone",
    "prefers one rack", "prefers its data",  "free share",          "nothing that is known",
};
static_assert(std::size(kCauseNames) == static_cast<std::size_t>(IdleCause::kUnexplained) + 1);

bool IsOfUnit(const WorkerSlot& slot, const Unit& unit) {
  const WorkerEntry& entry = slot.m_entry;
  const std::string& label = unit.m_step->m_spec->m_required_label;
  if (!slot.m_listed || entry.m_pool != unit.m_step->m_job->m_job.m_pool) return false;
  return label.empty() || std::find(entry.m_labels.begin(), entry.m_labels.end(), label) != entry.m_labels.end();
}

}  // namespace

const char* ToString(IdleCause cause) {
  return kCauseNames[static_cast<std::size_t>(cause)];
}

RoomCensus CountRoom(const ChoiceInput& input, const std::vector<WorkerSlot*>& slots, const CrashSettings& crashes) {
  const Unit& unit = *input.m_unit;
  const StepSpec& spec = *unit.m_step->m_spec;
  const int members = static_cast<int>(unit.m_members.size());
  const auto add = [members](int* sum, int more) { *sum = std::min(members, *sum + std::min(members, more)); };
  RoomCensus room;
  std::map<std::string, int> by_rack;
  for (const WorkerSlot* slot : slots) {
    if (!IsOfUnit(*slot, unit)) continue;
    ++room.m_workers;
    const int fitting = CountFitting(slot->m_entry.m_capacity, spec.m_task);
    const int if_empty = spec.m_max_per_worker == 0 ? fitting : std::min(fitting, spec.m_max_per_worker);
    add(&room.m_if_empty, if_empty);
    if (!slot->IsSchedulable()) continue;
    ++room.m_usable;
    add(&room.m_if_usable_empty, if_empty);
    add(&room.m_free, LimitPerWorker(*slot, unit, CountFitting(slot->m_free, spec.m_task)));
    const bool rests = !MayHost(*slot, unit, crashes, input.m_now);
    if (rests) ++room.m_resting;
    if (rests && !(input.m_uses_resting && IsOpenTo(*slot, unit, crashes, input.m_now))) continue;
    const int times = LimitPerWorker(*slot, unit, CountFitting(RoomFor(*slot, unit, input.m_guaranteed), spec.m_task));
    add(&room.m_takeable, times);
    add(&by_rack[slot->m_entry.m_rack], times);
  }
  for (const auto& [rack, times] : by_rack) room.m_best_rack = std::max(room.m_best_rack, times);
  return room;
}

std::optional<IdleCause> CauseOfActive(const Unit& unit, WorkerId* worker) {
  IdleCause cause = IdleCause::kStopping;
  for (const Member& member : unit.m_members) {
    if (member.m_slot == nullptr) continue;
    if (member.m_state == MemberState::kRunning) return std::nullopt;
    if (worker->m_value.empty()) *worker = member.m_slot->m_entry.m_id;
    if (unit.m_stopping) continue;
    const IdleCause of_member = member.m_state == MemberState::kPlanned ? IdleCause::kPlanned
                                : member.m_state == MemberState::kSent  ? IdleCause::kUnanswered
                                                                        : IdleCause::kUnconfirmed;
    if (of_member <= cause) continue;
    cause = of_member;
    *worker = member.m_slot->m_entry.m_id;
  }
  return cause;
}

}  // namespace hickoryquay::jobs
