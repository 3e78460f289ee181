// Backend: what this entry instance knows of one backend server, shared by all threads of the request path.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/routing/adaptive_limit.h"
#include "hickoryquay/routing/health.h"

namespace hickoryquay::routing {

// One backend server as the platform lists it.
struct BackendServer {
  BackendId m_id;
  MarketId m_market;
  DomainId m_domain;
  net::Endpoint m_endpoint;
  int m_slots = 0;        // Requests at one time, from all entry instances.
  int m_connections = 0;  // Open at one time, from all entry instances.
  bool m_leaving = false;

  bool operator==(const BackendServer&) const = default;
};

// What one call to a backend server came to.
enum class CallResult {
  kWhole,        // The whole answer to this very request.
  kServerError,  // Whole, too, but with a 5xx status.
  kRefused,      // HQ-Not-Run: not run.
  kNotSent,      // No connection, or no byte was written: not run.
  kCut,
  kLate,
  kCrossed,
  kBadAnswer,
  kTooLarge,
};

class BackendConnection;

// Thread-safe. Slots are counted by atomics; the limit and the health behind them have a lock of their own.
class Backend {
 public:
  Backend(BackendServer server, const LimitBounds& bounds, int most_connections);

  const BackendServer& Server() const { return m_server; }

  // Takes new shares and the list's word on leaving; a server that said itself that it leaves stays so.
  void Update(const LimitBounds& bounds, int most_connections, bool leaving);

  bool Leaving() const { return m_leaving.load(std::memory_order_acquire); }
  void MarkLeaving();
  bool Ejected(Instant now) const { return now.m_ms < m_ejected_until_ms.load(std::memory_order_acquire); }

  // Takes one slot where fewer than the window are taken, and fewer than the share where `within_share`.
  bool TryTakeSlot(bool within_share);
  void ReturnSlot() { m_in_flight.fetch_sub(1); }
  int InFlight() const { return m_in_flight.load(std::memory_order_relaxed); }
  int Window() const { return m_window.load(std::memory_order_relaxed); }
  int Share() const { return m_share.load(std::memory_order_relaxed); }

  // Feeds limit and health. To be called before the slot of the call is returned.
  void OnResult(CallResult result, Millis latency, Instant now);

  // Connections: the number open is bounded, idle ones are kept for the next request.
  bool TryOpenConnection();
  void OnConnectionClosed() { m_open.fetch_sub(1); }
  int OpenConnections() const { return m_open.load(std::memory_order_relaxed); }
  void PutIdle(std::shared_ptr<BackendConnection> connection);
  // Prefers the last one used by `thread`; nullptr where none is idle.
  std::shared_ptr<BackendConnection> TakeIdle(int thread);
  std::vector<std::shared_ptr<BackendConnection>> TakeAllIdle();

 private:
  void Publish();  // Copies window and ejection to the atomics. Under m_mutex.

  const BackendServer m_server;
  std::atomic<int> m_in_flight{0};
  std::atomic<int> m_window{1};
  std::atomic<int> m_share{0};
  std::atomic<int> m_open{0};
  std::atomic<int> m_most_connections{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<std::int64_t> m_ejected_until_ms{0};

  std::mutex m_mutex;
  AdaptiveLimit m_limit;  // Guarded by m_mutex.
  Health m_health;        // Guarded by m_mutex.

  std::mutex m_idle_mutex;
  std::vector<std::shared_ptr<BackendConnection>> m_idle;  // Guarded by m_idle_mutex.
};

}  // namespace hickoryquay::routing
