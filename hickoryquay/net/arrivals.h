// Arrivals: the bodies of requests that are being received, and which of them give way when memory is short.
//
// A body holds memory from its head on, so a client that stops halfway would keep others out. When a further body finds
// no room, those that arrive at the lowest rate are given up. Bodies that began a moment ago are spared: their rate
// says nothing yet.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <utility>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/memory_budget.h"

namespace hickoryquay::net {

// One body. Shared by the connection that receives it and by Arrivals.
struct Arrival {
  Instant m_began;
  std::function<void()> m_give_up;             // Called at most once, from any thread.
  std::atomic<std::uint64_t> m_received{0};    // Bytes, framing included.
  std::atomic<std::uint64_t> m_held_bytes{0};  // Of the budget.
};

// Thread-safe. One object per process, shared by all its servers.
class Arrivals {
 public:
  static constexpr Millis kSpared{1'000};

  Arrivals(std::shared_ptr<MemoryBudget> memory, const Clock* clock) : m_memory(std::move(memory)), m_clock(clock) {}

  // Forgotten once nobody else holds it.
  std::shared_ptr<Arrival> Begin(std::function<void()> give_up);

  // Makes `hold` cover `bytes` in all. Where they are not left, gives up slow bodies that hold enough and returns
  // false: their memory comes back a little later.
  bool Take(std::uint64_t bytes, Arrival* arrival, MemoryHold* hold);

  // Gives up slow bodies, but for `except`, that hold `bytes` together.
  void GiveUpSlowest(std::uint64_t bytes, const Arrival* except);

 private:
  std::shared_ptr<MemoryBudget> m_memory;
  const Clock* m_clock;
  std::mutex m_mutex;
  std::list<std::weak_ptr<Arrival>> m_arrivals;  // Guarded by m_mutex; oldest first.
};

}  // namespace hickoryquay::net
