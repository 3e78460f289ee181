// Tasks that crash the workers that start them, among tasks and workers that are sound.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};
constexpr Millis kCrashAfter{10};
constexpr Millis kWork{2'000};
constexpr Millis kLongWork{12'000};
constexpr Millis kStep{50};
constexpr Millis kEnough{40'000};
constexpr int kMostCrashes = 5;  // What the platform tolerates.

jobs::TaskKey FirstTask(JobId job) {
  return {{job, 0, 0}, 0};
}

class CrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTest);
  CPPUNIT_TEST(TaskThatCrashesWorkersIsGivenUp);
  CPPUNIT_TEST(TaskThatCrashesWorkersLateIsGivenUp);
  CPPUNIT_TEST(CrashesAreCountedAcrossTakeovers);
  CPPUNIT_TEST(CrashesOfWorkersThatRestartUnderTheirIdAreCounted);
  CPPUNIT_TEST(GangWithATaskThatCrashesWorkersIsGivenUp);
  CPPUNIT_TEST(TasksLostBesideItComplete);
  CPPUNIT_TEST(TasksOnWorkersThatCrashByThemselvesComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Nothing counted the workers that were lost under a task, and it crashed one after another without end.
  void TaskThatCrashesWorkersIsGivenUp() {
    MakeCluster(false);
    const JobId job = m_cluster->SubmitCrashing(0, Tasks(1, 4, kWork), kCrashAfter);
    m_cluster->Run(kEnough);
    ExpectGivenUp(job);
  }

  // Guards against a task that crashes its workers some seconds after each start and is started without end.
  void TaskThatCrashesWorkersLateIsGivenUp() {
    for (const bool same_id : {false, true}) {
      MakeCluster(same_id);
      const JobId job = m_cluster->SubmitCrashing(0, Tasks(1, 4, kLongWork), Millis{4'000});
      m_cluster->Run(2 * kEnough);
      ExpectGivenUp(job);
    }
  }

  // A count that the leader keeps to itself begins anew with each of its successors.
  void CrashesAreCountedAcrossTakeovers() {
    MakeCluster(false);
    const JobId job = m_cluster->SubmitCrashing(0, Tasks(1, 4, kWork), kCrashAfter);
    int crashes = 0;
    for (Millis at{0}; at < 2 * kEnough; at += kStep) {
      m_cluster->Run(kStep);
      const int now = m_cluster->Sim().CrashesBy(FirstTask(job));
      const auto leader = m_cluster->Leader();
      if (now == crashes || !leader) continue;
      crashes = now;
      m_cluster->KillInstance(*leader);
      m_cluster->StartInstance(*leader);
    }
    ExpectGivenUp(job);
  }

  // A restart under the same id was not taken for the loss of a worker that a task may have caused.
  void CrashesOfWorkersThatRestartUnderTheirIdAreCounted() {
    MakeCluster(true);
    const JobId job = m_cluster->SubmitCrashing(0, Tasks(1, 4, kWork), kCrashAfter);
    m_cluster->Run(2 * kEnough);
    ExpectGivenUp(job);
  }

  // The other members of the gang are lost or broken with it, whatever worker they run on.
  void GangWithATaskThatCrashesWorkersIsGivenUp() {
    MakeCluster(false);
    jobs::StepSpec gang = Tasks(3, 4, kWork);
    gang.m_gang = true;
    const JobId job = m_cluster->SubmitCrashing(0, gang, kCrashAfter);
    m_cluster->Run(kEnough);
    ExpectGivenUp(job);
  }

  // Tasks that wait with the faulty one were placed beside it again and again, and would be given up with it.
  void TasksLostBesideItComplete() {
    MakeCluster(false);
    std::vector<JobId> sound;
    for (int i = 0; i < 4; ++i) sound.push_back(m_cluster->Submit(0, Tasks(4, 1, kLongWork), kLongWork));
    m_cluster->Run(kStep);
    const JobId job = m_cluster->SubmitCrashing(0, Tasks(1, 4, kWork), kCrashAfter);
    const JobId other = m_cluster->SubmitCrashing(0, Tasks(1, 2, kWork), kCrashAfter);
    m_cluster->Run(2 * kEnough);
    for (const JobId id : sound) CPPUNIT_ASSERT(m_cluster->StoredPhase(id) == JobPhase::kCompleted);
    ExpectGivenUp(job);
    ExpectGivenUp(other);
  }

  // A loss of its worker is no proof against a task, however often it comes.
  void TasksOnWorkersThatCrashByThemselvesComplete() {
    MakeCluster(true);
    std::vector<JobId> sound;
    for (int i = 0; i < 4; ++i) sound.push_back(m_cluster->Submit(0, Tasks(4, 1, kLongWork), kLongWork));
    for (int round = 0; round < 6; ++round) {
      m_cluster->Run(kWork + kLongWork / 2);
      for (const WorkerId& worker : m_cluster->Workers()) m_cluster->RestartWorkerInPlace(worker, kStep);
    }
    m_cluster->Run(2 * kEnough);
    for (const JobId id : sound) CPPUNIT_ASSERT(m_cluster->StoredPhase(id) == JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

 private:
  void MakeCluster(bool same_id) {
    ClusterSettings settings;
    settings.m_workers_report_born = same_id;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
  }

  void ExpectGivenUp(JobId job) {
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
    CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == JobPhase::kFailed);
    CPPUNIT_ASSERT(m_cluster->Sim().CrashesBy(FirstTask(job)) <= kMostCrashes);
  }

  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

}  // namespace
}  // namespace hickoryquay::service
