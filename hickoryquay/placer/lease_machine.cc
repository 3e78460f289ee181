#include "hickoryquay/placer/lease_machine.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::placer {

LeaseMachine::LeaseMachine(const LeaseSettings& settings, InstanceId self, std::string address)
    : m_settings(settings), m_self(std::move(self)), m_address(std::move(address)) {}

LeaseActions LeaseMachine::Tick(Instant now, Instant wall) {
  if (m_busy) return {};
  return m_state == State::kHolding ? TickHolding(now, wall) : TickWatching(now, wall);
}

LeaseActions LeaseMachine::TickWatching(Instant now, Instant wall) {
  if (m_handing_over) return {};
  if (m_table_unavailable && now < m_next) return {};
  const InstanceId& holder = m_seen.m_row.m_holder;
  const bool free = m_row_known && (holder.Empty() || holder == m_self);
  const bool lapsed = m_row_known && now >= m_first_seen + m_settings.m_term;
  if (free || lapsed) {
    const Epoch epoch{std::max(Raw(m_seen.m_row.m_epoch), Raw(m_highest_epoch)) + 1};
    return Write(LeaseRow{m_self, m_address, epoch, wall + m_settings.m_term}, now);
  }
  const bool due = now >= m_next || !m_row_known;
  if (!due) return {};
  m_busy = true;
  m_next = now + m_settings.m_watch_every;
  return {ReadLease{}};
}

LeaseActions LeaseMachine::TickHolding(Instant now, Instant wall) {
  const bool not_due = now < m_next;
  if (not_due && (m_table_unavailable || !m_handing_over)) return {};
  if (m_write_in_doubt) {
    m_busy = true;
    return {ReadLease{}};
  }
  if (m_handing_over) return Write(LeaseRow{InstanceId(), "", m_epoch, wall}, now);
  return Write(LeaseRow{m_self, m_address, m_epoch, wall + m_settings.m_term}, now);
}

LeaseActions LeaseMachine::Write(const LeaseRow& row, Instant now) {
  m_busy = true;
  m_row_in_flight = row;
  m_write_sent = now;
  m_next = now + m_settings.m_renew_every;
  return {WriteLease{m_seen.m_version, row}};
}

void LeaseMachine::SetSeen(const LeaseSnapshot& seen, Instant now) {
  if (!m_row_known || seen.m_version != m_seen.m_version) m_first_seen = now;
  m_row_known = true;
  m_seen = seen;
  m_highest_epoch = std::max(m_highest_epoch, seen.m_row.m_epoch);
}

LeaseActions LeaseMachine::OnRead(const LeaseSnapshot& seen, Instant now) {
  m_busy = false;
  m_table_unavailable = false;
  if (m_row_known && seen.m_version < m_seen.m_version && seen.m_version != Version{0}) return {};
  const bool was_in_doubt = std::exchange(m_write_in_doubt, false);
  if (m_state == State::kHolding) {
    if (IsOwnRow(seen.m_row, m_epoch)) {
      m_next = now;
      SetSeen(seen, now);
      return {};
    }
    const bool handed_over = was_in_doubt && seen.m_row.m_holder.Empty() && seen.m_row.m_epoch == m_epoch;
    SetSeen(seen, now);
    return Lose(handed_over ? "handed over" : "another instance holds the lease");
  }
  const bool acquired = was_in_doubt && IsOwnRow(seen.m_row, m_row_in_flight.m_epoch);
  SetSeen(seen, now);
  if (!acquired) return {};
  m_state = State::kHolding;
  m_epoch = m_row_in_flight.m_epoch;
  m_confirmed = m_write_sent;
  m_next = now;
  return {LeaseAcquired{m_epoch}};
}

LeaseActions LeaseMachine::OnReadFailed(Instant now) {
  m_busy = false;
  m_table_unavailable = true;
  m_next = now + m_settings.m_retry_every;
  return {};
}

LeaseActions LeaseMachine::OnWritten(Version version) {
  m_busy = false;
  m_table_unavailable = false;
  m_seen = LeaseSnapshot{version, m_row_in_flight};
  m_first_seen = m_write_sent;
  m_confirmed = m_write_sent;
  m_write_in_doubt = false;
  m_row_known = true;
  if (m_state == State::kHolding) {
    if (m_row_in_flight.m_holder.Empty()) return Lose("handed over");
    return {};
  }
  if (m_row_in_flight.m_holder.Empty() || m_row_in_flight.m_epoch < m_highest_epoch) return {};
  m_state = State::kHolding;
  m_epoch = m_row_in_flight.m_epoch;
  m_highest_epoch = std::max(m_highest_epoch, m_epoch);
  return {LeaseAcquired{m_epoch}};
}

LeaseActions LeaseMachine::OnConflict(const LeaseSnapshot& seen, Instant now) {
  m_write_in_doubt = true;  // Compare the row as after a read: an earlier write may have taken effect late.
  return OnRead(seen, now);
}

LeaseActions LeaseMachine::OnNotWritten(Instant now) {
  m_busy = false;
  m_table_unavailable = true;
  m_next = now + m_settings.m_retry_every;
  return {};
}

LeaseActions LeaseMachine::OnWriteInDoubt(Instant now) {
  m_busy = false;
  m_table_unavailable = true;
  m_next = now + m_settings.m_retry_every;
  m_write_in_doubt = true;
  m_row_known = m_state == State::kHolding && m_row_known;  // A watcher reads the row before it writes again.
  return {};
}

LeaseActions LeaseMachine::OnFenceConflict(const LeaseSnapshot& seen, Instant now) {
  if (m_state != State::kHolding || seen.m_version <= m_seen.m_version) return {};
  const bool own = IsOwnRow(seen.m_row, m_epoch);
  SetSeen(seen, now);
  if (own) return {};
  return Lose("another instance holds the lease");
}

LeaseActions LeaseMachine::OnHigherEpoch(Epoch higher) {
  m_highest_epoch = std::max(m_highest_epoch, higher);
  if (m_state != State::kHolding || higher <= m_epoch) return {};
  m_row_known = false;
  return Lose("a worker has seen a higher epoch");
}

LeaseActions LeaseMachine::Lose(const std::string& why) {
  m_state = State::kWatching;
  return {LeaseLost{m_epoch, why}};
}

bool LeaseMachine::MayStartWork(Instant now) const {
  if (m_state != State::kHolding) return false;
  return now < m_confirmed + m_settings.m_holder_term || m_table_unavailable;
}

}  // namespace hickoryquay::placer
