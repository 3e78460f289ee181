// Pattern: a failure domain is cut off while urgent jobs arrive that its idle workers have room for. Virtual time, no
// network.

#include "hickoryquay/service/domain_contact.h"

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

const DomainId kCut{"d-r0"};
constexpr Millis kStartup{3'000};
constexpr int kWorkers = 8;  // In each domain.

class DomainContactTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainContactTest);
  CPPUNIT_TEST(SilenceOfSeveralWorkersSpeaksForTheirDomain);
  CPPUNIT_TEST(OneWorkerDoesNotSpeakForItsDomain);
  CPPUNIT_TEST(CrashedWorkersAmongOthersThatAnswerDoNot);
  CPPUNIT_TEST(WorkersThatLeaveTogetherDoNotSpeakForTheOthers);
  CPPUNIT_TEST(FirstAnswerRestoresContact);
  CPPUNIT_TEST(WorkersWithoutDomainAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SilenceOfSeveralWorkersSpeaksForTheirDomain() {
    CPPUNIT_ASSERT(!Silence("a", 100) && !Silence("b", 110));
    CPPUNIT_ASSERT(Silence("c", 120) && m_contact.IsLost(kCut));
    CPPUNIT_ASSERT(!Silence("d", 130));  // Reported once.
    CPPUNIT_ASSERT(!m_contact.IsLost(DomainId{"d-r1"}));
  }

  void OneWorkerDoesNotSpeakForItsDomain() {
    for (int i = 0; i < 10; ++i) CPPUNIT_ASSERT(!Silence("a", 100 + i));
    CPPUNIT_ASSERT(!m_contact.IsLost(kCut));
  }

  // Polls to crashed workers time out long after they were sent; others have answered since.
  void CrashedWorkersAmongOthersThatAnswerDoNot() {
    for (int i = 0; i < 10; ++i) {
      m_contact.OnAnswer(kCut, Instant{1'000 + 100 * i});
      CPPUNIT_ASSERT(!Silence("w" + std::to_string(i), 1'000 + 100 * i - 50));
    }
    CPPUNIT_ASSERT(!m_contact.IsLost(kCut));
  }

  // Guards against flapping: calls to workers that left fail at once, many of them between two answers of others.
  void WorkersThatLeaveTogetherDoNotSpeakForTheOthers() {
    for (int ms = 1'000; ms < 2'000; ms += 50) {
      m_contact.OnAnswer(kCut, Instant{ms});
      for (int i = 0; i < 20; ++i) {
        const WorkerId left{"w" + std::to_string(i)};
        CPPUNIT_ASSERT(!m_contact.OnSilence(kCut, {left, Instant{ms + 10 + i}, kTimeout}, Instant{ms + 11 + i}));
      }
    }
  }

  void FirstAnswerRestoresContact() {
    for (const char* worker : {"a", "b", "c"}) Silence(worker, 100);
    CPPUNIT_ASSERT(m_contact.OnAnswer(kCut, Instant{200}) && !m_contact.IsLost(kCut));
    CPPUNIT_ASSERT(!Silence("a", 210) && !Silence("b", 220));  // Counted anew.
  }

  void WorkersWithoutDomainAreIgnored() {
    for (const char* worker : {"a", "b", "c"})
      CPPUNIT_ASSERT(!m_contact.OnSilence({}, {WorkerId{worker}, Instant{1}, Millis{999}}, Instant{1'000}));
    CPPUNIT_ASSERT(m_contact.Lost().empty());
  }

 private:
  bool Silence(const std::string& worker, std::int64_t sent) {
    return m_contact.OnSilence(kCut, {WorkerId{worker}, Instant{sent}, kTimeout}, Instant{sent} + kTimeout);
  }

  static constexpr Millis kTimeout{350};

  DomainContact m_contact{DomainContactSettings{}};
};

// Three domains; all workers of one are cut off.
class DomainCutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainCutTest);
  CPPUNIT_TEST(UrgentJobsDoNotWaitForIdleWorkersBehindACut);
  CPPUNIT_TEST(IdleWorkersShowThatTheirDomainAnswers);
  CPPUNIT_TEST(RunsBehindTheCutGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ClusterSettings settings;
    settings.m_racks = 3;
    settings.m_workers_per_rack = kWorkers;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
    CPPUNIT_ASSERT(m_cluster->Leader());
  }
  void tearDown() override { m_cluster.reset(); }

  // Guards against each idle worker of the domain holding a job up that was sent to it during the cut.
  void UrgentJobsDoNotWaitForIdleWorkersBehindACut() {
    Cut(true);
    std::vector<JobId> jobs;
    for (int i = 0; i < 50; ++i) {
      jobs.push_back(Submit());
      m_cluster->Run(kInterval);
    }
    m_cluster->Run(Millis{2'000} - kInterval);
    // Three starts are needed to learn of the cut; the last of them times out 350 ms after it was sent.
    constexpr int kLearnedAfter = 7;
    for (std::size_t i = kLearnedAfter; i < jobs.size(); ++i) CheckCompleted(jobs[i]);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Guards against a domain staying out of use because its crashed workers spoke for idle ones that nothing asks.
  void IdleWorkersShowThatTheirDomainAnswers() {
    constexpr int kCrashed = 3;
    for (int i = 0; i < kCrashed; ++i) m_cluster->KillWorker(SimCluster::WorkerOf(0, i));
    for (int i = 0; i < kCrashed; ++i) Submit();
    m_cluster->Run(Millis{1'500});
    const int before = StartsThere();
    const JobId wide = m_cluster->Submit(0, Tasks(3 * kWorkers - kCrashed, 8, kWork), kWork, 0);
    m_cluster->Run(Millis{1'500});
    CheckCompleted(wide);
    CPPUNIT_ASSERT(StartsThere() - before >= kWorkers - kCrashed);
    m_cluster->Run(Millis{15'000});
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Guards against work of a domain that is only silent being started elsewhere while its leases last.
  void RunsBehindTheCutGoOn() {
    constexpr Millis kLong{4'000};
    const JobId running = m_cluster->Submit(0, Tasks(3 * kWorkers, 8, kLong), kLong, 0);
    m_cluster->Run(Millis{500});
    const int there = StartsThere();
    CPPUNIT_ASSERT_EQUAL(kWorkers, there);
    Cut(true);
    m_cluster->Run(Millis{3'500});
    Cut(false);
    m_cluster->Run(Millis{2'000});
    CheckCompleted(running);
    CPPUNIT_ASSERT_EQUAL(3 * kWorkers, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

 private:
  static constexpr Millis kInterval{100};
  static constexpr Millis kWork{500};

  void Cut(bool cut) {
    for (int i = 0; i < kWorkers; ++i) m_cluster->Sim().Faults(SimCluster::WorkerOf(0, i)).m_cut = cut;
  }

  JobId Submit() { return m_cluster->Submit(0, Tasks(1, 8, kWork), kWork, 0); }

  int StartsThere() const {
    int starts = 0;
    for (int i = 0; i < kWorkers; ++i) starts += m_cluster->Sim().StartsOn(SimCluster::WorkerOf(0, i));
    return starts;
  }

  void CheckCompleted(JobId job) {
    CPPUNIT_ASSERT_EQUAL(std::string("completed"),
                         std::string(jobs::ToString(m_cluster->StoredPhase(job).value_or(jobs::JobPhase::kQueued))));
  }

  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainContactTest);
CPPUNIT_TEST_SUITE_REGISTRATION(DomainCutTest);

}  // namespace
}  // namespace hickoryquay::service
