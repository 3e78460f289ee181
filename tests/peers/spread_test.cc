// Gossip of configuration between entry instances under partitions, restarts and lost answers. The expected state is
// the highest accepted version of each market.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "hickoryquay/peers/peer_service.h"
#include "tests/property.h"

namespace hickoryquay::peers {
namespace {

constexpr int kInstances = 6;  // Half in each of two failure domains.
constexpr int kMarkets = 3;
constexpr Millis kPeriod{1000};
constexpr int kPeriodsToConverge = 9;  // One second each: in force everywhere within 9 s.

// Keeps the highest version offered of each market, and its text.
class FakeExchange final : public ConfigurationExchange {
 public:
  std::int64_t Digest() const override {
    std::int64_t digest = 0;
    for (const auto& [market, version] : m_versions) digest = digest * 1'000'003 + version * 31 + market.back();
    return digest;
  }
  std::map<std::string, std::int64_t> Versions() const override { return m_versions; }
  std::vector<inner::wire::MarketDocument> NewerThan(const std::map<std::string, std::int64_t>& known) const override {
    std::vector<inner::wire::MarketDocument> newer;
    for (const auto& [market, version] : m_versions) {
      const auto found = known.find(market);
      if (found != known.end() && found->second >= version) continue;
      inner::wire::MarketDocument document;
      document.__set_market(market);
      document.__set_version(version);
      const auto text = m_texts.find(market);
      if (text != m_texts.end()) document.__set_json(text->second);
      newer.push_back(document);
    }
    return newer;
  }
  void Offer(const inner::wire::MarketDocument& document) override {
    std::int64_t& version = m_versions[document.market];
    if (document.version > version) m_texts[document.market] = document.json;
    version = std::max(version, document.version);
  }

  std::map<std::string, std::int64_t> m_versions;
  std::map<std::string, std::string> m_texts;
};

struct Delivery {
  int m_from = 0;
  int m_to = 0;
  inner::Message m_message;
  std::function<void(const inner::Message*)> m_callback;
};

// Instances on a simulated network that delivers in order, except across a partition; answers can be lost.
class PeerNetwork {
 public:
  explicit PeerNetwork(std::uint64_t seed) : m_seed(seed) {
    m_clock.Set(Instant{1'000'000});
    for (int i = 0; i < kInstances; ++i) Start(i, true);
  }

  void Start(int index, bool with_list) {
    PeerSettings settings;
    settings.m_self = InstanceId("i" + std::to_string(index) + "-" + std::to_string(++m_incarnations));
    settings.m_domain = DomainId(index < kInstances / 2 ? "x" : "y");
    settings.m_inner = AddressOf(index);
    settings.m_seeds = {AddressOf((index + 1) % kInstances)};
    settings.m_random_seed = m_seed + static_cast<std::uint64_t>(index);
    m_exchanges[index] = std::make_unique<FakeExchange>();
    m_services[index] = std::make_shared<PeerService>(
        settings, &m_clock, m_exchanges[index].get(),
        [this, index](const net::Endpoint& to, inner::Message message, Millis, const auto& callback) {
          m_queue.push_back({index, to.m_port - 1, std::move(message), callback});
        });
    m_ids[index] = settings.m_self;
    if (with_list) ApplyListEverywhere();
  }

  void ApplyListEverywhere() {
    std::vector<PeerInfo> list;
    for (const auto& [index, id] : m_ids) {
      list.push_back({id, DomainId(index < kInstances / 2 ? "x" : "y"), AddressOf(index), false});
    }
    for (auto& [index, service] : m_services) service->ApplyList(list);
  }

  // A change that the platform accepted and delivered to one instance only.
  void Change(int index, int market, const std::string& text = "") {
    inner::wire::MarketDocument document;
    document.__set_market("m" + std::to_string(market));
    document.__set_version(++m_last_version);
    document.__set_json(text);
    m_exchanges[index]->Offer(document);
    m_accepted[document.market] = m_last_version;
  }

