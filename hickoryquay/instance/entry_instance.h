// EntryInstance: one entry instance with all its parts wired together; the daemon is a thin main around it.
//
//   EntryInstance instance(settings);
//   instance.Start();
//   ... on SIGTERM:
//   instance.Drain([] { ... });   // Unready, hands the placer role over, lets requests in flight finish.
//   instance.Stop();
//
// Threads: one for each request thread of the settings, each with an io_context of its own, and kControlThreads for
// everything else, so that control work never waits behind requests nor they behind it.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hickoryquay/base/asio_timer_service.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/inner/channel.h"
#include "hickoryquay/instance/caller_api.h"
#include "hickoryquay/instance/configuration_exchange.h"
#include "hickoryquay/instance/operator_backend.h"
#include "hickoryquay/instance/state_queries.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/operators/admin_api.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/placer/job_intake.h"
#include "hickoryquay/placer/placer.h"
#include "hickoryquay/routing/request_server.h"
#include "hickoryquay/settings/daemon_settings.h"
#include "hickoryquay/store/configuration_store.h"
#include "hickoryquay/store/http_table.h"
#include "hickoryquay/store/instance_list.h"

namespace hickoryquay::instance {

constexpr int kControlThreads = 2;

// The lists of the platform that this instance reads.
struct Lists {
  std::shared_ptr<store::InstanceList> m_entries;   // Of all failure domains.
  std::shared_ptr<store::InstanceList> m_backends;  // Of all failure domains.
  std::shared_ptr<store::InstanceList> m_workers;   // Of the own one; read while the placer role is held.
};

class EntryInstance {
 public:
  // Binds its addresses. Throws std::runtime_error, naming the endpoint, where one can't be had.
  explicit EntryInstance(settings::DaemonSettings settings);
  ~EntryInstance();

  void Start();

  // A planned stop; `done` is called once nothing is in flight, or at the limit of the settings.
  void Drain(std::function<void()> done);

  void Stop();  // Joins all threads.

  // What an operator's wish to drain this instance does: the daemon's planned stop. Set before Start.
  void SetDrainRequest(std::function<void()> request) { m_drain_request = std::move(request); }

  const InstanceId& Id() const { return m_id; }
  net::Endpoint Callers() const { return m_requests->Local(); }
  net::Endpoint Admin() const { return m_admin_server->Local(); }
  net::Endpoint Inner() const { return m_inner_server->Local(); }

  std::string NotReady() const;  // Why no new work may come; empty: ready.

  // State of all parts, keys in a stable order.
  void Dump(std::function<void(boost::json::value)> callback) const;

 private:
  using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  void MakeStore();
  void MakePeers();
  void MakePlacer();
  void MakeRequests();
  void MakeAdmin();
  std::shared_ptr<store::InstanceList> MakeList(const std::string& kind, const DomainId& domain) const;
  void Subscribe();
  void OnMessage(inner::Message message, const inner::Answer& answer);
  void OnEntries(const store::Instances& instances);
  void OnBackends(const store::Instances& instances);
  void ShareView();
  void NotifyJob(JobId job, bool cancelled);
  void AddStateSources();
  void Explain(const std::string& argument, const StateCallback& callback);
  void CheckMarket(const std::string& argument, const StateCallback& callback);
  void SetQuarantine(const std::string& argument, const StateCallback& callback);

  settings::DaemonSettings m_settings;
  InstanceId m_id;
  SystemClock m_clock;
  Metrics m_metrics;
  boost::asio::io_context m_control;
  std::vector<std::unique_ptr<boost::asio::io_context>> m_request_contexts;
  std::vector<WorkGuard> m_work;
  AsioTimerService m_timers{&m_control};
  std::shared_ptr<net::HttpClient> m_http;
  std::unique_ptr<store::HttpTable> m_table;
  std::shared_ptr<store::ConfigurationStore> m_configuration;
  std::unique_ptr<StoreExchange> m_exchange;
  Lists m_lists;
  std::unique_ptr<inner::InnerClient> m_inner_client;
  std::unique_ptr<inner::InnerServer> m_inner_server;
  std::shared_ptr<peers::PeerService> m_peers;
  std::shared_ptr<StateQueries> m_queries;
  std::shared_ptr<placer::PlacerLease> m_lease;
  std::shared_ptr<placer::Placer> m_placer;
  std::shared_ptr<placer::JobIntake> m_intake;
  std::unique_ptr<CallerApi> m_caller_api;
  std::unique_ptr<routing::RequestServer> m_requests;
  std::unique_ptr<OperatorBackend> m_operator_backend;
  std::unique_ptr<operators::AdminApi> m_admin_api;
  std::unique_ptr<net::HttpServer> m_admin_server;
  std::function<void()> m_drain_request;
  std::atomic<bool> m_holding{false};
  std::atomic<bool> m_draining{false};
  Subscription m_share_view;
  std::vector<std::thread> m_threads;
};

}  // namespace hickoryquay::instance
