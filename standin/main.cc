// standin: one program in place of the platform and of what stands behind the system, on loopback, with faults on
// request. `standin --topology FILE.json` prints its control address as its first line.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include "hickoryquay/base/asio_timer_service.h"
#include "standin/control.h"

namespace hickoryquay::standin {
namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kThreads = 2;
constexpr std::size_t kMaxHeld = 10'000;

// Calls that a cut swallowed. They are dropped, unanswered, when newer ones need the room.
class HeldCalls {
 public:
  void Hold(net::Responder respond) {
    const std::scoped_lock lock(m_mutex);
    m_held.push_back(std::move(respond));
    if (m_held.size() > kMaxHeld) m_held.pop_front();
  }

 private:
  std::mutex m_mutex;
  std::deque<net::Responder> m_held;
};

// Starts the parts in order and runs them until SIGTERM or SIGINT.
class Standin {
 public:
  explicit Standin(Topology topology) : m_topology(std::move(topology)) {
    m_parts.m_platform = std::make_unique<PlatformService>(
        m_topology.m_table_writes_per_s, m_topology.m_table_reads_per_s, &m_clock, &m_timers, &m_parts.m_faults);
    m_parts.m_list =
        std::make_unique<InstanceList>(&m_io, &m_timers, &m_client, &m_parts.m_faults, m_topology.m_list_lag);
    for (const DomainPlan& plan : m_topology.m_domains) AddDomain(plan);
    m_control_server = std::make_unique<net::HttpServer>(
        &m_io, net::ServerSettings{},
        [this](const net::HttpRequest& request, const net::Responder& respond) { respond(m_control.Handle(request)); });
  }

  int Run() {
    std::cout << net::ToString(m_control_server->Local()) << std::endl;
    boost::asio::signal_set signals(m_io, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code&, int) { m_io.stop(); });
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i) threads.emplace_back([this] { m_io.run(); });
    for (std::thread& thread : threads) thread.join();
    std::_Exit(EXIT_SUCCESS);  // Nothing is kept, so nothing is torn down.
  }

 private:
  void AddDomain(const DomainPlan& plan) {
    const std::string name = plan.m_name.m_value;
    DomainParts& domain = m_parts.m_domains[name];
    domain.m_name = name;
    domain.m_platform = std::make_unique<net::HttpServer>(
        &m_io, net::ServerSettings{}, [this, name](const net::HttpRequest& request, const net::Responder& respond) {
          HandlePlatform(name, request, respond);
        });
    domain.m_balancer = std::make_unique<Relay>(
        &m_io, [this, name] { return m_parts.m_list->PickEntry(name); }, [] { return false; });
    domain.m_farm = std::make_unique<WorkerFarm>(&m_io, &m_timers, &m_clock, &m_parts.m_log);
    AddWorkers(plan, &domain);
    AddBackends(plan, &domain);
  }

  void AddWorkers(const DomainPlan& plan, DomainParts* domain) {
    for (int rack = 0; rack < plan.m_racks; ++rack) {
      for (int index = 0; index < plan.m_workers_per_rack; ++index) {
        const std::string rack_name = domain->m_name + "-r" + std::to_string(rack);
        const Worker worker{WorkerId(rack_name + "-w" + std::to_string(index)), plan.m_name, RackId(rack_name), rack,
                            plan.m_capacity};
        domain->m_farm->Add(worker);
        boost::json::object details{{"rack", rack_name},
                                    {"rack_position", rack},
                                    {"capacity", ToJson(worker.m_capacity)},
                                    {"path", WorkerFarm::PathOf(worker.m_id)}};
        m_parts.m_list->Put(Instance{worker.m_id.m_value, "worker", domain->m_name, domain->m_farm->Local(),
                                     std::nullopt, false, std::move(details)});
      }
    }
  }

  void AddBackends(const DomainPlan& plan, DomainParts* domain) {
    for (int index = 0; index < plan.m_backends; ++index) {
      const std::string id = domain->m_name + "-b" + std::to_string(index);
      auto backend =
          std::make_unique<Backend>(&m_io, &m_timers, &m_clock, &m_parts.m_log, id, plan.m_slots, plan.m_connections);
      boost::json::object details{
          {"market", plan.m_market.m_value}, {"slots", plan.m_slots}, {"connections", plan.m_connections}};
      m_parts.m_list->Put(
          Instance{id, "backend", domain->m_name, backend->Local(), std::nullopt, false, std::move(details)});
      domain->m_backends.push_back(std::move(backend));
    }
  }

  void HandlePlatform(const std::string& viewer, const net::HttpRequest& request, const net::Responder& respond) {
    if (m_parts.m_faults.IsCut(viewer, kPlatform)) return m_held.Hold(respond);
    const net::Target target = net::ParseTarget(request.m_target);
    if (target.m_path == "/instances") return respond(ListAnswer(viewer, target, request));
    if (m_parts.m_platform->Handle(request, respond)) return;
    respond(net::JsonError(404, "unknown_path", "no such call"));
  }

  // The body's hash is its entity tag: who has that list already gets no body.
  net::HttpResponse ListAnswer(const std::string& viewer, const net::Target& target, const net::HttpRequest& request) {
    net::HttpResponse answer = net::JsonResponse(
        200, m_parts.m_list->Json(viewer, net::QueryValue(target, "domain"), net::QueryValue(target, "kind")));
    const std::string tag = "\"" + std::to_string(std::hash<std::string>{}(answer.m_body)) + "\"";
    const std::string* known = net::FindHeader(request.m_headers, "If-None-Match");
    if (known != nullptr && *known == tag) answer = net::HttpResponse{304, {}, ""};
    answer.m_headers.push_back({"ETag", tag});
    return answer;
  }

  Topology m_topology;
  boost::asio::io_context m_io;
  SystemClock m_clock;
  AsioTimerService m_timers{&m_io};
  net::HttpClient m_client{&m_io, net::ClientSettings{}};
  HeldCalls m_held;
  Parts m_parts;
  Control m_control{&m_parts};
  std::unique_ptr<net::HttpServer> m_control_server;
};

int Fail(const std::string& message) {
  std::cerr << "standin: " << message << '\n';
  return kUsageError;
}

int Main(int argc, char** argv) {
  po::options_description options("standin: the platform and what stands behind the system, on loopback");
  std::string file;
  options.add_options()("help", "this text")("topology", po::value(&file), "JSON file, see standin/topology.h");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    return Fail(error.what());
  }
  if (values.count("help") > 0 || file.empty()) {
    std::cout << options;
    return file.empty() ? kUsageError : 0;
  }
  std::ifstream stream(file);
  if (!stream) return Fail("cannot read " + file);
  std::stringstream text;
  text << stream.rdbuf();
  const auto json = ParseJson(text.str());
  if (!Ok(json)) return Fail(file + ": " + ErrorOf(json).m_message);
  auto topology = ParseTopology(ValueOf(json));
  if (!Ok(topology)) return Fail(file + ": " + ErrorOf(topology).m_field + " " + ErrorOf(topology).m_message);
  return Standin(TakeValue(std::move(topology))).Run();
}

}  // namespace
}  // namespace hickoryquay::standin

int main(int argc, char** argv) {
  return hickoryquay::standin::Main(argc, argv);
}