  void Beat() {
    m_clock.Advance(kPeriod);
    for (auto& [index, service] : m_services) service->Beat();
    while (!m_queue.empty()) {
      const Delivery delivery = std::move(m_queue.front());
      m_queue.pop_front();
      Deliver(delivery);
    }
  }

  void Deliver(const Delivery& delivery) {
    if (IsPartitioned(delivery.m_from, delivery.m_to)) return delivery.m_callback(nullptr);
    m_services[delivery.m_to]->Handle(delivery.m_message, [&](const inner::Message& answer) {
      m_largest_answer = std::max(m_largest_answer, inner::Encode({inner::kProtocol, 1, true, answer}).size());
      delivery.m_callback(m_lose_answers ? nullptr : &answer);
    });
  }

  void SetPartition(int a, int b, bool on) {
    const auto pair = std::minmax(a, b);
    on ? void(m_partitions.insert(pair)) : void(m_partitions.erase(pair));
  }
  void RestoreNetwork() {
    m_partitions.clear();
    m_lose_answers = false;
  }
  bool IsPartitioned(int a, int b) const { return m_partitions.contains(std::minmax(a, b)); }

  // True if all instances hold the same version of every document.
  bool AllConfigurationsEqual() const {
    for (const auto& [index, exchange] : m_exchanges) {
      if (exchange->m_versions != m_exchanges.at(0)->m_versions) return false;
    }
    return true;
  }

  static net::Endpoint AddressOf(int index) { return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)}; }

