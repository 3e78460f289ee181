// Failure domains out of use, evacuated or lost: withdrawal of what is not sent yet, and the return of the workers.

#include <utility>

#include "hickoryquay/jobs/evacuation.h"
#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {

namespace {

// From the first silent worker of a domain that is cut off until the domain counts as lost.
constexpr Millis kLongestNotice{2'500};

}  // namespace

void Scheduler::SetEvacuated(std::set<DomainId> domains, Now now) {
  m_evacuated = std::move(domains);
  std::map<DomainId, std::vector<ReturningWorker>> lifted;
  for (const auto& [id, slot] : m_workers.All()) {
    const DomainId& domain = slot->m_entry.m_domain;
    const bool evacuated = m_evacuated.contains(domain);
    if (slot->m_evacuated && !evacuated) lifted[domain].push_back({id, slot->m_cold_until > now.m_steady});
    slot->m_evacuated = evacuated;
    if (!evacuated) continue;
    slot->m_returns_at.reset();
    WithdrawUnsent(slot.get(), "its failure domain is evacuated");
  }
  for (const auto& [domain, workers] : lifted) {
    for (const auto& [id, delay] : PlanReturn(workers, ReturnSettings{})) {
      m_workers.Find(id)->m_returns_at = now.m_steady + delay;
    }
  }
}

void Scheduler::SetLost(std::set<DomainId> domains, Now now) {
  m_lost = std::move(domains);
  for (const auto& [id, slot] : m_workers.All()) {
    const bool lost = m_lost.contains(slot->m_entry.m_domain);
    // One that had been silent for long when its domain was lost has its own reason.
    const bool together = slot->m_silent_since == Instant{} || now.m_steady - slot->m_silent_since <= kLongestNotice;
    if (lost && !slot->m_domain_lost) slot->m_silent_with_domain = together;
    slot->m_domain_lost = lost;
    if (lost) WithdrawUnsent(slot.get(), "its failure domain does not answer");
  }
}

void Scheduler::WithdrawUnsent(WorkerSlot* slot, const char* why) {
  const UnitMemberSet members = slot->m_members;
  for (const auto& [unit, member] : members) {
    if (unit->m_members[member].m_state == MemberState::kPlanned) StopRun(unit, why);
  }
}

void Scheduler::ReturnWorkers(Now now) {
  for (WorkerSlot* slot : m_workers.Slots()) {
    if (slot->m_returns_at && *slot->m_returns_at <= now.m_steady) slot->m_returns_at.reset();
  }
}

void Scheduler::OnStartWithheld(const StartCommand& command, Now now) {
  const auto [unit, index] = FindMember(command.m_task);
  if (unit == nullptr || !unit->m_active || unit->m_run != command.m_run) return;
  Member& member = unit->m_members[index];
  if (member.m_state == MemberState::kSent) {  // The copy that was sent before got no answer.
    member.m_state = MemberState::kUnknown;
    member.m_since = now.m_steady;
  } else if (member.m_state == MemberState::kPlanned) {
    StopRun(unit, "its start was withheld");
  }
}

std::map<DomainId, EvacuatedDomain> Scheduler::EvacuatedDomains() const {
  std::map<DomainId, EvacuatedDomain> domains;
  for (const DomainId& domain : m_evacuated) domains[domain];
  if (domains.empty()) return domains;
  for (const auto& [id, slot] : m_workers.All()) {
    const auto found = domains.find(slot->m_entry.m_domain);
    if (found == domains.end()) continue;
    ++found->second.m_workers;
    found->second.m_runs += static_cast<int>(slot->m_members.size());
    for (const auto& [unit, index] : slot->m_members) {
      const MemberState state = unit->m_members[index].m_state;
      if (state == MemberState::kSent || state == MemberState::kUnknown) ++found->second.m_unanswered;
    }
  }
  return domains;
}

}  // namespace hickoryquay::jobs
