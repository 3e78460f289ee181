// RequestThread: what each thread of the request path has to itself. Nothing in it is shared, so nothing is locked.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/routing/dispatcher.h"
#include "hickoryquay/routing/hedge_delay.h"
#include "hickoryquay/routing/retry_budget.h"

namespace hickoryquay::routing {

// What lasts of a market over changes of configuration and backend servers.
struct MarketState {
  explicit MarketState(std::size_t queue_capacity) : m_dispatcher(queue_capacity) {}

  Dispatcher m_dispatcher;
  RetryBudget m_budget;
  HedgeDelay m_hedge_delay;
};

struct MarketView {
  std::shared_ptr<const Market> m_market;
  std::shared_ptr<const MarketBackends> m_backends;
  std::shared_ptr<MarketState> m_state;
};

// Everything a request looks up. Immutable; each thread holds the last one published, see docs/design/requests.md.
struct RequestSnapshot {
  std::unordered_map<std::string, MarketView> m_markets;  // By the market's id.
};

class BackendConnection;
class CallerSession;

// Objects of one thread, each of which knows its position by a member m_roster_position. Adding and removing is O(1).
template <typename T>
class Roster {
 public:
  void Add(T* item) {
    item->m_roster_position = m_items.size();
    m_items.push_back(item);
  }
  void Remove(T* item) {
    m_items.back()->m_roster_position = item->m_roster_position;
    m_items[item->m_roster_position] = m_items.back();
    m_items.pop_back();
  }
  // A copy, since items may go while it is walked through.
  std::vector<std::shared_ptr<T>> Alive() const {
    std::vector<std::shared_ptr<T>> alive;
    alive.reserve(m_items.size());
    for (T* item : m_items) alive.push_back(item->shared_from_this());
    return alive;
  }
  std::size_t Size() const { return m_items.size(); }

 private:
  std::vector<T*> m_items;
};

struct RequestThread {
  boost::asio::io_context* m_io = nullptr;
  int m_index = 0;
  std::shared_ptr<const RequestSnapshot> m_snapshot;
  Random m_random;
  std::uint64_t m_next_id = 1;        // Request ids; unique within the process by the thread's index.
  Roster<CallerSession> m_sessions;   // Open ones.
  Roster<BackendConnection> m_calls;  // With a call in flight.
};

}  // namespace hickoryquay::routing
