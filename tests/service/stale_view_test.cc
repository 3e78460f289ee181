// A leader that hears of changes late: what it must not start any more. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};
constexpr Millis kFeedDelay{6'000};  // Longer than any bound.

class StaleViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaleViewTest);
  CPPUNIT_TEST(CancelledJobIsNotStartedByALateFeed);
  CPPUNIT_TEST(CancelledTasksAreStoppedAheadOfALateFeed);
  CPPUNIT_TEST(LeavingWorkerIsNotUsedByALateFeed);
  CPPUNIT_TEST(FeedThatHearsOfNothingIsNotRecent);
  CPPUNIT_TEST(FeedThatHearsOfNothingIsNotRecentAfterAQuietTime);
  CPPUNIT_TEST(PendingJobsAreNotCountedByALateFeed);
  CPPUNIT_TEST(GangIsNotLeftInPartByALateFeed);
  CPPUNIT_TEST(ShortHistoryDoesNotHoldStartsUp);
  CPPUNIT_TEST(ShortProcessorStartsNothingOfCancelledJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Make(ClusterSettings{}); }
  void tearDown() override { m_cluster.reset(); }

  void Make(const ClusterSettings& settings) {
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
    m_leader = m_cluster->Leader().value();
    m_other = (m_leader + 1) % 3;
  }

  // Guards against starts of a job whose cancel was acknowledged long before, while the feed of cancels is late.
  void CancelledJobIsNotStartedByALateFeed() {
    ClusterSettings settings;
    settings.m_announces_cancels = false;  // As from an instance of an earlier version.
    Make(settings);
    m_cluster->StoreOf(m_leader).DelayFeeds(kFeedDelay);
    m_cluster->Run(Millis{2'500});  // Until the call under way has been answered.
    // The first run fails halfway, after the bound of the cancel; the second would start then.
    const JobId job = m_cluster->Submit(m_other, Tasks(2, 1, Millis{8'000}), Millis{8'000}, 1, 1);
    m_cluster->Run(Millis{100});
    m_cluster->Cancel(m_other, job);
    m_cluster->Run(Millis{20'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
    CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == JobPhase::kCancelled);
  }

  // Guards against tasks that run on for seconds after their job's cancel was acknowledged.
  void CancelledTasksAreStoppedAheadOfALateFeed() {
    const JobId job = m_cluster->Submit(m_other, Tasks(2, 1, Millis{60'000}), Millis{60'000}, 1);
    m_cluster->Run(Millis{1'000});
    m_cluster->StoreOf(m_leader).DelayFeeds(kFeedDelay);
    m_cluster->Run(Millis{2'500});
    CPPUNIT_ASSERT_EQUAL(2, m_cluster->Sim().Running());
    m_cluster->Cancel(m_other, job);
    m_cluster->Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Running());
  }

  // Guards against starts on a worker that announced long before that it leaves, while the feed of workers is late.
  void LeavingWorkerIsNotUsedByALateFeed() {
    m_cluster->StoreOf(m_leader).DelayFeeds(Millis{2'800});
    m_cluster->Run(Millis{5'000});
    for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Drain(worker, Millis{20'000});
    for (int i = 0; i < 10; ++i) {
      m_cluster->Run(Millis{500});
      m_cluster->Submit(m_other, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    }
    m_cluster->Run(Millis{3'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Guards against starts on leaving workers while the store answers feeds in time and leaves changes out.
  void FeedThatHearsOfNothingIsNotRecent() {
    m_cluster->Run(Millis{5'000});
    m_cluster->Store().HoldFeeds(Millis{3'000});
    for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Drain(worker, Millis{20'000});
    for (int i = 0; i < 100; ++i) {
      m_cluster->Run(Millis{50});
      m_cluster->Submit(m_other, Tasks(1, 1, Millis{300}), Millis{300}, 0);
    }
    m_cluster->Run(Millis{3'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Guards against the same while the leader has had nothing to store but its renewals.
  void FeedThatHearsOfNothingIsNotRecentAfterAQuietTime() {
    for (int quiet_ms = 2'100; quiet_ms < 2'900; quiet_ms += 100) {
      Make(ClusterSettings{});
      m_cluster->Run(Millis{5'000});
      m_cluster->Store().HoldFeeds(Millis{3'000});
      for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Drain(worker, Millis{20'000});
      m_cluster->Run(Millis{quiet_ms});
      m_cluster->Submit(m_other, Tasks(1, 1, Millis{300}), Millis{300}, 0);
      m_cluster->Run(Millis{2'000});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(quiet_ms), std::string(), m_cluster->Violations());
    }
  }

  // Guards against callers who are told that no job waits, while the leader has not heard of those that do.
  void PendingJobsAreNotCountedByALateFeed() {
    ClusterSettings settings;
    settings.m_announces_jobs = false;
    Make(settings);
    CPPUNIT_ASSERT(m_cluster->PendingAt(m_leader) == 0);
    m_cluster->StoreOf(m_leader).DelayFeeds(Millis{8'000});
    m_cluster->Run(Millis{2'500});
    for (int i = 0; i < 20; ++i) m_cluster->Submit(m_other, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    m_cluster->Run(Millis{4'000});
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT(!m_cluster->PendingAt(m_leader));
  }

  // Guards against gangs of which some members wait for others whose starts are held back, until the gang breaks.
  void GangIsNotLeftInPartByALateFeed() {
    for (int offset = 0; offset < 12; ++offset) {
      ClusterSettings settings;
      settings.m_racks = 8;
      settings.m_workers_per_rack = 12;
      settings.m_workers.m_latency = Millis{20};
      Make(settings);
      m_cluster->Run(Millis{2'000});
      m_cluster->StoreOf(m_leader).DelayFeeds(kFeedDelay);
      m_cluster->Run(Millis{1'000 + offset * 20});
      jobs::StepSpec gang = Tasks(60, 1, Millis{2'000});
      gang.m_gang = true;
      m_cluster->Submit(m_other, gang, Millis{2'000}, 0);
      m_cluster->Run(Millis{2'500});  // Less than a member waits for the others.
      const int running = m_cluster->Sim().Running();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(running) + " of 60", running == 0 || running == 60);
    }
  }

  // Guards against seconds without a start while the store is slow and forgets its history again and again.
  void ShortHistoryDoesNotHoldStartsUp() {
    constexpr Millis kLatency{240};
    constexpr int kStepMs = 50;
    constexpr int kLongestMs = 3'000;
    m_cluster->Store().SetLatency(kLatency);
    m_cluster->Run(kStartup);
    int last = m_cluster->Sim().Starts();
    int idle_ms = 0;
    int longest_ms = 0;
    for (int ms = 0; ms < 15'000; ms += kStepMs) {
      if (ms % 1'000 == 0) m_cluster->Store().ForgetHistory();
      if (ms % 250 == 0) m_cluster->Submit(m_other, Tasks(1, 1, Millis{300}), Millis{300}, 0);
      if (ms % 100 == 0) m_cluster->Store().Put({"hq-intake", "elsewhere", "x"}, "");
      if (ms % 100 == 0) m_cluster->Store().Put({"workers", "", "garbled"}, "");
      m_cluster->Run(Millis{kStepMs});
      idle_ms = m_cluster->Sim().Starts() > last ? 0 : idle_ms + kStepMs;
      last = m_cluster->Sim().Starts();
      longest_ms = std::max(longest_ms, idle_ms);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(longest_ms) + " ms without a start", longest_ms <= kLongestMs);
  }

  // Guards against stale starts by a leader whose processor is short, so that events wait for seconds before it sees
  // them.
  void ShortProcessorStartsNothingOfCancelledJobs() {
    ClusterSettings settings;
    settings.m_racks = 8;
    settings.m_workers_per_rack = 12;
    settings.m_announces_cancels = false;
    settings.m_cancel_bound = Millis{5'000};
    settings.m_drain_bound = Millis{4'000};
    settings.m_processor = {3'000, 0.0, 0.5};  // As 1,100 workers at a twelfth of that for each event.
    Make(settings);
    std::vector<JobId> cancelled;
    for (int i = 0; i < 150; ++i) {
      m_cluster->Submit(i % 3, Tasks(i % 10 == 0 ? 80 : 8, 2, Millis{2'500}), Millis{2'500}, i % 10 == 0 ? 2 : 0);
      m_cluster->Run(Millis{100});
      if (i % 3 == 2) cancelled.push_back(m_cluster->Submitted()[static_cast<std::size_t>(i) - 2]);
      if (i % 3 == 2) m_cluster->Cancel(i % 3, cancelled.back());
      if (i == 50) {
        for (std::size_t w = 0; w < m_cluster->Workers().size(); w += 8) {
          m_cluster->Drain(m_cluster->Workers()[w], Millis{6'500});
        }
      }
    }
    m_cluster->Run(Millis{15'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

 private:
  std::unique_ptr<SimCluster> m_cluster;
  int m_leader = 0;
  int m_other = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaleViewTest);

}  // namespace
}  // namespace hickoryquay::service
