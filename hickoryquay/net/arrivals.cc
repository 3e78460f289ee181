#include "hickoryquay/net/arrivals.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickoryquay::net {

std::shared_ptr<Arrival> Arrivals::Begin(std::function<void()> give_up) {
  auto arrival = std::make_shared<Arrival>();
  arrival->m_began = m_clock->Now();
  arrival->m_give_up = std::move(give_up);
  const std::lock_guard lock(m_mutex);
  m_arrivals.remove_if([](const std::weak_ptr<Arrival>& old) { return old.expired(); });
  m_arrivals.push_back(arrival);
  return arrival;
}

bool Arrivals::Take(std::uint64_t bytes, Arrival* arrival, MemoryHold* hold) {
  if (hold->Take(m_memory, bytes)) {
    arrival->m_held_bytes = hold->Bytes();
    return true;
  }
  GiveUpSlowest(bytes, arrival);
  return false;
}

void Arrivals::GiveUpSlowest(std::uint64_t bytes, const Arrival* except) {
  struct Slow {
    double m_rate = 0.0;  // Bytes a millisecond.
    std::shared_ptr<Arrival> m_arrival;
  };
  std::vector<Slow> slow;
  const Instant now = m_clock->Now();
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& weak : m_arrivals) {
      auto arrival = weak.lock();
      if (!arrival || arrival.get() == except || arrival->m_held_bytes == 0) continue;
      const Millis age = now - arrival->m_began;
      if (age < kSpared) continue;
      const double rate = static_cast<double>(arrival->m_received) / static_cast<double>(age.count());
      slow.push_back({rate, std::move(arrival)});
    }
  }
  std::sort(slow.begin(), slow.end(), [](const Slow& a, const Slow& b) { return a.m_rate < b.m_rate; });
  std::uint64_t freed = 0;
  for (const Slow& next : slow) {
    if (freed >= bytes) break;
    freed += next.m_arrival->m_held_bytes.exchange(0);
    next.m_arrival->m_give_up();
  }
}

}  // namespace hickoryquay::net
