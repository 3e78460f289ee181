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

// A row that can't be read counts as one that nobody holds: its version still guards the takeover.
SeenLease ToSeen(const store::Row& row) {
  SeenLease seen{row.m_version, {}};
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
      m_takeovers(m_parts.m_metrics->GetCounter("hq_placer_acquired_total")),
      m_losses(m_parts.m_metrics->GetCounter("hq_placer_lost_total")),
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

void PlacerLease::Deposed(Epoch higher) {
  m_parts.m_executor([self = shared_from_this(), higher] { self->Run(self->m_machine.OnDeposed(higher)); });
}

void PlacerLease::Tick() {
  Run(m_machine.Tick(m_parts.m_clock->Now(), m_parts.m_clock->Wall()));
  if (m_machine.HandedOver()) FinishHandOver();
  const std::lock_guard lock(m_mutex);
  m_known = m_machine.Row();
}

void PlacerLease::Run(const LeaseActions& actions) {
  for (const LeaseAction& action : actions) {
    std::visit([this](const auto& known) { Do(known); }, action);
  }
}

void PlacerLease::Do(const ReadLease&) {
  m_parts.m_table->Get(m_key, [self = shared_from_this()](const Result<store::Row, store::TableError>& result) {
    self->m_parts.m_executor([self, result] {
      const Instant now = self->m_parts.m_clock->Now();
      LeaseMachine& machine = self->m_machine;
      self->Run(Ok(result) ? machine.OnRead(ToSeen(ValueOf(result)), now) : machine.OnReadFailed(now));
    });
  });
}

void PlacerLease::Do(const WriteLease& action) {
  store::Commit commit;
  commit.m_checks.push_back({m_key, action.m_expected});
  commit.m_writes.push_back({m_key, LeaseValue(action.m_row)});
  m_parts.m_table->Submit(std::move(commit),
                          [self = shared_from_this()](const Result<store::Committed, store::TableError>& result) {
                            self->m_parts.m_executor([self, result] {
                              if (!Ok(result)) return self->OnWriteFailed(ErrorOf(result));
                              self->Run(self->m_machine.OnWritten(ValueOf(result).m_version));
                              self->Tick();
                            });
                          });
}

void PlacerLease::OnWriteFailed(const store::TableError& error) {
  const Instant now = m_parts.m_clock->Now();
  std::visit(Overloaded{[&](const store::Conflict& conflict) {
                          const SeenLease seen =
                              conflict.m_rows.empty() ? SeenLease{} : ToSeen(conflict.m_rows.front());
                          Run(m_machine.OnConflict(seen, now));
                        },
                        [&](const store::Unavailable&) { Run(m_machine.OnNotWritten(now)); },
                        [&](const store::InDoubt&) { Run(m_machine.OnUnsure(now)); }},
             error);
}

void PlacerLease::Do(const LeaseAcquired& action) {
  log::Info(kLog, "Holds the lease",
            {{"domain", m_identity.m_domain.m_value}, {"epoch", std::to_string(Raw(action.m_epoch))}});
  m_takeovers.Add();
  m_holding.Set(1.0);
  if (m_listener.m_acquired) m_listener.m_acquired(action.m_epoch);
}

void PlacerLease::Do(const LeaseLost& action) {
  log::Info(kLog, "Lost the lease", {{"domain", m_identity.m_domain.m_value}, {"why", action.m_why}});
  m_losses.Add();
  m_holding.Set(0.0);
  if (m_listener.m_lost) m_listener.m_lost(action.m_epoch, action.m_why);
}

store::Check PlacerLease::Fence() const {
  return {m_key, m_machine.RowVersion()};
}

void PlacerLease::NoteConflict(const store::Row& row) {
  Run(m_machine.OnForeignRead(ToSeen(row), m_parts.m_clock->Now()));
}

LeaseRow PlacerLease::LastSeenRow() const {
  const std::lock_guard lock(m_mutex);
  return m_known;
}

boost::json::value PlacerLease::Dump() const {
  const LeaseRow known = LastSeenRow();
  return boost::json::object{{"domain", m_identity.m_domain.m_value},
                             {"holder", known.m_holder.m_value},
                             {"address", known.m_address},
                             {"epoch", Raw(known.m_epoch)},
                             {"held_here", m_holding.Value() > 0.0},
                             {"acquired", m_takeovers.Value()},
                             {"lost", m_losses.Value()}};
}

}  // namespace hickoryquay::placer
