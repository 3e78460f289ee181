// Pattern: leaders die, stop as planned or turn out to be small while many unequal instances watch. Who leads next, how
// soon, and what it costs the store. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/service/handover.h"
#include "hickoryquay/service/leadership.h"
#include "standin/sim_store.h"

namespace hickoryquay::service {
namespace {

constexpr Millis kNews{5};  // Until the others hear of a release.

// Candidates for the leadership, ranked by their index. None hears heartbeats, so all watch the row.
class Candidates {
 public:
  explicit Candidates(int count) {
    m_clock.Set(Instant{1'000'000});
    m_store = std::make_unique<standin::SimStore>(&m_timers, &m_clock, standin::SimStoreSettings{});
    for (int i = 0; i < count; ++i) {
      m_clients.push_back(std::make_unique<standin::SimStoreClient>(m_store.get()));
      LeadershipSettings settings;
      settings.m_row = {"state", "leader", "leader"};
      settings.m_node = "node-" + std::to_string(i);
      settings.m_self = InstanceId{"life-" + std::to_string(i)};
      m_all.push_back(
          std::make_shared<Leadership>(m_clients.back().get(), &m_timers, &m_clock, settings,
                                       Leadership::Events{[this](Epoch) { ++m_elections; }, [](const std::string&) {},
                                                          [this, i](Epoch epoch) { OnReleased(i, epoch); }}));
      m_all.back()->SetRank([i] { return i; });
    }
    m_all.front()->Start();
    Run(Millis{1'000});
    for (int i = 1; i < count; ++i) m_all[static_cast<std::size_t>(i)]->Start();
    Run(Millis{500});
  }
  ~Candidates() {
    for (const auto& candidate : m_all) candidate->Stop();
  }

  void Run(Millis time) { m_timers.Advance(time); }
  void Stop(int index) { m_all[static_cast<std::size_t>(index)]->Stop(); }
  void Release(int index) {
    m_all[static_cast<std::size_t>(index)]->Release(Millis{1'000}, [] {});
  }
  void LoseNews() { m_news_arrive = false; }
  bool Leads(int index) const { return m_all[static_cast<std::size_t>(index)]->Leading(); }
  int Elections() const { return m_elections; }
  standin::SimStoreClient& StoreOf(int index) { return *m_clients[static_cast<std::size_t>(index)]; }

 private:
  void OnReleased(int by, Epoch epoch) {
    if (!m_news_arrive) return;
    m_timers
        .After(kNews,
               [this, by, epoch] {
                 for (std::size_t i = 0; i < m_all.size(); ++i) {
                   if (static_cast<int>(i) != by) m_all[i]->OnReleased(epoch);
                 }
               })
        .Detach();
  }

  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  std::unique_ptr<standin::SimStore> m_store;
  std::vector<std::unique_ptr<standin::SimStoreClient>> m_clients;
  std::vector<std::shared_ptr<Leadership>> m_all;
  bool m_news_arrive = true;
  int m_elections = 0;
};

class ElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ElectionTest);
  CPPUNIT_TEST(AblestInstanceTakesOver);
  CPPUNIT_TEST(NextOneTakesOverIfTheAblestAreDead);
  CPPUNIT_TEST(LastOneTakesOverAlone);
  CPPUNIT_TEST(ReleasedLeadershipIsTakenAtOnce);
  CPPUNIT_TEST(ReleaseIsNoticedWithoutNews);
  CPPUNIT_TEST(InstancesReadTheRowSeldom);
  CPPUNIT_TEST(SmallLeaderGivesUpToAnAblerInstance);
  CPPUNIT_TEST(EqualInstancesKeepTheirLeader);
  CPPUNIT_TEST(LeaderThatCantLoadGivesUp);
  CPPUNIT_TEST(HandoversInVainBecomeRare);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AblestInstanceTakesOver() {
    Candidates candidates(20);
    candidates.Stop(0);
    candidates.Run(Millis{1'600});
    CPPUNIT_ASSERT(candidates.Leads(1));
    CPPUNIT_ASSERT_EQUAL(2, candidates.Elections());
  }

  void NextOneTakesOverIfTheAblestAreDead() {
    Candidates candidates(20);
    for (int i = 0; i < 6; ++i) candidates.Stop(i);
    candidates.Run(Millis{2'000});
    CPPUNIT_ASSERT(candidates.Leads(6));
    CPPUNIT_ASSERT_EQUAL(2, candidates.Elections());
  }

  void LastOneTakesOverAlone() {
    Candidates candidates(20);
    for (int i = 0; i < 19; ++i) candidates.Stop(i);
    candidates.Run(Millis{2'000});
    CPPUNIT_ASSERT(candidates.Leads(19));
  }

  // Known from the large deployment: nobody led for 0.6 s after a planned release, since instances that had just heard
  // a heartbeat did not read the row.
  void ReleasedLeadershipIsTakenAtOnce() {
    Candidates candidates(20);
    candidates.Release(0);
    candidates.Run(Millis{150});
    CPPUNIT_ASSERT(candidates.Leads(1));
    candidates.Run(Millis{2'000});
    CPPUNIT_ASSERT_EQUAL(2, candidates.Elections());
  }

  void ReleaseIsNoticedWithoutNews() {
    Candidates candidates(20);
    candidates.LoseNews();
    candidates.Release(0);
    candidates.Stop(0);
    candidates.Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(2, candidates.Elections());
  }

  // Without heartbeats an instance reads the row four times a second, not at each tick of 50 ms.
  void InstancesReadTheRowSeldom() {
    Candidates candidates(20);
    candidates.Run(Millis{5'000});
    std::vector<std::int64_t> before;
    for (int i = 1; i < 20; ++i) before.push_back(candidates.StoreOf(i).Reads());
    candidates.Run(Millis{5'000});
    for (int i = 1; i < 20; ++i) {
      CPPUNIT_ASSERT(candidates.StoreOf(i).Reads() - before[static_cast<std::size_t>(i - 1)] <= 21);
    }
  }

  void SmallLeaderGivesUpToAnAblerInstance() {
    Handover handover{HandoverSettings{}};
    handover.OnElected(m_now);
    CPPUNIT_ASSERT(!handover.IsDue(m_now + Millis{1'000}, true, 2.4, 100.0));
    CPPUNIT_ASSERT(handover.IsDue(m_now + Millis{3'000}, true, 2.4, 100.0));
  }

  void EqualInstancesKeepTheirLeader() {
    Handover handover{HandoverSettings{}};
    handover.OnElected(m_now);
    for (const double best : {0.0, 50.0, 100.0, 199.0}) {
      CPPUNIT_ASSERT(!handover.IsDue(m_now + Millis{60'000}, true, 100.0, best));
    }
  }

  void LeaderThatCantLoadGivesUp() {
    Handover handover{HandoverSettings{}};
    handover.OnElected(m_now);
    CPPUNIT_ASSERT(!handover.IsDue(m_now + Millis{3'000}, false, 2.4, 100.0));
    CPPUNIT_ASSERT(handover.IsDue(m_now + Millis{4'500}, false, 2.4, 100.0));
  }

  // The abler instance answers heartbeats, but can't reach the store: this one is elected again each time.
  void HandoversInVainBecomeRare() {
    Handover handover{HandoverSettings{}};
    int handovers = 0;
    for (Millis at{0}; at < Millis{300'000}; at += Millis{500}) {
      if (handover.IsDue(m_now + at, true, 2.4, 100.0)) {
        ++handovers;
        handover.OnElected(m_now + at + Millis{1'000});
      }
    }
    CPPUNIT_ASSERT(handovers >= 2);
    CPPUNIT_ASSERT(handovers <= 8);
  }

 private:
  const Instant m_now{1'000'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);

}  // namespace
}  // namespace hickoryquay::service
