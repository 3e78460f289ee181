#include "hickoryquay/placer/placer_lease.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <mutex>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::placer {

namespace {

constexpr log::Part kLog{"placer"};
constexpr Millis kTickEvery{50};

// A row that can't be parsed counts as a lease without holder. The takeover is still checked against its version.
LeaseSnapshot ToSnapshot(const store::Row& row) {
  LeaseSnapshot seen{row.m_version, {}};
  if (row.m_version == Version{0}) return seen;
  const auto parsed = ParseLeaseValue(row.m_value);
  if (Ok(parsed)) seen.m_row = ValueOf(parsed);
  return seen;
}

}  // namespace

PlacerLease::PlacerLease(LeaseParts parts, const LeaseSettings& settings, LeaseIdentity identity)
    : m_parts(std::move(parts)),
      m_identity(std::move(identity)),
      m_key(PlacerKey(m_identity.m_domain)),
      m_machine(settings, m_identity.m_self, m_identity.m_address),
      m_acquired_count(m_parts.m_metrics->GetCounter("hq_placer_acquired_total")),
      m_lost_count(m_parts.m_metrics->GetCounter("hq_placer_lost_total")),
      m_holding(m_parts.m_metrics->GetGauge("hq_placer_holding")) {}

void PlacerLease::Start(Listener listener) {
  m_listener = std::move(listener);
  m_timer = m_parts.m_timers->Every(kTickEvery, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->m_parts.m_executor([self] { self->Tick(); });
  });
}

void PlacerLease::Stop() {
  m_timer.Cancel();
}

void PlacerLease::HandOver(Millis limit, std::function<void()> done) {
  m_parts.m_executor([self = shared_from_this(), done = std::move(done)] {
    self->m_handed_over = done;
    self->m_machine.HandOver();
    self->Tick();
  });
  m_parts.m_timers
      ->After(limit, [self = shared_from_this()] { self->m_parts.m_executor([self] { self->FinishHandOver(); }); })
      .Detach();
}

void PlacerLease::FinishHandOver() {
  const auto done = std::exchange(m_handed_over, nullptr);
  if (done) done();
}

void PlacerLease::OnHigherEpoch(Epoch higher) {
  m_parts.m_executor([self = shared_from_this(), higher] { self->RunActions(self->m_machine.OnHigherEpoch(higher)); });
}

void PlacerLease::Tick() {
  RunActions(m_machine.Tick(m_parts.m_clock->Now(), m_parts.m_clock->Wall()));
  if (m_machine.HandedOver()) FinishHandOver();
  const std::lock_guard lock(m_mutex);
  m_last_seen_row = m_machine.Row();
}

void PlacerLease::RunActions(const LeaseActions& actions) {
  for (const LeaseAction& action : actions) {
    std::visit([this](const auto& concrete) { RunAction(concrete); }, action);
  }
}

void PlacerLease::RunAction(const ReadLease&) {
  m_parts.m_table->Get(m_key, [self = shared_from_this()](const Result<store::Row, store::TableError>& result) {
    self->m_parts.m_executor([self, result] {
      const Instant now = self->m_parts.m_clock->Now();
      LeaseMachine& machine = self->m_machine;
      self->RunActions(Ok(result) ? machine.OnRead(ToSnapshot(ValueOf(result)), now) : machine.OnReadFailed(now));
    });
  });
}

void PlacerLease::RunAction(const WriteLease& action) {
  store::Commit commit;
  commit.m_checks.push_back({m_key, action.m_expected});
  commit.m_writes.push_back({m_key, LeaseValue(action.m_row)});
  m_parts.m_table->Submit(std::move(commit),
                          [self = shared_from_this()](const Result<store::Committed, store::TableError>& result) {
                            self->m_parts.m_executor([self, result] {
                              if (!Ok(result)) return self->OnWriteFailed(ErrorOf(result));
                              self->RunActions(self->m_machine.OnWritten(ValueOf(result).m_version));
                              self->Tick();
                            });
                          });
}

void PlacerLease::OnWriteFailed(const store::TableError& error) {
  const Instant now = m_parts.m_clock->Now();
  std::visit(Overloaded{[&](const store::Conflict& conflict) {
                          const LeaseSnapshot seen =
                              conflict.m_rows.empty() ? LeaseSnapshot{} : ToSnapshot(conflict.m_rows.front());
                          RunActions(m_machine.OnConflict(seen, now));
                        },
                        [&](const store::Unavailable&) { RunActions(m_machine.OnNotWritten(now)); },
                        [&](const store::InDoubt&) { RunActions(m_machine.OnWriteInDoubt(now)); }},
             error);
}

void PlacerLease::RunAction(const LeaseAcquired& action) {
  log::Info(kLog, "Acquired the lease",
            {{"domain", m_identity.m_domain.m_value}, {"epoch", std::to_string(Raw(action.m_epoch))}});
  m_acquired_count.Add();
  m_holding.Set(1.0);
  if (m_listener.m_acquired) m_listener.m_acquired(action.m_epoch);
}

void PlacerLease::RunAction(const LeaseLost& action) {
  log::Info(kLog, "Lost the lease", {{"domain", m_identity.m_domain.m_value}, {"why", action.m_why}});
  m_lost_count.Add();
  m_holding.Set(0.0);
  if (m_listener.m_lost) m_listener.m_lost(action.m_epoch, action.m_why);
}

store::Check PlacerLease::Fence() const {
  return {m_key, m_machine.RowVersion()};
}

void PlacerLease::OnFenceConflict(const store::Row& row) {
  RunActions(m_machine.OnFenceConflict(ToSnapshot(row), m_parts.m_clock->Now()));
}

LeaseRow PlacerLease::LastSeenRow() const {
  const std::lock_guard lock(m_mutex);
  return m_last_seen_row;
}

boost::json::value PlacerLease::Dump() const {
  const LeaseRow row = LastSeenRow();
  return boost::json::object{{"domain", m_identity.m_domain.m_value},
                             {"holder", row.m_holder.m_value},
                             {"address", row.m_address},
                             {"epoch", Raw(row.m_epoch)},
                             {"held_here", m_holding.Value() > 0.0},
                             {"acquired", m_acquired_count.Value()},
                             {"lost", m_lost_count.Value()}};
}

}  // namespace hickoryquay::placer