  ManualClock m_clock;
  std::uint64_t m_seed;
  std::map<int, std::unique_ptr<FakeExchange>> m_exchanges;
  std::map<int, std::shared_ptr<PeerService>> m_services;
  std::map<int, InstanceId> m_ids;
  std::map<std::string, std::int64_t> m_accepted;
  std::deque<Delivery> m_queue;
  std::set<std::pair<int, int>> m_partitions;
  bool m_lose_answers = false;
  std::size_t m_largest_answer = 0;  // Bytes.
  int m_incarnations = 0;
  std::int64_t m_last_version = 0;
};

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(ChangeReachesAllWithinTheBound);
  CPPUNIT_TEST(NeverRevertsUnderFaults);
  CPPUNIT_TEST(RestartedInstanceLearnsFromPeersAlone);
  CPPUNIT_TEST(HigherEpochOfPlacerWins);
  CPPUNIT_TEST(LargeDocumentTravelsCompressed);
  CPPUNIT_TEST(PeerOfAnEarlierVersionGetsPlainText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeReachesAllWithinTheBound() {
    test::CheckProperty("a change is in force everywhere within the bound", [](std::uint64_t seed) {
      PeerNetwork network(seed);
      network.Beat();
      network.Change(*rc::gen::inRange(0, kInstances), *rc::gen::inRange(0, kMarkets));
      for (int beat = 0; beat < kPeriodsToConverge; ++beat) network.Beat();
      RC_ASSERT(network.AllConfigurationsEqual());
      RC_ASSERT(network.m_exchanges.at(0)->m_versions == network.m_accepted);
    });
  }

  void NeverRevertsUnderFaults() {
    test::CheckProperty("versions only rise, and agree once healed", [](std::uint64_t seed) {
      PeerNetwork network(seed);
      const int steps = *rc::gen::inRange(5, 60);
      for (int step = 0; step < steps; ++step) {
        const auto before = Snapshot(network);
        const int index = *rc::gen::inRange(0, kInstances);
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            network.Change(index, *rc::gen::inRange(0, kMarkets));
            break;
          case 1:
            network.SetPartition(index, *rc::gen::inRange(0, kInstances), true);
            break;
          case 2:
            network.SetPartition(index, *rc::gen::inRange(0, kInstances), false);
            break;
          case 3:
            network.m_lose_answers = !network.m_lose_answers;
            break;
          default:
            network.Beat();
            break;
        }
        RC_ASSERT(NoVersionDecreased(before, Snapshot(network)));
      }
      network.RestoreNetwork();
      network.ApplyListEverywhere();
      for (int beat = 0; beat < kPeriodsToConverge; ++beat) network.Beat();
      RC_ASSERT(network.AllConfigurationsEqual());
      RC_ASSERT(network.m_exchanges.at(0)->m_versions == network.m_accepted);
    });
  }

  void RestartedInstanceLearnsFromPeersAlone() {
    test::CheckProperty("a restart without the platform", [](std::uint64_t seed) {
      PeerNetwork network(seed);
      for (int market = 0; market < kMarkets; ++market) network.Change(0, market);
      for (int beat = 0; beat < kPeriodsToConverge; ++beat) network.Beat();
      const int restarted = *rc::gen::inRange(0, kInstances);
      network.Start(restarted, false);  // Without the platform's list, only its seed.
      for (int beat = 0; beat < kPeriodsToConverge; ++beat) network.Beat();
      RC_ASSERT(network.m_exchanges.at(restarted)->m_versions == network.m_accepted);
      RC_ASSERT(network.m_services.at(restarted)->Peers().size() >= 3U);
    });
  }

  void HigherEpochOfPlacerWins() {
    PeerNetwork network(7);
    network.m_services.at(0)->SetPlacerView({3, "i0", "127.0.0.1:1"});
    network.m_services.at(1)->SetPlacerView({2, "i1", "127.0.0.1:2"});
    network.Beat();
    network.Beat();
    for (int index = 0; index < kInstances / 2; ++index) {
      CPPUNIT_ASSERT_EQUAL(std::string("i0"), network.m_services.at(index)->Placer().m_holder);
    }
    const int other_domain = kInstances - 1;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, network.m_services.at(other_domain)->Placer().m_epoch);
  }

  // Guards against configurations that take seconds to reach instances with small links: one of 4,200 routes is 0.8 MB.
  void LargeDocumentTravelsCompressed() {
    PeerNetwork network(7);
    network.Beat();
    const std::string text = Routes(4'200);
    network.Change(0, 0, text);
    for (int beat = 0; beat < kPeriodsToConverge; ++beat) network.Beat();
    for (const auto& [index, exchange] : network.m_exchanges) CPPUNIT_ASSERT(exchange->m_texts.at("m0") == text);
    CPPUNIT_ASSERT(network.m_largest_answer < text.size() / 4);
  }

  void PeerOfAnEarlierVersionGetsPlainText() {
    PeerNetwork network(7);
    network.Change(0, 0, Routes(100));
    inner::wire::ConfigurationDocuments documents;
    network.m_services.at(0)->Handle(inner::wire::ConfigurationPull{}, [&](const inner::Message& answer) {
      documents = std::get<inner::wire::ConfigurationDocuments>(answer);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, documents.documents.size());
    CPPUNIT_ASSERT(documents.documents.front().json == Routes(100));
    CPPUNIT_ASSERT(documents.documents.front().compressed.empty());
  }

 private:
  // A document of so many routes, whose names are as different as names in use are.
  static std::string Routes(int count) {
    std::mt19937_64 random(1);
    std::string text = "{\"routes\":[";
    for (int i = 0; i < count; ++i) {
      const std::string name = std::to_string(random());
      text += R"({"name":"r-)" + name + R"(","host":"h)" + std::to_string(i % 100) + R"(.example","pathPrefix":"/)" +
              name.substr(0, 8) + R"(/","service":"workers","priority":1,"maxAttempts":2,"stretch":3.0},)";
    }
    return text + "{}]}";
  }

  using Versions = std::vector<std::map<std::string, std::int64_t>>;

  static Versions Snapshot(const PeerNetwork& network) {
    Versions all;
    for (const auto& [index, exchange] : network.m_exchanges) all.push_back(exchange->m_versions);
    return all;
  }

  static bool NoVersionDecreased(const Versions& before, const Versions& after) {
    for (std::size_t i = 0; i < before.size(); ++i) {
      for (const auto& [market, version] : before[i]) {
        const auto found = after[i].find(market);
        if (found == after[i].end() || found->second < version) return false;
      }
    }
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace
}  // namespace hickoryquay::peers
