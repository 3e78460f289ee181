// Pattern: urgent jobs are accepted while the feeds of the store hear of nothing. Virtual time, no network.

#include "hickoryquay/service/announced_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

constexpr Millis kStartup{3'000};
constexpr Millis kWork{400};
constexpr int kJobs = 10;

class AnnouncedJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncedJobsTest);
  CPPUNIT_TEST(CountsOnceAheadOfTheFeed);
  CPPUNIT_TEST(CountsNoMoreBehindTheFeed);
  CPPUNIT_TEST(IsForgottenWithTheFeed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsOnceAheadOfTheFeed() {
    CPPUNIT_ASSERT(m_announced.Take(JobId{1}, Version{11}, Version{10}));
    CPPUNIT_ASSERT(!m_announced.Take(JobId{1}, Version{11}, Version{10}));
    CPPUNIT_ASSERT(m_announced.Take(JobId{2}, Version{12}, Version{10}));
  }

  // Guards against a job being started again by a copy that arrives after it has run and is forgotten.
  void CountsNoMoreBehindTheFeed() {
    CPPUNIT_ASSERT(m_announced.Take(JobId{1}, Version{11}, Version{10}));
    CPPUNIT_ASSERT(!m_announced.Take(JobId{1}, Version{11}, Version{11}));
    CPPUNIT_ASSERT(!m_announced.Take(JobId{2}, Version{9}, Version{11}));
  }

  void IsForgottenWithTheFeed() {
    for (std::uint64_t i = 1; i <= 1'000; ++i) m_announced.Take(JobId{i}, Version{i}, Version{0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, m_announced.Count());
    m_announced.Take(JobId{1'001}, Version{1'001}, Version{990});
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, m_announced.Count());
  }

 private:
  AnnouncedJobs m_announced;
};

class HeldFeedsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldFeedsTest);
  CPPUNIT_TEST(UrgentJobsStartWhileFeedsAreHeld);
  CPPUNIT_TEST(LateCopiesStartNothing);
  CPPUNIT_TEST(JobsOfBothWaysRunOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_cluster = std::make_unique<SimCluster>(ClusterSettings{});
    m_cluster->Run(kStartup);
    CPPUNIT_ASSERT(m_cluster->Leader());
  }
  void tearDown() override { m_cluster.reset(); }

  // Guards against accepted jobs waiting for the feed of their table, which a store may hold up for seconds.
  void UrgentJobsStartWhileFeedsAreHeld() {
    m_cluster->Store().HoldFeeds(Millis{1'200});
    Submit();
    m_cluster->Run(Millis{200});
    CPPUNIT_ASSERT_EQUAL(kJobs, m_cluster->Sim().Starts());
    Finish();
  }

  // Guards against a delayed copy of an announcement running a job again that the leader has forgotten.
  void LateCopiesStartNothing() {
    Submit();
    m_cluster->Run(Millis{60'000});
    Finish();
  }

  void JobsOfBothWaysRunOnce() {
    for (int round = 0; round < 5; ++round) {
      if (round % 2 == 0) m_cluster->Store().HoldFeeds(Millis{300});
      Submit();
      if (round == 3) m_cluster->Store().ForgetHistory();
      m_cluster->Run(Millis{700});
    }
    m_cluster->ReleaseLeader();
    Submit();
    m_cluster->Run(Millis{60'000});
    Finish();
  }

 private:
  void Submit() {
    for (int i = 0; i < kJobs; ++i) m_jobs.push_back(m_cluster->Submit(i % 3, Tasks(1, 1, kWork), kWork, 0));
  }

  void Finish() {
    m_cluster->Run(Millis{5'000});
    for (const JobId job : m_jobs) CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == jobs::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(m_jobs.size()), m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  std::unique_ptr<SimCluster> m_cluster;
  std::vector<JobId> m_jobs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncedJobsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(HeldFeedsTest);

}  // namespace
}  // namespace hickoryquay::service
