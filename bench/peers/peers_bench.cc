// hqbench peers: what heartbeats and the spread of configuration cost an entry instance, and how fast a change spreads.
//
// All instances run in this process, each with its own server, client and connections over loopback. Processor time is
// that of the process over the number of instances, so it leaves out nothing but the table's polling.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "bench/experiment.h"
#include "bench/process_usage.h"
#include "hickoryquay/base/asio_timer_service.h"
#include "hickoryquay/inner/channel.h"
#include "hickoryquay/peers/peer_service.h"

namespace hickoryquay::bench {
namespace {

namespace po = boost::program_options;
using SteadyTime = std::chrono::steady_clock::time_point;

struct Plan {
  int m_instances = 12;
  int m_domains = 3;
  int m_seconds = 10;
  int m_changes = 5;
  int m_markets = 10;
  int m_heartbeat_ms = 1000;
};

double SecondsSince(SteadyTime start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// Documents by market; notes when each version arrived.
class BenchExchange final : public peers::ConfigurationExchange {
 public:
  std::int64_t Digest() const override {
    const std::scoped_lock lock(m_mutex);
    return m_digest;
  }

  std::map<std::string, std::int64_t> Versions() const override {
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::int64_t> versions;
    for (const auto& [market, document] : m_documents) versions[market] = document.version;
    return versions;
  }

  std::vector<inner::wire::MarketDocument> NewerThan(const std::map<std::string, std::int64_t>& known) const override {
    const std::scoped_lock lock(m_mutex);
    std::vector<inner::wire::MarketDocument> newer;
    for (const auto& [market, document] : m_documents) {
      const auto found = known.find(market);
      if (found == known.end() || found->second < document.version) newer.push_back(document);
    }
    return newer;
  }

  void Offer(const inner::wire::MarketDocument& document) override {
    const std::scoped_lock lock(m_mutex);
    inner::wire::MarketDocument& known = m_documents[document.market];
    if (known.version >= document.version) return;
    m_digest +=
        (document.version - known.version) * static_cast<std::int64_t>(std::hash<std::string>{}(document.market) | 1);
    known = document;
    m_arrived[document.version] = std::chrono::steady_clock::now();
  }

  // Whether the version is in force, and since when.
  bool Arrived(std::int64_t version, SteadyTime* at) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_arrived.find(version);
    if (found == m_arrived.end()) return false;
    *at = found->second;
    return true;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, inner::wire::MarketDocument> m_documents;
  std::map<std::int64_t, SteadyTime> m_arrived;
  std::int64_t m_digest = 0;
};

// One entry instance as far as peers see it.
struct Node {
  BenchExchange m_exchange;
  std::unique_ptr<inner::InnerServer> m_server;
  std::unique_ptr<inner::InnerClient> m_client;
  std::shared_ptr<peers::PeerService> m_service;
  peers::PeerInfo m_sighting;
};

class Fleet {
 public:
  explicit Fleet(const Plan& plan) : m_plan(plan) {
    for (int i = 0; i < plan.m_instances; ++i) Add(i);
    std::vector<peers::PeerInfo> list;
    for (const auto& node : m_nodes) list.push_back(node->m_sighting);
    for (const auto& node : m_nodes) node->m_service->ApplyList(list);
    for (const auto& node : m_nodes) node->m_service->Start(&m_timers);
  }

  boost::json::object Run() {
    std::thread runner([this] { m_io.run(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * m_plan.m_heartbeat_ms));  // Connections are open then.
    const inner::Traffic before = Bytes();
    const double cpu_before = CpuSeconds();
    const SteadyTime start = std::chrono::steady_clock::now();
    const std::vector<double> spreads = SpreadChanges();
    const double left = m_plan.m_seconds - SecondsSince(start);
    if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
    const double elapsed = SecondsSince(start);
    const inner::Traffic after = Bytes();
    const double cpu = CpuSeconds() - cpu_before;
    m_io.stop();
    runner.join();

    const double share = elapsed * m_plan.m_instances;
    return {{"instances", m_plan.m_instances},
            {"domains", m_plan.m_domains},
            {"markets", m_plan.m_markets},
            {"heartbeat_ms", m_plan.m_heartbeat_ms},
            {"seconds", elapsed},
            {"sent_bytes_per_s", static_cast<double>(after.m_sent_bytes - before.m_sent_bytes) / share},
            {"received_bytes_per_s", static_cast<double>(after.m_received_bytes - before.m_received_bytes) / share},
            {"cpu_percent", 100.0 * cpu / share},
            {"rss_mb_each", CurrentRssMb() / m_plan.m_instances},
            {"changes", static_cast<int>(spreads.size())},
            {"spread_max_s", spreads.empty() ? -1.0 : *std::max_element(spreads.begin(), spreads.end())}};
  }

 private:
  void Add(int index) {
    auto node = std::make_unique<Node>();
    Node* raw = node.get();
    node->m_client = std::make_unique<inner::InnerClient>(&m_io);
    node->m_server = std::make_unique<inner::InnerServer>(
        &m_io, net::Endpoint{"127.0.0.1", 0},
        [raw](const inner::Message& message, const inner::Answer& answer) { raw->m_service->Handle(message, answer); });
    peers::PeerSettings settings;
    settings.m_self = InstanceId("bench-instance-" + std::to_string(index));
    settings.m_domain = DomainId("domain-" + std::to_string(index % m_plan.m_domains));
    settings.m_inner = node->m_server->Local();
    settings.m_heartbeat_period = Millis{m_plan.m_heartbeat_ms};
    settings.m_random_seed = static_cast<std::uint64_t>(index) + 1;
    node->m_service = std::make_shared<peers::PeerService>(
        settings, &m_clock, &raw->m_exchange,
        [raw](const net::Endpoint& to, inner::Message message, Millis timeout, const auto& callback) {
          raw->m_client->Call(to, std::move(message), timeout,
                              [callback](const auto& result) { callback(Ok(result) ? &ValueOf(result) : nullptr); });
        });
    node->m_sighting = {settings.m_self, settings.m_domain, settings.m_inner, false};
    m_nodes.push_back(std::move(node));
    for (int market = 0; market < m_plan.m_markets; ++market) Put(index, market, market + 1);
  }

  void Put(int node, int market, std::int64_t version) {
    constexpr std::size_t kDocumentBytes = 4096;
    inner::wire::MarketDocument document;
    document.__set_market("market-" + std::to_string(market));
    document.__set_version(version);
    document.__set_json(std::string(kDocumentBytes, 'x'));
    m_nodes[static_cast<std::size_t>(node)]->m_exchange.Offer(document);
  }

  // Seconds until each change, made at one instance, was in force at all others.
  std::vector<double> SpreadChanges() {
    std::vector<double> spreads;
    for (int change = 0; change < m_plan.m_changes; ++change) {
      const std::int64_t version = 1000 + change;
      const SteadyTime made = std::chrono::steady_clock::now();
      Put(change % m_plan.m_instances, change % m_plan.m_markets, version);
      const double spread = WaitEverywhere(version, made);
      if (spread >= 0) spreads.push_back(spread);
    }
    return spreads;
  }

  double WaitEverywhere(std::int64_t version, SteadyTime made) const {
    constexpr double kGiveUpS = 30.0;
    while (SecondsSince(made) < kGiveUpS) {
      SteadyTime latest = made;
      const bool all = std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& node) {
        SteadyTime at;
        if (!node->m_exchange.Arrived(version, &at)) return false;
        latest = std::max(latest, at);
        return true;
      });
      if (all) return std::chrono::duration<double>(latest - made).count();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return -1.0;
  }

  inner::Traffic Bytes() const {
    inner::Traffic total;
    for (const auto& node : m_nodes) {
      for (const inner::Traffic& traffic : {node->m_server->Bytes(), node->m_client->Bytes()}) {
        total.m_sent_bytes += traffic.m_sent_bytes;
        total.m_received_bytes += traffic.m_received_bytes;
      }
    }
    return total;
  }

  Plan m_plan;
  boost::asio::io_context m_io;
  SystemClock m_clock;
  AsioTimerService m_timers{&m_io};
  std::vector<std::unique_ptr<Node>> m_nodes;
};

int RunPeers(const std::vector<std::string>& arguments) {
  Plan plan;
  po::options_description options("hqbench peers: cost of membership and spread of configuration");
  options.add_options()("help", "this text")("instances", po::value(&plan.m_instances), "entry instances")(
      "domains", po::value(&plan.m_domains), "failure domains")(
      "seconds", po::value(&plan.m_seconds), "length of the run")("changes", po::value(&plan.m_changes),
                                                                  "changes made one after the other")(
      "markets", po::value(&plan.m_markets), "documents of 4 KB")("heartbeat-ms", po::value(&plan.m_heartbeat_ms),
                                                                  "period of heartbeats");
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(options).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hqbench peers: " << error.what() << '\n';
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  std::cout << boost::json::serialize(Fleet(plan).Run()) << '\n';
  return 0;
}

const Experiment kPeers{"peers", "Bytes, processor time and spread of configuration among instances.", &RunPeers};

}  // namespace
}  // namespace hickoryquay::bench
