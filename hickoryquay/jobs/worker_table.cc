#include "hickoryquay/jobs/worker_table.h"

#include <algorithm>
#include <set>

namespace hickoryquay::jobs {

namespace {

std::vector<WorkerSlot*>::iterator PositionOf(std::vector<WorkerSlot*>& slots, const WorkerId& id) {
  return std::lower_bound(slots.begin(), slots.end(), id,
                          [](const WorkerSlot* slot, const WorkerId& wanted) { return slot->m_entry.m_id < wanted; });
}

// In millicores: an accelerator counts as some cores.
std::int64_t Processing(const Resources& resources) {
  constexpr std::int64_t kMillicoresPerAccelerator = 8'000;
  return resources.m_millicores + kMillicoresPerAccelerator * resources.m_accelerators;
}

double ShareOf(std::int64_t part, std::int64_t whole) {
  return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void PoolRoom::Take(const Resources& task, int times) {
  m_free -= task.m_accelerators * times;
  m_listed.m_used += task * times;
  m_in_service.m_used += task * times;
}

double PoolUse::OfAccelerators() const {
  if (m_capacity.m_accelerators == 0) return OfProcessors();
  return ShareOf(m_used.m_accelerators, m_capacity.m_accelerators);
}

double PoolUse::OfProcessors() const {
  return ShareOf(Processing(m_used), Processing(m_capacity));
}

double PoolRoom::AcceleratorUse() const {
  return std::min(m_listed.OfAccelerators(), m_in_service.OfAccelerators());
}

bool PoolRoom::IsLightlyUsed() const {
  return AcceleratorUse() < kLightUse || std::min(m_listed.OfProcessors(), m_in_service.OfProcessors()) < kLightUse;
}

void WorkerSlot::OnRestarted() {
  ++m_incarnation;
  m_processed_ends = 0;
  m_released_ends = 0;
  m_withholds_ends = false;
  m_failures = 0;
  m_soundness = Soundness{};
  m_refusals = 0;
  m_avoid_until = Instant{};
  m_speed = WorkerSpeed{};
  for (LateCopy& copy : m_late_copies) {
    copy.m_stop = StopState::kRequested;
    copy.m_stop_at = Instant{};
  }
}

int WorkerSlot::CountUnits() const {
  std::set<const Unit*> units;
  for (const auto& [unit, index] : m_members) {
    if (unit->m_members[index].m_state != MemberState::kPlanned) units.insert(unit);
  }
  return static_cast<int>(units.size());
}

bool WorkerSlot::MayRunLateCopies() const {
  return std::any_of(m_late_copies.begin(), m_late_copies.end(), [](const LateCopy& copy) { return copy.IsOpen(); });
}

void WorkerSlot::KeepLateCopy(const Member& member, const TaskKey& task, RunNumber run) {
  if (m_born == Instant{} || member.m_last_sent == Instant{}) return;
  const bool unanswered = member.m_state == MemberState::kSent || member.m_state == MemberState::kUnknown;
  if (!unanswered && member.m_resends == 0) return;
  m_late_copies.push_back({task, run, member.m_last_sent, StopState::kNone, {}});
}

LateCopy* WorkerSlot::FindStopping(const TaskKey& task, RunNumber run) {
  const auto found = std::find_if(m_late_copies.begin(), m_late_copies.end(), [&](const LateCopy& copy) {
    return copy.m_task == task && copy.m_run == run && copy.m_stop == StopState::kSent;
  });
  return found == m_late_copies.end() ? nullptr : &*found;
}

WorkerSlot* WorkerTable::Find(const WorkerId& id) {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

const WorkerSlot* WorkerTable::Find(const WorkerId& id) const {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

WorkerSlot* WorkerTable::Add(const WorkerId& id) {
  auto& slot = m_slots[id];
  if (!slot) {
    slot = std::make_unique<WorkerSlot>();
    slot->m_entry.m_id = id;
    m_by_id[id] = slot.get();
    m_in_order.insert(PositionOf(m_in_order, id), slot.get());
  }
  return slot.get();
}

void WorkerTable::Update(const WorkerEntry& entry) {
  WorkerSlot* slot = Add(entry.m_id);
  slot->m_free += entry.m_capacity - slot->m_entry.m_capacity;
  slot->m_entry = entry;
  slot->m_listed = true;
}

void WorkerTable::EraseIfUnused(const WorkerId& id) {
  const WorkerSlot* slot = Find(id);
  if (slot == nullptr || slot->m_listed || !slot->m_members.empty() || !slot->m_late_copies.empty()) return;
  m_in_order.erase(PositionOf(m_in_order, id));
  m_by_id.erase(id);
  m_slots.erase(id);  // Last: `id` may be the slot's own.
}

void WorkerTable::DropLateCopies(Instant now) {
  std::vector<WorkerId> emptied;
  for (WorkerSlot* slot : m_in_order) {
    if (slot->m_late_copies.empty()) continue;
    std::erase_if(slot->m_late_copies, [now](const LateCopy& copy) { return now - copy.m_sent >= kMaxCallDelay; });
    if (slot->m_late_copies.empty()) emptied.push_back(slot->m_entry.m_id);
  }
  for (const WorkerId& worker : emptied) EraseIfUnused(worker);
}

void WorkerTable::Allocate(WorkerSlot* slot, Unit* unit, std::size_t member) {
  slot->m_members.insert({unit, member});
  unit->m_members[member].m_born = slot->m_born;
  slot->m_free -= unit->m_step->m_spec->m_task;
}

void WorkerTable::Release(WorkerSlot* slot, Unit* unit, std::size_t member) {
  if (slot->m_members.erase({unit, member}) > 0) slot->m_free += unit->m_step->m_spec->m_task;
}

Candidates WorkerTable::CandidatesOf(const PoolName& pool, const std::string& label) {
  Candidates candidates;
  for (WorkerSlot* slot : m_in_order) {
    const WorkerEntry& entry = slot->m_entry;
    if (!slot->IsInService() || entry.m_pool != pool) continue;
    if (!label.empty() && std::find(entry.m_labels.begin(), entry.m_labels.end(), label) == entry.m_labels.end())
      continue;
    (slot->IsSchedulable() ? candidates.m_racks[entry.m_rack] : candidates.m_returning).push_back(slot);
  }
  for (const auto& [name, slots] : candidates.m_racks) {
    candidates.m_all.insert(candidates.m_all.end(), slots.begin(), slots.end());
  }
  for (WorkerSlot* slot : candidates.m_all) candidates.m_domains[slot->m_entry.m_domain.m_value].push_back(slot);
  return candidates;
}

PoolRooms WorkerTable::CountPools() const {
  PoolRooms rooms;
  for (const WorkerSlot* slot : m_in_order) {
    if (!slot->m_listed) continue;
    PoolRoom& room = rooms[slot->m_entry.m_pool];
    const auto count = [slot](PoolUse* use) {
      use->m_capacity += slot->m_entry.m_capacity;
      use->m_used += slot->m_entry.m_capacity - slot->m_free;
    };
    count(&room.m_listed);
    if (slot->IsInService()) count(&room.m_in_service);
    if (!slot->IsSchedulable()) continue;
    room.m_free += slot->m_free.m_accelerators;
    room.m_total += slot->m_entry.m_capacity.m_accelerators;
  }
  return rooms;
}

}  // namespace hickoryquay::jobs
