#include "hickoryquay/routing/request_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/net/accept_again.h"
#include "hickoryquay/routing/caller_session.h"
#include "hickoryquay/routing/request_core.h"
#include "hickoryquay/routing/share_keeper.h"

namespace hickoryquay::routing {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr log::Part kLog{"requests"};
constexpr Millis kTick{10};             // How late a deadline may be seen.
constexpr int kClosingConnections = 8;  // Beyond the limit, while others give way to them.

std::shared_ptr<RequestCore> MakeCore(const RequestSettings& settings, const std::vector<asio::io_context*>& threads,
                                      const Clock* clock, Metrics* metrics) {
  auto core = std::make_shared<RequestCore>(settings);
  core->m_clock = clock;
  core->m_arrivals = std::make_unique<net::Arrivals>(core->m_memory, clock);
  core->m_connection_limits.m_answer = {settings.m_max_header_bytes, settings.m_max_answer_bytes, core->m_memory};
  for (asio::io_context* io : threads) {
    auto thread = std::make_unique<RequestThread>();
    thread->m_io = io;
    thread->m_index = static_cast<int>(core->m_threads.size());
    thread->m_snapshot = std::make_shared<RequestSnapshot>();
    thread->m_random.seed(static_cast<unsigned>(thread->m_index) + 1);
    core->m_threads.push_back(std::move(thread));
  }
  for (std::size_t i = 0; i < kReasons; ++i) {
    const ReasonText& text = Describe(static_cast<Reason>(i));
    core->m_answers[i] = &metrics->GetCounter("hq_requests_total", {{"outcome", std::string(ToString(text.m_outcome))},
                                                                    {"reason", std::string(text.m_code)}});
  }
  core->m_retries = &metrics->GetCounter("hq_requests_retried_total");
  core->m_hedges = &metrics->GetCounter("hq_requests_hedged_total");
  core->m_refused_connections = &metrics->GetCounter("hq_callers_refused_connections_total");
  core->m_replaced_connections = &metrics->GetCounter("hq_callers_replaced_connections_total");
  core->m_latency_ms = &metrics->GetDistribution("hq_request_ms");
  return core;
}

}  // namespace

class RequestServer::Impl : public std::enable_shared_from_this<RequestServer::Impl> {
 public:
  Impl(std::shared_ptr<RequestCore> core, TimerService* timers)
      : m_core(std::move(core)),
        m_timers(timers),
        m_acceptor(*m_core->m_threads.front()->m_io),
        m_shares(m_core->m_settings.m_instance, m_core->m_settings.m_list_lag, m_core->m_settings.m_beyond_share) {
    Bind();
  }

  void Run();
  void Stop();
  net::Endpoint Local() const;
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  void SetBackends(std::vector<BackendServer> backends);
  void SetInstances(std::vector<InstanceId> instances);
  void Drain(std::function<void()> done);
  std::string Dump();

  const std::shared_ptr<RequestCore> m_core;

 private:
  void Bind();
  void Accept();
  void Admit(RequestThread* thread, tcp::socket socket);
  bool MakeRoom(RequestThread* thread);
  void AcceptBacklog();
  void Tick();
  void TickThread(RequestThread* thread);
  void CloseAll(RequestThread* thread);
  void FinishDrain();

  void Rebuild();  // The rest under m_mutex.
  void UpdateBackends();
  std::shared_ptr<RequestSnapshot> MakeSnapshot();

  TimerService* m_timers;
  tcp::acceptor m_acceptor;
  std::size_t m_next_thread = 0;  // On the acceptor's thread.
  Subscription m_tick;
  Subscription m_drain_accept;
  Subscription m_drain_limit;

