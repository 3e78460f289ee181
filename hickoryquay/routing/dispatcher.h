// Dispatcher: which backend server of a market gets a request, and who waits while none has a slot.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/routing/backend.h"
#include "hickoryquay/routing/wait_queue.h"

namespace hickoryquay::routing {

using BackendPtr = std::shared_ptr<Backend>;
using Random = std::minstd_rand;

// The backend servers of one market, own failure domain apart. Immutable once published.
struct MarketBackends {
  std::vector<BackendPtr> m_local;
  std::vector<BackendPtr> m_remote;
};

// Takes a slot for a request: the less loaded of two drawn at random, shares of the own failure domain first, then
// shares elsewhere, then slots beyond the shares. Leaves out `except`, leaving and ejected servers; the ejected count
// again where more than half of all are. nullptr where no slot is free. O(backend servers) at worst.
BackendPtr TakeSlot(const MarketBackends& backends, const Backend* except, Instant now, Random* random);

// One market's queue for slots. Thread-safe; waiters are called outside of its lock.
class Dispatcher {
 public:
  explicit Dispatcher(std::size_t capacity) : m_queue(capacity) {}

  void SetBackends(std::shared_ptr<const MarketBackends> backends, Instant now);

  // True where a request should not pass those that wait.
  bool HasWaiting() const { return m_waiting.load() > 0; }

  struct Queued {};      // OnSlot or OnShed follows, unless Leave() comes first.
  struct Overloaded {};  // Can't get a slot before its deadline, or is itself the one to shed.
  using Entry = std::variant<BackendPtr, Queued, Overloaded>;

  // Takes a slot, or waits for one.
  Entry Enter(Waiting waiting, const Backend* except, Instant now);

  // Returns false where the waiter was told already, or is about to be.
  bool Leave(std::uint64_t id);

  // To be called after a slot was returned; cheap where nobody waits.
  void OnSlotReturned(Millis held, Instant now);

  // Hands out whatever is free, as after an ejection ends.
  void Pump(Instant now);

  std::size_t Size() const { return m_waiting.load(); }

 private:
  bool TooLate(const Waiting& waiting, Instant now) const;  // Under m_mutex.

  std::atomic<std::size_t> m_waiting{0};
  std::mutex m_mutex;
  WaitQueue m_queue;                                 // Guarded by m_mutex.
  std::shared_ptr<const MarketBackends> m_backends;  // Guarded by m_mutex.
  double m_held_ms = 0.0;                            // Moving average of a slot's use. Guarded by m_mutex.
  Random m_random;                                   // Guarded by m_mutex.
};

}  // namespace hickoryquay::routing
