#include "hickoryquay/jobs/loss_ledger.h"

#include <algorithm>

namespace hickoryquay::jobs {

bool HasTaskOf(const WorkerSlot& slot, JobId job) {
  return std::any_of(slot.m_members.begin(), slot.m_members.end(),
                     [job](const UnitMember& held) { return held.first->m_step->m_key.m_job == job; });
}

bool HasSuspect(const WorkerSlot& slot) {
  return std::any_of(slot.m_members.begin(), slot.m_members.end(),
                     [](const UnitMember& held) { return !held.first->m_crashes.empty(); });
}

LossLedger::Fall* LossLedger::Open(const WorkerSlot& slot, Instant now) {
  std::erase_if(m_falls, [&](const Fall& fall) { return now - fall.m_at > m_settings.m_keep; });
  const auto is_open = [&slot](const Fall& fall) { return !fall.m_proved && fall.m_worker == slot.m_entry.m_id; };
  auto fall = std::find_if(m_falls.begin(), m_falls.end(), is_open);
  if (fall == m_falls.end()) {
    const Instant at = slot.m_silent_since == Instant{} ? now : slot.m_silent_since;
    Fall opened{slot.m_entry.m_id, slot.m_entry.m_domain, at, {}};
    for (const Fall& before : m_falls) {
      if (before.m_worker != opened.m_worker || at - before.m_at > m_settings.m_same) continue;
      opened.m_jobs.insert(before.m_jobs.begin(), before.m_jobs.end());
      opened.m_suspect = true;
    }
    fall = m_falls.insert(m_falls.end(), std::move(opened));
  }
  for (const auto& [unit, member] : slot.m_members) fall->m_jobs.insert(unit->m_step->m_key.m_job);
  fall->m_suspect = fall->m_suspect || HasSuspect(slot);
  return &*fall;
}

void LossLedger::OnSilent(const WorkerSlot& slot, Instant now) {
  Open(slot, now);
}

void LossLedger::OnRunVanished(const WorkerSlot& slot, Instant now) {
  Fall* fall = Open(slot, now);
  fall->m_vanished = true;
  fall->m_suspect = true;
}

void LossLedger::OnAnswer(const WorkerId& worker) {
  std::erase_if(m_falls,
                [&worker](const Fall& fall) { return fall.m_worker == worker && !fall.m_proved && !fall.m_vanished; });
}

bool LossLedger::OnLost(const WorkerSlot& slot, Instant now) {
  Fall* fall = Open(slot, now);
  fall->m_proved = true;
  return !fall->m_suspect;
}

bool LossLedger::Together(const Fall& fall, Instant at) const {
  return fall.m_at - at <= m_settings.m_together && at - fall.m_at <= m_settings.m_together;
}

bool LossLedger::FellWithDomain(const WorkerSlot& slot, JobId job, Instant at,
                                const std::vector<WorkerSlot*>& slots) const {
  const DomainId& domain = slot.m_entry.m_domain;
  std::set<WorkerId> fallen;  // Whatever had runs there.
  int without = 0;
  for (const Fall& fall : m_falls) {
    if (fall.m_domain != domain || !Together(fall, at)) continue;
    const bool counts = fall.m_worker != slot.m_entry.m_id && !fall.m_jobs.contains(job);
    if (fallen.insert(fall.m_worker).second && counts) ++without;
  }
  if (without < m_settings.m_fewest) return false;
  const auto stands = [&](const WorkerSlot* other) {
    return other != &slot && other->m_listed && other->m_entry.m_domain == domain &&
           !fallen.contains(other->m_entry.m_id);
  };
  return std::none_of(slots.begin(), slots.end(), stands);
}

}  // namespace hickoryquay::jobs
