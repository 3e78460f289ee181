#include "hickoryquay/routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::routing {

namespace {

constexpr double kHeldWeight = 0.1;

struct Draw {
  const Backend* m_except = nullptr;
  Instant m_now;
  bool m_within_share = true;
  bool m_ejected_too = false;
};

bool MayTake(const Backend& backend, const Draw& draw) {
  if (&backend == draw.m_except || backend.Leaving()) return false;
  return draw.m_ejected_too || !backend.Ejected(draw.m_now);
}

bool Take(Backend* backend, const Draw& draw) {
  return MayTake(*backend, draw) && backend->TryTakeSlot(draw.m_within_share);
}

double Load(const Backend& backend) {
  return static_cast<double>(backend.InFlight()) / std::max(1, backend.Window());
}

BackendPtr TakeFrom(const std::vector<BackendPtr>& backends, const Draw& draw, Random* random) {
  const std::size_t count = backends.size();
  if (count == 0) return nullptr;
  const std::size_t first = (*random)() % count;
  const std::size_t second = (*random)() % count;
  const bool second_better = Load(*backends[second]) < Load(*backends[first]);
  const BackendPtr& better = backends[second_better ? second : first];
  if (Take(better.get(), draw)) return better;
  for (std::size_t i = 0; i < count; ++i) {
    const BackendPtr& backend = backends[(first + i) % count];
    if (Take(backend.get(), draw)) return backend;
  }
  return nullptr;
}

BackendPtr TakeByPreference(const MarketBackends& backends, Draw draw, Random* random) {
  for (const bool within_share : {true, false}) {
    draw.m_within_share = within_share;
    if (BackendPtr local = TakeFrom(backends.m_local, draw, random)) return local;
    if (BackendPtr remote = TakeFrom(backends.m_remote, draw, random)) return remote;
  }
  return nullptr;
}

bool MostEjected(const MarketBackends& backends, Instant now) {
  std::size_t ejected = 0;
  for (const auto* list : {&backends.m_local, &backends.m_remote}) {
    ejected += static_cast<std::size_t>(
        std::count_if(list->begin(), list->end(), [now](const BackendPtr& b) { return b->Ejected(now); }));
  }
  return ejected * 2 > backends.m_local.size() + backends.m_remote.size();
}

int TotalWindow(const MarketBackends& backends) {
  int total = 0;
  for (const auto* list : {&backends.m_local, &backends.m_remote}) {
    for (const BackendPtr& backend : *list) total += backend->Leaving() ? 0 : backend->Window();
  }
  return total;
}

}  // namespace

BackendPtr TakeSlot(const MarketBackends& backends, const Backend* except, Instant now, Random* random) {
  Draw draw{except, now, true, false};
  if (BackendPtr backend = TakeByPreference(backends, draw, random)) return backend;
  if (!MostEjected(backends, now)) return nullptr;
  draw.m_ejected_too = true;
  return TakeByPreference(backends, draw, random);
}

void Dispatcher::SetBackends(std::shared_ptr<const MarketBackends> backends, Instant now) {
  {
    const std::lock_guard lock(m_mutex);
    m_backends = std::move(backends);
  }
  Pump(now);
}

bool Dispatcher::TooLate(const Waiting& waiting, Instant now) const {
  const auto ahead = static_cast<double>(m_queue.SizeUpTo(waiting.m_urgency));
  const int window = TotalWindow(*m_backends);
  if (window == 0) return true;
  const double wait_ms = ahead * m_held_ms / window;
  return now + Millis(static_cast<std::int64_t>(wait_ms)) >= waiting.m_deadline;
}

Dispatcher::Entry Dispatcher::Enter(Waiting waiting, const Backend* except, Instant now) {
  std::unique_lock lock(m_mutex);
  if (!m_backends) return Overloaded{};
  m_waiting.fetch_add(1);  // Before the try: a slot returned meanwhile is seen either here or by its returner.
  if (m_queue.Size() == 0) {
    if (BackendPtr backend = TakeSlot(*m_backends, except, now, &m_random)) {
      m_waiting.fetch_sub(1);
      return backend;
    }
  }
  if (TooLate(waiting, now)) {
    m_waiting.fetch_sub(1);
    return Overloaded{};
  }
  const std::uint64_t id = waiting.m_id;
  const std::optional<Waiting> shed = m_queue.Push(std::move(waiting));
  if (!shed) return Queued{};
  m_waiting.fetch_sub(1);
  lock.unlock();
  if (shed->m_id == id) return Overloaded{};
  shed->m_waiter->OnShed(shed->m_id);
  return Queued{};
}

bool Dispatcher::Leave(std::uint64_t id) {
  const std::lock_guard lock(m_mutex);
  if (!m_queue.Remove(id)) return false;
  m_waiting.fetch_sub(1);
  return true;
}

void Dispatcher::OnSlotReturned(Millis held, Instant now) {
  if (!HasWaiting()) return;
  {
    const std::lock_guard lock(m_mutex);
    m_held_ms += kHeldWeight * (static_cast<double>(held.count()) - m_held_ms);
  }
  Pump(now);
}

void Dispatcher::Pump(Instant now) {
  while (HasWaiting()) {
    std::unique_lock lock(m_mutex);
    std::optional<Waiting> next = m_queue.Pop();
    if (!next) return;
    BackendPtr backend = TakeSlot(*m_backends, nullptr, now, &m_random);
    if (!backend) return m_queue.PutBack(std::move(*next));
    m_waiting.fetch_sub(1);
    lock.unlock();
    next->m_waiter->OnSlot(next->m_id, std::move(backend));
  }
}

}  // namespace hickoryquay::routing
