#include "hickoryquay/routing/backend.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/routing/backend_connection.h"

namespace hickoryquay::routing {

namespace {

bool TakeBelow(std::atomic<int>* count, int limit) {
  int taken = count->load();
  while (taken < limit) {
    if (count->compare_exchange_weak(taken, taken + 1)) return true;
  }
  return false;
}

}  // namespace

Backend::Backend(BackendServer server, const LimitBounds& bounds, int most_connections)
    : m_server(std::move(server)), m_limit(bounds) {
  Update(bounds, most_connections, m_server.m_leaving);
}

void Backend::Update(const LimitBounds& bounds, int most_connections, bool leaving) {
  m_most_connections = most_connections;
  m_share = bounds.m_share;
  if (leaving) MarkLeaving();
  const std::lock_guard lock(m_mutex);
  m_limit.SetBounds(bounds);
  Publish();
}

void Backend::MarkLeaving() {
  m_leaving.store(true, std::memory_order_release);
}

void Backend::Publish() {
  m_window = m_limit.Window();
  m_ejected_until_ms = m_health.EjectedUntil().m_ms;
}

bool Backend::TryTakeSlot(bool within_share) {
  if (Leaving()) return false;
  const int window = Window();
  return TakeBelow(&m_in_flight, within_share ? std::min(window, Share()) : window);
}

void Backend::OnResult(CallResult result, Millis latency, Instant now) {
  const std::lock_guard lock(m_mutex);
  switch (result) {
    case CallResult::kWhole:
      m_health.OnSuccess();
      m_limit.OnAnswer(latency, InFlight(), now);
      break;
    case CallResult::kRefused:
      m_limit.OnRefused(now);
      break;
    case CallResult::kNotSent:
      m_limit.OnFailure(now);
      if (m_health.OnUnreachable(now)) m_limit.Restart();
      break;
    case CallResult::kLate:
      // A caller with a tight deadline says nothing about the backend server.
      if (latency < m_limit.SlowMark()) break;
      [[fallthrough]];
    default:
      m_limit.OnFailure(now);
      if (m_health.OnFailure(now)) m_limit.Restart();
  }
  Publish();
}

bool Backend::TryOpenConnection() {
  return TakeBelow(&m_open, m_most_connections.load(std::memory_order_relaxed));
}

void Backend::PutIdle(std::shared_ptr<BackendConnection> connection) {
  const bool surplus = OpenConnections() > m_most_connections.load(std::memory_order_relaxed);
  if (surplus || Leaving()) return connection->Close();
  const std::lock_guard lock(m_idle_mutex);
  m_idle.push_back(std::move(connection));
}

std::shared_ptr<BackendConnection> Backend::TakeIdle(int thread) {
  const std::lock_guard lock(m_idle_mutex);
  if (m_idle.empty()) return nullptr;
  const auto own = std::find_if(m_idle.rbegin(), m_idle.rend(),
                                [thread](const auto& connection) { return connection->ThreadIndex() == thread; });
  if (own != m_idle.rend()) std::swap(*own, m_idle.back());
  auto connection = std::move(m_idle.back());
  m_idle.pop_back();
  return connection;
}

std::vector<std::shared_ptr<BackendConnection>> Backend::TakeAllIdle() {
  const std::lock_guard lock(m_idle_mutex);
  return std::exchange(m_idle, {});
}

}  // namespace hickoryquay::routing