  std::mutex m_mutex;  // Of all below.
  ShareKeeper m_shares;
  std::shared_ptr<const Configuration> m_configuration;
  std::vector<BackendServer> m_servers;
  std::map<BackendId, BackendPtr> m_backends;
  std::map<MarketId, std::shared_ptr<MarketState>> m_markets;
  std::vector<std::shared_ptr<MarketState>> m_live_markets;
  bool m_accept_ended = false;
  std::function<void()> m_drained;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Accepting
//-------------------------------------------------------------------------------------------------

void RequestServer::Impl::Bind() {
  const net::Endpoint& listen = m_core->m_settings.m_listen;
  try {
    const tcp::endpoint at(asio::ip::make_address(listen.m_address), listen.m_port);
    m_acceptor.open(at.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(at);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    m_acceptor.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + net::ToString(listen) + ": " + error.code().message());
  }
}

net::Endpoint RequestServer::Impl::Local() const {
  const tcp::endpoint at = m_acceptor.local_endpoint();
  return net::Endpoint{at.address().to_string(), at.port()};
}

void RequestServer::Impl::Run() {
  Accept();
  m_tick = m_timers->Every(kTick, [self = weak_from_this()] {
    if (const auto alive = self.lock()) alive->Tick();
  });
}

void RequestServer::Impl::Accept() {
  RequestThread* thread = m_core->m_threads[m_next_thread++ % m_core->m_threads.size()].get();
  m_acceptor.async_accept(
      *thread->m_io, [self = shared_from_this(), thread](const boost::system::error_code& error, tcp::socket socket) {
        if (!error) self->Admit(thread, std::move(socket));
        if (!self->m_acceptor.is_open()) return;
        net::AcceptAgain(self->m_acceptor.get_executor(), error, [self] {
          if (self->m_acceptor.is_open()) self->Accept();
        });
      });
}

void RequestServer::Impl::Admit(RequestThread* thread, tcp::socket socket) {
  const int before = m_core->m_sessions++;
  const int limit = m_core->m_settings.m_max_connections;
  if (before >= limit + kClosingConnections) {
    --m_core->m_sessions;
    m_core->m_refused_connections->Add();
    return;
  }
  auto session = std::make_shared<CallerSession>(m_core, thread, std::move(socket));
  asio::post(*thread->m_io, [self = shared_from_this(), thread, session = std::move(session), full = before >= limit] {
    if (full && !self->MakeRoom(thread)) return self->m_core->m_refused_connections->Add();
    session->Start();
  });
}

// Closes the connection of this thread that has gone longest without a whole request.
bool RequestServer::Impl::MakeRoom(RequestThread* thread) {
  std::shared_ptr<CallerSession> longest;
  for (auto& session : thread->m_sessions.Alive()) {
    const bool longer = session->MayGiveWay() && (!longest || session->PhaseBegan() < longest->PhaseBegan());
    if (longer) longest = std::move(session);
  }
  if (!longest) return false;
  m_core->m_replaced_connections->Add();
  longest->Close();
  return true;
}

// What the kernel has accepted already would be cut by closing the acceptor.
void RequestServer::Impl::AcceptBacklog() {
  for (;;) {
    RequestThread* thread = m_core->m_threads[m_next_thread++ % m_core->m_threads.size()].get();
    boost::system::error_code error;
    tcp::socket socket = m_acceptor.accept(*thread->m_io, error);
    if (error) break;
    Admit(thread, std::move(socket));
  }
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void RequestServer::Impl::Stop() {
  m_tick.Cancel();
  m_drain_accept.Cancel();
  m_drain_limit.Cancel();
  m_core->m_sweeper.reset();
  asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->m_acceptor.close(ignored);
  });
  for (const auto& thread : m_core->m_threads) {
    asio::post(*thread->m_io, [self = shared_from_this(), t = thread.get()] {
      self->CloseAll(t);
      // A call and its caller's session own each other.
      for (const auto& call : t->m_calls.Alive()) call->Abandon();
    });
  }
  const std::lock_guard lock(m_mutex);
  m_servers.clear();
  UpdateBackends();  // Closes idle connections, which their backends own.
}

