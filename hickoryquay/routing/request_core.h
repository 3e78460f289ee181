// RequestCore: what all threads of the request path share. Set up once, then read-only but for its atomics.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/memory_budget.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/net/arrivals.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/routing/backend_connection.h"
#include "hickoryquay/routing/claim_sweeper.h"
#include "hickoryquay/routing/claims.h"
#include "hickoryquay/routing/outcome.h"
#include "hickoryquay/routing/request_server.h"
#include "hickoryquay/routing/request_thread.h"

namespace hickoryquay::routing {

constexpr std::size_t kReasons = static_cast<std::size_t>(Reason::kAnswerNotKept) + 1;

struct RequestCore {
  explicit RequestCore(const RequestSettings& settings)
      : m_settings(settings), m_memory(std::make_shared<MemoryBudget>(settings.m_max_bodies_bytes)) {}

  const RequestSettings m_settings;
  const Clock* m_clock = nullptr;
  net::Handler m_fallback;
  std::shared_ptr<Claims> m_claims;
  std::unique_ptr<ClaimSweeper> m_sweeper;
  std::shared_ptr<MemoryBudget> m_memory;
  std::unique_ptr<net::Arrivals> m_arrivals;  // Of callers' bodies.
  ConnectionLimits m_connection_limits;
  std::vector<std::unique_ptr<RequestThread>> m_threads;
  std::atomic<bool> m_draining{false};
  std::atomic<int> m_sessions{0};

  std::array<Counter*, kReasons> m_answers{};  // Indexed by Reason.
  Counter* m_retries = nullptr;
  Counter* m_hedges = nullptr;
  Counter* m_refused_connections = nullptr;
  Counter* m_replaced_connections = nullptr;
  Distribution* m_latency_ms = nullptr;  // Of one request in kLatencySampleEvery.
};

constexpr std::uint64_t kLatencySampleEvery = 16;

}  // namespace hickoryquay::routing
