// RequestServer: the urgent path from callers to backend servers.
//
//   net::IoThreads threads(4);  // Each io_context is run by exactly one thread.
//   RequestServer server(settings, threads.All(), &timers, &clock, &table, &metrics, other_paths);
//   server.PublishInstances({InstanceId("e-1"), InstanceId("e-2")});
//   server.PublishBackends(backend_servers);
//   server.PublishConfiguration(configuration);
//
// What callers send and get is in docs/requests.md; how it works in docs/design/requests.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/routing/backend.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::routing {

struct RequestSettings {
  net::Endpoint m_listen{"127.0.0.1", 0};  // Port 0: any free one, see Local().
  InstanceId m_instance;
  DomainId m_domain;  // Backend servers of this failure domain go first.

  std::uint32_t m_max_header_bytes = 16 * 1024;
  std::uint64_t m_max_body_bytes = 1024 * 1024;         // Of a request.
  std::uint64_t m_max_answer_bytes = 4 * 1024 * 1024;   // Of a backend server's answer.
  std::uint64_t m_max_bodies_bytes = 64 * 1024 * 1024;  // All large bodies in flight together.
  int m_max_connections = 1024;      // Of callers; a further one takes the place of the one longest without a request.
  Millis m_request_timeout{10'000};  // From a request's first byte to its last.
  Millis m_write_timeout{10'000};    // For a caller to take an answer.
  Millis m_idle_timeout{60'000};

  Millis m_default_deadline{30'000};  // Where neither request nor class of work has one.
  std::size_t m_max_waiting = 256;    // Of one market, for a slot.
  int m_max_attempts = 3;             // Hedges included.
  bool m_hedge = true;
  bool m_beyond_share = true;  // Use slots above the own share while the backend server refuses nothing.
  Millis m_list_lag{15'000};   // How long another entry instance may act on an older list of instances.

  Millis m_drain_accept{2'000};  // How long a draining instance still accepts: the balancer may not know yet.
  Millis m_drain_idle{2'000};    // An idle connection is closed after this time of a drain.
  Millis m_drain_limit{30'000};  // Then whatever is left is cut.
};

struct RequestCore;

// Thread-safe. Everything passed in must outlive the server and the io_contexts (net/io_threads.h has them). The
// io_contexts go on running until the destructor has returned.
class RequestServer {
 public:
  // Binds at once. Throws std::runtime_error, naming the endpoint, where that fails. `other_paths` gets every request
  // whose target is not under /serve/. `table` may be nullptr: requests not to be repeated are refused then.
  RequestServer(const RequestSettings& settings, const std::vector<boost::asio::io_context*>& threads,
                TimerService* timers, const Clock* clock, store::Table* table, Metrics* metrics,
                net::Handler other_paths);
  ~RequestServer();

  net::Endpoint Local() const;

  // In force on every thread within one turn of its loop.
  void PublishConfiguration(std::shared_ptr<const Configuration> configuration);
  void PublishBackends(std::vector<BackendServer> backends);
  // Entry instances as listed, live and leaving ones, in any order.
  void PublishInstances(std::vector<InstanceId> instances);

  // Cuts nothing in flight: goes on accepting for m_drain_accept, closes each connection behind the last answer owed
  // on it, calls `done` when none is left or m_drain_limit is over. Tell the balancer first.
  void Drain(std::function<void()> done);
  bool Draining() const;

  std::string Dump() const;  // JSON, for the state dump.

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::routing
