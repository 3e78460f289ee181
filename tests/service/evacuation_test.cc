// Pattern: the operator evacuates a failure domain while many jobs wait, and takes it back. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "standin/sim_cluster.h"
#include "tests/property.h"

namespace hickoryquay::service {
namespace {

constexpr Millis kStartup{3'000};
constexpr Millis kBound{5'000};
constexpr int kWorkers = 4;  // In each domain.
const DomainId kDomain{"d-r0"};

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(NothingStartsThereUnderLoad);
  CPPUNIT_TEST(WaitingWorkDoesNotAllGoToAReturnedDomain);
  CPPUNIT_TEST(AllDomainsEvacuated);
  CPPUNIT_TEST(LostAnswersAreNotSentAgainThere);
  CPPUNIT_TEST(QueuedStartsAreWithdrawn);
  CPPUNIT_TEST(StartsQueuedTooLongArePlacedAnew);
  CPPUNIT_TEST(TakeoverDuringTheEvacuation);
  CPPUNIT_TEST(TakeoverWhileTheStoreIsAway);
  CPPUNIT_TEST(NewLeaderWaitsForTheSet);
  CPPUNIT_TEST(InstanceThatTheStoreTurnsAwayLearnsFromPeers);
  CPPUNIT_TEST(LiftIsLearnedThoughTheHistoryIsGone);
  CPPUNIT_TEST(DocumentsOfOtherVersionsAreIgnored);
  CPPUNIT_TEST(OperatorsSeeHowFarItIs);
  CPPUNIT_TEST(RandomFaultsBreakNoBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Build({}); }
  void tearDown() override { m_cluster.reset(); }

  void NothingStartsThereUnderLoad() {
    Load(400);
    m_cluster->Run(Millis{1'000});
    CPPUNIT_ASSERT(StartsThere() > 0);
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{1'000});  // A fifth of the bound.
    CheckNothingStartsFor(Millis{6'000});
    m_cluster->Lift(kDomain);
    Finish();
  }

  void WaitingWorkDoesNotAllGoToAReturnedDomain() {
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{1'000});
    Load(400);
    m_cluster->Run(Millis{2'000});
    const int before = StartsThere();
    m_cluster->Lift(kDomain);
    m_cluster->Run(Millis{400});
    int used = 0;
    for (int i = 0; i < kWorkers; ++i) used += m_cluster->Sim().StartsOn(SimCluster::WorkerOf(0, i)) > 0 ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(1, used);  // A quarter of them.
    CPPUNIT_ASSERT(StartsThere() > before);
    m_cluster->Run(Millis{2'000});
    for (int i = 0; i < kWorkers; ++i) CPPUNIT_ASSERT(m_cluster->Sim().StartsOn(SimCluster::WorkerOf(0, i)) > 0);
    Finish();
  }

  void AllDomainsEvacuated() {
    for (int rack = 0; rack < 3; ++rack) m_cluster->Evacuate(DomainId{"d-r" + std::to_string(rack)});
    m_cluster->Evacuate(DomainId{"nowhere"});
    m_cluster->Run(Millis{1'000});
    Load(20);
    m_cluster->Run(kBound);
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Starts());
    for (int rack = 0; rack < 3; ++rack) m_cluster->Lift(DomainId{"d-r" + std::to_string(rack)});
    Finish();
  }

  void LostAnswersAreNotSentAgainThere() {
    for (int i = 0; i < kWorkers; ++i) m_cluster->Sim().Faults(SimCluster::WorkerOf(0, i)).m_lost_answers = 0.7;
    Load(200);
    m_cluster->Run(Millis{1'000});
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{1'000});
    CheckNothingStartsFor(kBound);
    for (int i = 0; i < kWorkers; ++i) m_cluster->Sim().Faults(SimCluster::WorkerOf(0, i)).m_lost_answers = 0.0;
    m_cluster->Lift(kDomain);
    Finish();
  }

  // Answers take 200 ms, so that most starts still wait in the command queue when the domain is evacuated.
  void QueuedStartsAreWithdrawn() {
    ClusterSettings settings;
    settings.m_workers.m_latency = Millis{200};
    Build(settings);
    const JobId job = m_cluster->Submit(*m_cluster->Leader(), Tasks(96, 1, Millis{5'000}), Millis{5'000}, 0);
    m_jobs.push_back(job);
    m_cluster->Run(Millis{300});
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() < 48);
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{250});  // Starts that are under way arrive.
    CheckNothingStartsFor(kBound);
    CPPUNIT_ASSERT(StartsThere() < 32);  // All its room was planned for.
    m_cluster->Lift(kDomain);
    Finish();
  }

  // A start that is withdrawn from the queue must not hold its room: the job would never end.
  void StartsQueuedTooLongArePlacedAnew() {
    ClusterSettings settings;
    settings.m_workers.m_latency = Millis{200};
    settings.m_evacuate = Millis{400};
    Build(settings);
    m_jobs.push_back(m_cluster->Submit(*m_cluster->Leader(), Tasks(96, 1, Millis{1'000}), Millis{1'000}, 0));
    Finish();
  }

  void TakeoverDuringTheEvacuation() {
    Load(400);
    m_cluster->Run(Millis{1'000});
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{1'000});
    m_cluster->KillInstance(*m_cluster->Leader());
    const int starts = m_cluster->Sim().Starts();
    CheckNothingStartsFor(kBound);
    CPPUNIT_ASSERT(m_cluster->Leader());
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() > starts);  // Elsewhere.
    m_cluster->Lift(kDomain);
    Finish();
  }

  void TakeoverWhileTheStoreIsAway() {
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{1'000});
    Load(200);
    m_cluster->Run(Millis{500});
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kSilent);
    m_cluster->KillInstance(*m_cluster->Leader());
    CheckNothingStartsFor(Millis{4'000});
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
    CheckNothingStartsFor(kBound);
    m_cluster->Lift(kDomain);
    Finish();
  }

  // The operators' table can't be read, and no peer has read it.
  void NewLeaderWaitsForTheSet() {
    ClusterSettings settings;
    settings.m_follow_evacuations = false;
    m_cluster = std::make_unique<SimCluster>(settings);
    while (!m_cluster->Leader()) m_cluster->Run(Millis{10});
    Load(1);
    m_cluster->Run(Millis{800});
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Starts());
    m_cluster->Run(Millis{700});
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() > 0);
  }

  void InstanceThatTheStoreTurnsAwayLearnsFromPeers() {
    const int cut = (*m_cluster->Leader() + 1) % 3;
    m_cluster->StoreOf(cut).SetMood(standin::StoreMood::kRefuses);
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{2'000});
    CPPUNIT_ASSERT(m_cluster->EvacuatedAt(cut) == std::set<DomainId>{kDomain});
    m_cluster->Lift(kDomain);
    m_cluster->Run(Millis{2'000});
    CPPUNIT_ASSERT(m_cluster->EvacuatedAt(cut).empty());
  }

  // A full scan does not list the row any more, and the peer that was cut off still has it.
  void LiftIsLearnedThoughTheHistoryIsGone() {
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{2'000});
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kRefuses);
    m_cluster->Run(Millis{1'500});
    m_cluster->Lift(kDomain);
    m_cluster->Store().ForgetHistory();
    for (int i = 0; i < 2; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
    m_cluster->Run(Millis{3'000});
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT(m_cluster->EvacuatedAt(i).empty());
  }

  // Of the version before, of a later one, and damaged ones.
  void DocumentsOfOtherVersionsAreIgnored() {
    int calls = 0;
    QueueDocuments documents([](std::string_view) { return std::string("unreadable"); }, nullptr,
                             [&](const std::set<DomainId>&) { ++calls; });
    const auto offer = [&](const char* name, std::int64_t version, const char* text) {
      inner::wire::MarketDocument document;
      document.__set_market(name);
      document.__set_version(version);
      document.__set_json(text);
      documents.Offer(document);
    };
    offer("later", 9, "{}");
    for (const char* text : {"", "{", "{}", "[1]", "[null]", "7"}) offer("evacuations", 9, text);
    offer("evacuations", 0, "[]");
    offer("evacuations", -5, "[]");
    CPPUNIT_ASSERT_EQUAL(0, calls);
    CPPUNIT_ASSERT(!documents.Evacuations().Known());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, documents.Digest());
    offer("evacuations", 9, R"(["a \" b"])");
    CPPUNIT_ASSERT_EQUAL(1, calls);
    CPPUNIT_ASSERT(documents.Evacuations().Domains().contains(DomainId{"a \" b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, documents.NewerThan({{"queues", 0}}).size());
    CPPUNIT_ASSERT(documents.NewerThan(documents.Versions()).empty());
  }

  void OperatorsSeeHowFarItIs() {
    Load(50);
    m_cluster->Run(Millis{500});
    m_cluster->Evacuate(kDomain);
    m_cluster->Run(Millis{500});
    CheckMetric("hq_evacuated_domains 1");
    CPPUNIT_ASSERT(m_cluster->MetricsText().find("hq_evacuated_runs{domain=\"d-r0\"} ") != std::string::npos);
    m_cluster->Lift(kDomain);
    m_cluster->Run(Millis{1'000});
    CheckMetric("hq_evacuated_domains 0");
    CheckMetric("hq_evacuated_runs{domain=\"d-r0\"} 0");
  }

  // Domains are evacuated and lifted while instances come and go, one of them is turned away by the store, and answers
  // of workers are lost. Nothing starts in a domain once the bound is over; all jobs end.
  void RandomFaultsBreakNoBound() {
    test::CheckProperty("no start in an evacuated domain", [this](std::uint32_t seed) {
      m_jobs.clear();
      Build({});
      std::mt19937 random(seed);
      const auto up_to = [&](int most) { return std::uniform_int_distribution<>(0, most)(random); };
      std::optional<Millis> in_force;  // How long the domain has been evacuated.
      int starts = 0;
      for (int step = 0; step < 40; ++step) {
        Load(up_to(6));
        switch (up_to(9)) {
          case 0:
            for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
            m_cluster->StoreOf(up_to(2)).SetMood(up_to(1) == 0 ? standin::StoreMood::kRefuses
                                                               : standin::StoreMood::kSilent);
            break;
          case 1:
            if (const auto leader = m_cluster->Leader()) {
              m_cluster->KillInstance(*leader);
              m_cluster->StartInstance(*leader);
            }
            break;
          case 2:
            m_cluster->Sim().Faults(SimCluster::WorkerOf(up_to(2), up_to(3))).m_lost_answers = up_to(1) * 0.5;
            break;
          case 3:
            m_cluster->Store().ForgetHistory();
            break;
          case 4:
            in_force ? m_cluster->Lift(kDomain) : m_cluster->Evacuate(kDomain);
            in_force = in_force ? std::nullopt : std::optional(Millis{0});
            break;
          default:
            break;
        }
        m_cluster->Run(Millis{500});
        if (!in_force) continue;
        *in_force += Millis{500};
        if (*in_force == kBound) starts = StartsThere();
        if (*in_force > kBound) RC_ASSERT(StartsThere() == starts);
      }
      for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
      for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Sim().Faults(worker) = standin::WorkerFaults{};
      m_cluster->Lift(kDomain);
      m_cluster->Run(Millis{60'000});
      RC_ASSERT(m_cluster->Violations() == "");
      for (const JobId job : m_jobs) {
        if (m_cluster->Accepted(job)) RC_ASSERT(m_cluster->StoredPhase(job) == jobs::JobPhase::kCompleted);
      }
    });
  }

 private:
  void Build(ClusterSettings settings) {
    settings.m_racks = 3;
    settings.m_workers_per_rack = kWorkers;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
    CPPUNIT_ASSERT(m_cluster->Leader());
  }

  // Jobs of all priorities; a third are gangs.
  void Load(int count) {
    for (int i = 0; i < count; ++i) {
      jobs::StepSpec step = Tasks(2, 4, Millis{400});
      step.m_gang = i % 3 == 0;
      step.m_checkpoints = i % 2 == 0;
      m_jobs.push_back(m_cluster->Submit(m_cluster->Leader().value_or(0), step, Millis{400}, i % 3));
    }
  }

  int StartsThere() const {
    int starts = 0;
    for (int i = 0; i < kWorkers; ++i) starts += m_cluster->Sim().StartsOn(SimCluster::WorkerOf(0, i));
    return starts;
  }

  void CheckNothingStartsFor(Millis time) {
    const int before = StartsThere();
    m_cluster->Run(time);
    CPPUNIT_ASSERT_EQUAL(before, StartsThere());
  }

  // Every accepted job ends, and nothing that must always hold was violated.
  void Finish() {
    m_cluster->Run(Millis{60'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
    for (const JobId job : m_jobs) {
      if (m_cluster->Accepted(job)) CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == jobs::JobPhase::kCompleted);
    }
  }

  void CheckMetric(const std::string& line) {
    const std::string text = m_cluster->MetricsText();
    CPPUNIT_ASSERT_MESSAGE(text, text.find(line + "\n") != std::string::npos);
  }

  std::unique_ptr<SimCluster> m_cluster;
  std::vector<JobId> m_jobs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace hickoryquay::service
