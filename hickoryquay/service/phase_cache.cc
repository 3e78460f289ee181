#include "hickoryquay/service/phase_cache.h"

#include <utility>

namespace hickoryquay::service {

namespace {

constexpr Millis kPendingValid{1'500};    // The API allows counts up to 2 s old. Heartbeats come every 200 ms.
constexpr Millis kHeartbeatValid{1'000};  // Five heartbeat intervals.
// Longer than outages in which no leader tells: jobs of an earlier version appear only where its instances are started.
constexpr Millis kNoEarlierRowsValid{30'000};

}  // namespace

void PhaseCache::Set(JobId job, jobs::JobPhase phase, Instant now) {
  const auto found = m_entries.find(job);
  if (found != m_entries.end() && jobs::Ended(found->second.m_phase)) return;  // Final.
  m_entries[job] = {phase, now};
}

void PhaseCache::SetFromStore(JobId job, jobs::JobPhase phase, Instant sent, Instant now) {
  const auto found = m_entries.find(job);
  const bool outdated = sent <= m_dropped_at || (found != m_entries.end() && sent <= found->second.m_since);
  if (jobs::Ended(phase) || !outdated) Set(job, phase, now);
}

void PhaseCache::DropUnfinished(Instant now) {
  m_dropped_at = now;
  std::erase_if(m_entries, [](const auto& entry) { return !jobs::Ended(entry.second.m_phase); });
}

void PhaseCache::SetPending(std::map<jobs::QueueName, int> pending, Instant now) {
  m_pending = std::move(pending);
  m_pending_at = now;
  m_has_pending = true;
}

void PhaseCache::SetEarlierRows(bool any, Instant now) {
  m_no_earlier_rows_at = any ? Instant{} : now;
}

bool PhaseCache::MayHaveEarlierRows(Instant now) const {
  return m_no_earlier_rows_at == Instant{} || now - m_no_earlier_rows_at > kNoEarlierRowsValid;
}

std::optional<jobs::JobPhase> PhaseCache::Find(JobId job, Instant now) const {
  const auto found = m_entries.find(job);
  if (found == m_entries.end()) return std::nullopt;
  const bool fresh = jobs::Ended(found->second.m_phase) || now - m_heartbeat_at <= kHeartbeatValid;
  return fresh ? std::optional(found->second.m_phase) : std::nullopt;
}

std::optional<int> PhaseCache::Pending(const jobs::QueueName& queue, Instant now) const {
  if (!m_has_pending || now - m_pending_at > kPendingValid) return std::nullopt;
  const auto found = m_pending.find(queue);
  return found == m_pending.end() ? 0 : found->second;
}

void PhaseCache::RemoveExpired(Instant now) {
  std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.m_since > m_retention; });
}

}  // namespace hickoryquay::service