void RequestServer::Impl::CloseAll(RequestThread* thread) {
  for (const auto& session : thread->m_sessions.Alive()) session->Close();
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Time
//-------------------------------------------------------------------------------------------------

void RequestServer::Impl::Tick() {
  for (const auto& thread : m_core->m_threads) {
    if (thread->m_sessions.Empty() && thread->m_calls.Empty()) continue;
    asio::post(*thread->m_io, [self = shared_from_this(), t = thread.get()] { self->TickThread(t); });
  }
  std::vector<std::shared_ptr<MarketState>> markets;
  {
    const std::lock_guard lock(m_mutex);
    markets = m_live_markets;
  }
  for (const auto& market : markets) market->m_dispatcher.Pump(m_core->m_clock->Now());
  FinishDrain();
}

void RequestServer::Impl::TickThread(RequestThread* thread) {
  const Instant now = m_core->m_clock->Now();
  for (const auto& call : thread->m_calls.Alive()) call->CheckDeadline(now);
  for (const auto& session : thread->m_sessions.Alive()) session->CheckDeadline(now);
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Publishing
//-------------------------------------------------------------------------------------------------

void RequestServer::Impl::SetConfiguration(std::shared_ptr<const Configuration> configuration) {
  const std::lock_guard lock(m_mutex);
  m_configuration = std::move(configuration);
  Rebuild();
}

void RequestServer::Impl::SetBackends(std::vector<BackendServer> backends) {
  const std::lock_guard lock(m_mutex);
  m_servers = std::move(backends);
  Rebuild();
}

void RequestServer::Impl::SetInstances(std::vector<InstanceId> instances) {
  const std::lock_guard lock(m_mutex);
  m_shares.OnList(std::move(instances), m_core->m_clock->Now());
  Rebuild();
}

void RequestServer::Impl::UpdateBackends() {
  const Instant now = m_core->m_clock->Now();
  std::map<BackendId, BackendPtr> kept;
  for (const BackendServer& server : m_servers) {
    const ServerShare share = m_shares.ShareOf(server, now);
    const auto old = m_backends.find(server.m_id);
    BackendServer same = server;
    if (old != m_backends.end()) same.m_leaving = old->second->Server().m_leaving;
    if (old != m_backends.end() && old->second->Server() == same) {
      old->second->Update(share.m_limit, share.m_connections, server.m_leaving);
      kept[server.m_id] = old->second;
    } else {
      kept[server.m_id] = std::make_shared<Backend>(server, share.m_limit, share.m_connections);
    }
  }
  for (const auto& [id, backend] : m_backends) {
    const auto found = kept.find(id);
    if (found == kept.end() || found->second != backend) backend->MarkLeaving();
    for (const auto& connection : backend->TakeSurplusIdle()) connection->Close();
  }
  m_backends = std::move(kept);
}

std::shared_ptr<RequestSnapshot> RequestServer::Impl::MakeSnapshot() {
  auto snapshot = std::make_shared<RequestSnapshot>();
  m_live_markets.clear();
  if (!m_configuration) return snapshot;
  for (const auto& [id, market] : m_configuration->m_markets) {
    auto backends = std::make_shared<MarketBackends>();
    for (const auto& [backend_id, backend] : m_backends) {
      if (backend->Server().m_market != id) continue;
      const bool local = backend->Server().m_domain == m_core->m_settings.m_domain;
      (local ? backends->m_local : backends->m_remote).push_back(backend);
    }
    auto& state = m_markets[id];
    if (!state) state = std::make_shared<MarketState>(m_core->m_settings.m_max_waiting);
    m_live_markets.push_back(state);
    snapshot->m_markets[id.m_value] = MarketView{market, std::move(backends), state};
  }
  return snapshot;
}

void RequestServer::Impl::Rebuild() {
  UpdateBackends();
  const std::shared_ptr<const RequestSnapshot> snapshot = MakeSnapshot();
  for (const auto& thread : m_core->m_threads) {
    asio::post(*thread->m_io, [core = m_core, t = thread.get(), snapshot] { t->m_snapshot = snapshot; });
  }
  for (const auto& [id, view] : snapshot->m_markets) {
    // Whoever waits may get a slot from this; told from a thread of the path, outside of our lock.
    asio::post(*m_core->m_threads.front()->m_io, [core = m_core, view = view] {
      view.m_state->m_dispatcher.SetBackends(view.m_backends, core->m_clock->Now());
    });
  }
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Drain and dump
//-------------------------------------------------------------------------------------------------

void RequestServer::Impl::Drain(std::function<void()> done) {
  log::Info(kLog, "Draining, every request in flight is answered first");
  {
    const std::lock_guard lock(m_mutex);
    m_drained = std::move(done);
  }
  m_core->m_draining = true;
  m_drain_accept = m_timers->After(m_core->m_settings.m_drain_accept, [self = shared_from_this()] {
    asio::post(self->m_acceptor.get_executor(), [self] {
      self->AcceptBacklog();
      const std::lock_guard lock(self->m_mutex);
      self->m_accept_ended = true;
    });
  });
  m_drain_limit = m_timers->After(m_core->m_settings.m_drain_limit, [self = shared_from_this()] {
    if (self->m_core->m_sessions > 0) {
      log::Warn(kLog, "The limit of the drain is over, cutting what is left",
                {{"connections", std::to_string(self->m_core->m_sessions.load())}});
    }
    for (const auto& thread : self->m_core->m_threads) {
      asio::post(*thread->m_io, [self, t = thread.get()] { self->CloseAll(t); });
    }
  });
}

void RequestServer::Impl::FinishDrain() {
  std::function<void()> done;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_drained || !m_accept_ended || m_core->m_sessions > 0) return;
    done = std::exchange(m_drained, nullptr);
  }
  done();
}

std::string RequestServer::Impl::Dump() {
  const std::lock_guard lock(m_mutex);
  const Instant now = m_core->m_clock->Now();
  json::array backends;
  for (const auto& [id, backend] : m_backends) {
    backends.push_back(json::object{{"id", id.m_value},
                                    {"market", backend->Server().m_market.m_value},
                                    {"domain", backend->Server().m_domain.m_value},
                                    {"in_flight", backend->InFlight()},
                                    {"window", backend->Window()},
                                    {"share", backend->Share()},
                                    {"connections", backend->OpenConnections()},
                                    {"leaving", backend->Leaving()},
                                    {"ejected", backend->Ejected(now)}});
  }
  json::array markets;
  for (const auto& [id, state] : m_markets) {
    markets.push_back(json::object{{"id", id.m_value},
                                   {"waiting", state->m_dispatcher.Size()},
                                   {"retries_left", state->m_budget.Left()},
                                   {"hedge_after_ms", state->m_hedge_delay.Get().count()}});
  }
  const std::size_t ends = m_core->m_claims ? m_core->m_claims->UnrecordedEnds() : 0;
  return json::serialize(json::object{{"draining", m_core->m_draining.load()},
                                      {"callers", m_core->m_sessions.load()},
                                      {"body_bytes_left", m_core->m_memory->Left()},
                                      {"unrecorded_claims", ends},
                                      {"markets", std::move(markets)},
                                      {"backends", std::move(backends)}});
}

//-------------------------------------------------------------------------------------------------
// [SECTION] RequestServer
//-------------------------------------------------------------------------------------------------

RequestServer::RequestServer(const RequestSettings& settings, const std::vector<asio::io_context*>& threads,
                             TimerService* timers, const Clock* clock, store::Table* table, Metrics* metrics,
                             net::Handler other_paths) {
  auto core = MakeCore(settings, threads, clock, metrics);
  core->m_fallback = std::move(other_paths);
  if (table != nullptr) {
    core->m_claims = std::make_shared<Claims>(table, timers, clock, settings.m_instance.m_value, ClaimSettings{});
    core->m_sweeper = std::make_unique<ClaimSweeper>(table, timers, clock, SweepSettings{});
  }
  m_impl = std::make_shared<Impl>(std::move(core), timers);
  m_impl->Run();
}

RequestServer::~RequestServer() {
  m_impl->Stop();
}

net::Endpoint RequestServer::Local() const {
  return m_impl->Local();
}

void RequestServer::PublishConfiguration(std::shared_ptr<const Configuration> configuration) {
  m_impl->SetConfiguration(std::move(configuration));
}

void RequestServer::PublishBackends(std::vector<BackendServer> backends) {
  m_impl->SetBackends(std::move(backends));
}

void RequestServer::PublishInstances(std::vector<InstanceId> instances) {
  m_impl->SetInstances(std::move(instances));
}

void RequestServer::Drain(std::function<void()> done) {
  m_impl->Drain(std::move(done));
}

bool RequestServer::Draining() const {
  return m_impl->m_core->m_draining.load();
}

std::string RequestServer::Dump() const {
  return m_impl->Dump();
}

}  // namespace hickoryquay::routing
