// Index of this file:
//   [SECTION] Making the parts
//   [SECTION] Wiring
//   [SECTION] Running
//   [SECTION] State
#include "hickoryquay/instance/entry_instance.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <random>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/base/run_loop.h"
#include "hickoryquay/net/arrivals.h"
#include "hickoryquay/policy/policy.h"

namespace hickoryquay::instance {

namespace json = boost::json;
namespace wire = inner::wire;

namespace {

constexpr log::Part kLog{"instance"};
constexpr Millis kShareViewEvery{500};
constexpr Millis kNoticeTimeout{2'000};
constexpr Millis kHandOverLimit{3'000};
constexpr Millis kWorkerListPoll{5'000};
constexpr Millis kCommitDeadline{4'000};  // With the read behind it a caller is told within six seconds.
constexpr Millis kReadDeadline{2'000};
constexpr int kAdminConnections = 128;
constexpr std::uint64_t kAdminBodyBytes = 8 * 1024 * 1024;  // All long ones together.

InstanceId MakeId(const settings::DaemonSettings& settings) {
  if (!settings.m_instance.m_id.Empty()) return settings.m_instance.m_id;
  std::random_device device;
  const std::uint64_t number = (static_cast<std::uint64_t>(device()) << 32) | device();
  return InstanceId(settings.m_instance.m_domain.m_value + "-" + ToString(JobId{number}).substr(2));
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// [SECTION] Making the parts
//-------------------------------------------------------------------------------------------------

EntryInstance::EntryInstance(settings::DaemonSettings settings)
    : m_settings(std::move(settings)), m_id(MakeId(m_settings)) {
  m_work.push_back(boost::asio::make_work_guard(m_control));
  for (int i = 0; i < m_settings.m_instance.m_threads; ++i) {
    m_request_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    m_work.push_back(boost::asio::make_work_guard(*m_request_contexts.back()));
  }
  m_http = std::make_shared<net::HttpClient>(&m_control, net::ClientSettings{});
  MakeStore();
  MakePeers();
  MakePlacer();
  MakeRequests();
  MakeAdmin();
  AddStateSources();
  Subscribe();
}

EntryInstance::~EntryInstance() {
  Stop();
}

void EntryInstance::MakeStore() {
  store::HttpTableSettings table;
  table.m_endpoint = m_settings.m_platform.m_table;
  table.m_token_prefix = m_id.m_value + "-" + std::to_string(m_clock.Wall().m_ms);
  table.m_attempt_timeout = m_settings.m_platform.m_timeout;
  table.m_commit_deadline = kCommitDeadline;
  table.m_read_deadline = kReadDeadline;
  m_table = std::make_unique<store::HttpTable>(
      store::HttpTableParts{store::MakeHttpSend(m_http), store::MakeStrand(&m_control), &m_timers, &m_clock,
                            &m_metrics},
      table);

  store::ConfigurationSettings configuration;
  configuration.m_poll_every = m_settings.m_platform.m_config_poll;
  configuration.m_instance = m_id.m_value;
  m_configuration = std::make_shared<store::ConfigurationStore>(
      store::ConfigurationParts{m_table.get(), store::MakeStrand(&m_control), &m_timers, &m_clock, &m_metrics},
      configuration);
  m_exchange = std::make_unique<StoreExchange>(m_configuration);

  m_lists.m_entries = MakeList("entry", DomainId{});
  m_lists.m_backends = MakeList("backend", DomainId{});
  m_lists.m_workers = MakeList("worker", m_settings.m_instance.m_domain);
}

std::shared_ptr<store::InstanceList> EntryInstance::MakeList(const std::string& kind, const DomainId& domain) {
  store::InstanceListSettings list;
  list.m_endpoint = m_settings.m_platform.m_list;
  list.m_kind = kind;
  list.m_domain = domain;
  list.m_poll_every = m_settings.m_platform.m_list_poll;
  if (kind == "worker") list.m_poll_every = std::max(list.m_poll_every, kWorkerListPoll);
  list.m_timeout = m_settings.m_platform.m_timeout;
  return std::make_shared<store::InstanceList>(
      store::InstanceListParts{store::MakeHttpSend(m_http), store::MakeStrand(&m_control), &m_timers, &m_clock,
                               &m_metrics},
      list);
}

void EntryInstance::MakePeers() {
  m_inner_client = std::make_unique<inner::InnerClient>(&m_control);
  m_inner_server = std::make_unique<inner::InnerServer>(
      &m_control, m_settings.m_instance.m_inner,
      [this](inner::Message message, const inner::Answer& answer) { OnMessage(std::move(message), answer); });

  peers::PeerSettings peer;
  peer.m_self = m_id;
  peer.m_domain = m_settings.m_instance.m_domain;
  peer.m_inner = m_inner_server->Local();
  peer.m_seeds = m_settings.m_peers.m_seeds;
  peer.m_heartbeat_period = m_settings.m_peers.m_heartbeat;
  peer.m_membership.m_suspect_after = m_settings.m_peers.m_suspect_after;
  peer.m_membership.m_usual_step = peer.m_heartbeat_period;
  peer.m_random_seed = RandomSeed();
  m_peers = std::make_shared<peers::PeerService>(
      peer, &m_clock, m_exchange.get(),
      [this](const net::Endpoint& to, inner::Message message, Millis timeout, const auto& callback) {
        m_inner_client->Call(to, std::move(message), timeout,
                             [callback](const auto& result) { callback(Ok(result) ? &ValueOf(result) : nullptr); });
      });
  m_queries = std::make_shared<StateQueries>(peer.m_domain, m_peers, m_inner_client.get());
}

void EntryInstance::MakePlacer() {
  const DomainId& domain = m_settings.m_instance.m_domain;
  const settings::PlacerSettings& from = m_settings.m_placer;
  const store::SerialExecutor executor = store::MakeStrand(&m_control);

  m_lease = std::make_shared<placer::PlacerLease>(
      placer::LeaseParts{m_table.get(), executor, &m_timers, &m_clock, &m_metrics}, placer::LeaseSettings{},
      placer::LeaseIdentity{domain, m_id, net::ToString(m_inner_server->Local())});

  policy::PolicySettings rules;
  rules.m_domain = domain;
  rules.m_max_failures = from.m_max_failures;
  rules.m_quarantine_after = from.m_quarantine_after;
  rules.m_quarantine_for = from.m_quarantine_for;
  rules.m_reclaim_limit = from.m_reclaim_limit;
  rules.m_head_reservation = from.m_head_reservation;

  placer::PlacerSettings settings;
  settings.m_domain = domain;
  settings.m_self = m_id;
  settings.m_pool.m_session.m_max_partial_run = from.m_worker_lease;
  placer::PlacerParts parts;
  parts.m_table = m_table.get();
  parts.m_executor = executor;
  parts.m_send = store::MakeHttpSend(m_http);
  parts.m_timers = &m_timers;
  parts.m_clock = &m_clock;
  parts.m_metrics = &m_metrics;
  parts.m_lease = m_lease;
  parts.m_make_scheduler = [rules] { return policy::MakePolicy(rules); };
  parts.m_configuration = [store = m_configuration] { return store->Current(); };
  parts.m_instances = [list = m_lists.m_workers] { return list->Latest(); };
  m_placer = std::make_shared<placer::Placer>(std::move(parts), std::move(settings));

  placer::IntakeParts intake;
  intake.m_table = m_table.get();
  intake.m_clock = &m_clock;
  intake.m_metrics = &m_metrics;
  intake.m_configuration = [store = m_configuration] { return store->Current(); };
  intake.m_notify = [this](JobId job) { NotifyJob(job, false); };
  m_intake = std::make_shared<placer::JobIntake>(std::move(intake), domain);
}

void EntryInstance::MakeRequests() {
  CallerApiParts caller;
  caller.m_domain = m_settings.m_instance.m_domain;
  caller.m_table = m_table.get();
  caller.m_intake = m_intake;
  caller.m_not_ready = [this] { return NotReady(); };
  caller.m_notify_cancelled = [this](JobId job) { NotifyJob(job, true); };
  m_caller_api = std::make_unique<CallerApi>(std::move(caller));

  const settings::RequestSettings& from = m_settings.m_requests;
  routing::RequestSettings settings;
  settings.m_listen = m_settings.m_instance.m_callers;
  settings.m_instance = m_id;
  settings.m_domain = m_settings.m_instance.m_domain;
  settings.m_max_body_bytes = from.m_max_body_bytes;
  settings.m_max_answer_bytes = from.m_max_body_bytes;
  settings.m_max_connections = from.m_max_connections;
  settings.m_default_deadline = from.m_default_deadline;
  settings.m_max_waiting = static_cast<std::size_t>(from.m_queue_length);
  settings.m_drain_limit = m_settings.m_instance.m_drain;
  std::vector<boost::asio::io_context*> contexts;
  for (const auto& context : m_request_contexts) contexts.push_back(context.get());
  m_requests =
      std::make_unique<routing::RequestServer>(settings, contexts, &m_timers, &m_clock, m_table.get(), &m_metrics,
                                               [this](const net::HttpRequest& request, const net::Responder& respond) {
                                                 m_caller_api->Handle(request, respond);
                                               });
}

void EntryInstance::MakeAdmin() {
  OperatorParts parts;
  parts.m_collector.m_domain = m_settings.m_instance.m_domain;
  parts.m_collector.m_self = m_id;
  parts.m_collector.m_clock = &m_clock;
  parts.m_collector.m_table = m_table.get();
  parts.m_collector.m_configuration = m_configuration;
  parts.m_collector.m_peers = m_peers;
  parts.m_collector.m_queries = m_queries;
  parts.m_collector.m_backends = m_lists.m_backends;
  parts.m_collector.m_requests_dump = [this] { return m_requests->Dump(); };
  parts.m_intake = m_intake;
  parts.m_metrics = &m_metrics;
  parts.m_notify_cancelled = [this](JobId job) { NotifyJob(job, true); };
  parts.m_dump = [this](std::function<void(json::value)> callback) { Dump(std::move(callback)); };
  parts.m_not_ready = [this] { return NotReady(); };
  parts.m_drain = [this] {
    if (m_drain_request) m_drain_request();
  };
  m_operator_backend = std::make_unique<OperatorBackend>(std::move(parts));
  m_admin_api = std::make_unique<operators::AdminApi>(m_operator_backend.get(), m_settings.m_admin);
  net::ServerSettings settings;
  settings.m_listen = m_settings.m_instance.m_admin;
  settings.m_tls_certificate = m_settings.m_admin.m_tls_certificate;
  settings.m_tls_key = m_settings.m_admin.m_tls_key;
  settings.m_name = "admin";
  settings.m_metrics = &m_metrics;
  settings.m_max_connections = kAdminConnections;
  settings.m_arrivals = std::make_shared<net::Arrivals>(std::make_shared<MemoryBudget>(kAdminBodyBytes), &m_clock);
  settings.m_check_head = [this](const net::HttpRequest& head) { return m_admin_api->CheckHead(head); };
  m_admin_server =
      std::make_unique<net::HttpServer>(&m_control, settings, [this](net::HttpRequest request, net::Responder respond) {
        m_admin_api->Handle(std::move(request), std::move(respond));
      });
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Wiring
//-------------------------------------------------------------------------------------------------

void EntryInstance::Subscribe() {
  m_lists.m_entries->Subscribe([this](const auto& instances) { OnEntries(*instances); });
  m_lists.m_backends->Subscribe([this](const auto& instances) { OnBackends(*instances); });
  m_lists.m_workers->Subscribe([this](const auto&) { m_placer->InstancesChanged(); });
  m_configuration->Subscribe([this](const std::shared_ptr<const Configuration>& configuration) {
    m_requests->PublishConfiguration(configuration);
    m_placer->ConfigurationChanged();
  });
}

void EntryInstance::OnEntries(const store::Instances& instances) {
  std::vector<peers::PeerInfo> sightings;
  std::vector<InstanceId> ids;
  for (const store::ListedInstance& listed : instances) {
    ids.emplace_back(listed.m_id);
    if (!listed.m_inner) continue;
    sightings.push_back({InstanceId(listed.m_id), listed.m_domain, *listed.m_inner, listed.m_leaving});
  }
  m_peers->ApplyList(sightings);
  m_requests->PublishInstances(std::move(ids));
}

void EntryInstance::OnBackends(const store::Instances& instances) {
  std::vector<routing::BackendServer> backends;
  for (const store::ListedInstance& listed : instances) {
    backends.push_back({BackendId(listed.m_id), listed.m_market, listed.m_domain, listed.m_address, listed.m_slots,
                        listed.m_connections, listed.m_leaving});
  }
  m_requests->PublishBackends(std::move(backends));
}

void EntryInstance::OnMessage(inner::Message message, const inner::Answer& answer) {
  if (m_peers->Handle(message, answer)) return;
  if (const auto* notice = std::get_if<wire::JobNotice>(&message)) {
    m_placer->Notify(JobId{static_cast<std::uint64_t>(notice->job)});
    return answer(wire::Acknowledged{});
  }
  if (const auto* query = std::get_if<wire::StateQuery>(&message)) return m_queries->Answer(*query, answer);
  wire::Unsupported unsupported;
  unsupported.__set_protocol(inner::kProtocol);
  answer(unsupported);
}

void EntryInstance::ShareView() {
  const placer::LeaseRow row = m_lease->LastSeenRow();
  m_peers->SetPlacerView({static_cast<std::int64_t>(Raw(row.m_epoch)), row.m_holder.m_value, row.m_address});
}

void EntryInstance::NotifyJob(JobId job, bool cancelled) {
  if (m_holding) return m_placer->Notify(job);
  const auto address = net::ParseEndpoint(m_peers->Placer().m_address);
  if (!Ok(address)) return;  // The placer's own search finds the row.
  wire::JobNotice notice;
  notice.__set_job(static_cast<std::int64_t>(Raw(job)));
  notice.__set_cancelled(cancelled);
  m_inner_client->Call(ValueOf(address), notice, kNoticeTimeout, [](const auto&) {});
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Running
//-------------------------------------------------------------------------------------------------

void EntryInstance::Start() {
  m_lists.m_entries->Start();
  m_lists.m_backends->Start();
  m_lists.m_workers->Start();
  m_configuration->Start();
  m_peers->Start(&m_timers);
  m_lease->Start({[this](Epoch epoch) {
                    m_holding = true;
                    m_placer->Start(epoch);
                  },
                  [this](Epoch, const std::string& why) {
                    m_holding = false;
                    m_placer->Stop();
                    log::Warn(kLog, "The placer role is lost", {{"why", why}});
                  }});
  m_share_view = m_timers.Every(kShareViewEvery, [this] { ShareView(); });
  for (int i = 0; i < kControlThreads; ++i) m_threads.emplace_back([this] { RunLoop(&m_control); });
  for (const auto& context : m_request_contexts) m_threads.emplace_back([raw = context.get()] { RunLoop(raw); });
  log::Info(kLog, "Started", {{"instance", m_id.m_value}, {"domain", m_settings.m_instance.m_domain.m_value}});
}

void EntryInstance::Drain(std::function<void()> done) {
  if (m_draining.exchange(true)) return;
  log::Info(kLog, "Draining");
  m_peers->SetLeaving();
  m_lease->HandOver(kHandOverLimit, [this, done = std::move(done)] {
    m_requests->Drain([done] {
      log::Info(kLog, "Drained");
      done();
    });
  });
}

void EntryInstance::Stop() {
  if (m_threads.empty()) return;
  m_control.stop();
  for (const auto& context : m_request_contexts) context->stop();
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

std::string EntryInstance::NotReady() const {
  if (m_draining) return "draining";
  const bool has_documents = !m_configuration->Versions().empty();
  const bool reached_platform = m_lists.m_entries->Latest() != nullptr;
  if (!has_documents && !reached_platform) return "no configuration yet, from the table or from a peer";
  return "";
}

//-------------------------------------------------------------------------------------------------
// [SECTION] State
//-------------------------------------------------------------------------------------------------

void EntryInstance::Dump(std::function<void(json::value)> callback) const {
  json::object versions;
  for (const store::DocumentVersion& document : m_configuration->Versions()) {
    versions[document.m_key] = Raw(document.m_version);
  }
  const placer::LeaseRow row = m_lease->LastSeenRow();
  json::object dump{
      {"instance", m_id.m_value},
      {"domain", m_settings.m_instance.m_domain.m_value},
      {"draining", m_draining.load()},
      {"not_ready", NotReady()},
      {"placer_role",
       json::object{{"holding", m_holding.load()}, {"epoch", Raw(row.m_epoch)}, {"holder", row.m_holder.m_value}}},
      {"configuration", m_configuration->Dump()},
      {"versions", std::move(versions)},
      {"table", m_table->Dump()},
      {"peers", m_peers->Dump()},
      {"requests", json::parse(m_requests->Dump())},
      {"intake", m_intake->Dump()},
      {"lists", json::object{{"entries", m_lists.m_entries->Dump()},
                             {"backends", m_lists.m_backends->Dump()},
                             {"workers", m_lists.m_workers->Dump()}}}};
  m_placer->Dump([callback = std::move(callback), dump = std::move(dump)](json::value placer) mutable {
    dump["placer"] = std::move(placer);
    callback(std::move(dump));
  });
}

}  // namespace hickoryquay::instance
