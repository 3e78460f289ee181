// Regression tests for faults found in simulations, each reduced to a minimal sequence. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};  // Election, loading of tables, first polls.
constexpr Millis kTaskTime{2'000};

jobs::StepSpec Tasks(int count, int accelerators) {
  jobs::StepSpec step;
  step.m_tasks = count;
  step.m_task = Resources{accelerators, 1'000, 1'000};
  step.m_estimate = kTaskTime;
  return step;
}

jobs::StepSpec Gang(int count, int accelerators) {
  jobs::StepSpec step = Tasks(count, accelerators);
  step.m_gang = true;
  return step;
}

class FaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsTest);
  CPPUNIT_TEST(JobsComplete);
  CPPUNIT_TEST(CancelAppliesAfterTableRescan);
  CPPUNIT_TEST(TasksOfSilentWorkerRunElsewhere);
  CPPUNIT_TEST(ConnectionResetDoesNotClearWorker);
  CPPUNIT_TEST(KilledWorkerIsClearedBeforeLeaseEnd);
  CPPUNIT_TEST(GangOfRemovedWorkerRestartsAtOnce);
  CPPUNIT_TEST(TakeoverWaitsForUnreachableWorker);
  CPPUNIT_TEST(PollsAfterStopsAreBounded);
  CPPUNIT_TEST(LateStartIsNotRunTwice);
  CPPUNIT_TEST(UnansweredStartDoesNotStopItsGang);
  CPPUNIT_TEST(DelayedStartIsNotTreatedAsUnsent);
  CPPUNIT_TEST(SuspendedLeaderKeepsInvariants);
  CPPUNIT_TEST(LostWritesAreResolved);
  CPPUNIT_TEST(RejectedRowHoldsUpOnlyItsOwnJob);
  CPPUNIT_TEST(EndWhoseRowIsRejectedIsNotRunAgain);
  CPPUNIT_TEST(WorkersWithExpiredRowsStayInUse);
  CPPUNIT_TEST(DeadWorkerWithExpiredRowGetsNoTasks);
  CPPUNIT_TEST(WorkerIsRemovedIfRowDoesNotReturn);
  CPPUNIT_TEST(UnreadableRowRemovesWorkerAfterOutage);
  CPPUNIT_TEST(RowsOfManyExpiredJobsAreAllDeleted);
  CPPUNIT_TEST(UnreadablePhaseRowIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_cluster = std::make_unique<SimCluster>(ClusterSettings{}); }
  void tearDown() override { m_cluster.reset(); }

  void JobsComplete() {
    m_cluster->Run(kStartup);
    const JobId single = m_cluster->Submit(0, Tasks(10, 1), kTaskTime);
    const JobId gang = m_cluster->Submit(1, Gang(3, 8), kTaskTime, 0);
    const JobId steps = m_cluster->SubmitSteps(2, {Tasks(2, 1), AfterFirst(Tasks(3, 2))}, kTaskTime, 2);
    m_cluster->Run(Millis{6'000});
    for (const JobId job : {single, gang, steps}) CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // Guards against a row that the store won't take and that is sent for ever, while nothing else is stored or started.
  void RejectedRowHoldsUpOnlyItsOwnJob() {
    m_cluster->Run(kStartup);
    const JobId rejected{3};  // Jobs are numbered from 1.
    const TableNames tables;
    m_cluster->Store().Reject(
        {tables.m_state, tables.m_leader_part, jobs::ToText(jobs::StepRowKey{{rejected, 0, 0}, 0})});
    std::vector<JobId> jobs;
    for (int i = 0; i < 6; ++i) jobs.push_back(m_cluster->Submit(i % 3, Tasks(1, 1), kTaskTime));
    CPPUNIT_ASSERT(jobs[2] == rejected);
    m_cluster->Run(Millis{6'000});
    const auto leader = m_cluster->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    m_cluster->KillInstance(*leader);  // The next one meets the same.
    m_cluster->Run(kStartup + Millis{3'000});
    jobs.push_back(m_cluster->Submit((*leader + 1) % 3, Tasks(1, 1), kTaskTime));
    m_cluster->Run(Millis{6'000});
    for (const JobId job : jobs) {
      if (job != rejected) CheckPhase(job, JobPhase::kCompleted);
    }
    CheckInvariants();
  }

  // Guards against a task that runs twice, since its worker was told that its end is recorded and it is in no row.
  void EndWhoseRowIsRejectedIsNotRunAgain() {
    m_cluster->Run(kStartup);
    const TableNames tables;
    const JobId job = m_cluster->SubmitSteps(0, {Tasks(1, 1), AfterFirst(Tasks(2, 1))}, Millis{4'000}, 1);
    m_cluster->Run(Millis{1'500});
    m_cluster->Store().Reject({tables.m_state, tables.m_leader_part, jobs::ToText(jobs::StepRowKey{{job, 0, 0}, 0})});
    m_cluster->Run(Millis{5'000});  // The first step has ended, the second one runs.
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Store().Accept();
    m_cluster->Run(Millis{15'000});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(3, m_cluster->Sim().Starts());
    CheckInvariants();
  }

  // In a full scan of the intake table, the cancel row precedes the row of its job.
  void CancelAppliesAfterTableRescan() {
    m_cluster->Run(kStartup);
    const auto leader = m_cluster->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    const int other = (*leader + 1) % 3;
    m_cluster->StoreOf(*leader).SetMood(standin::StoreMood::kRefuses);
    const JobId job = m_cluster->Submit(other, Tasks(1, 1), kTaskTime);
    m_cluster->Run(Millis{50});
    m_cluster->Cancel(other, job);
    m_cluster->Run(Millis{100});
    m_cluster->Store().ForgetHistory();
    m_cluster->StoreOf(*leader).SetMood(standin::StoreMood::kServes);
    m_cluster->Run(Millis{6'000});
    CheckPhase(job, JobPhase::kCancelled);
    CheckInvariants();
  }

  void TasksOfSilentWorkerRunElsewhere() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{4'000});  // One on each worker.
    m_cluster->Run(Millis{500});
    m_cluster->Sim().Faults(SimCluster::WorkerOf(0, 0)).m_cut = true;
    m_cluster->Run(Millis{16'000});  // The end of the lease and the repeated task.
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // A network cut may reset connections while the worker keeps running, listed or not.
  void ConnectionResetDoesNotClearWorker() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(7, 8), Millis{5'000});
    m_cluster->Run(Millis{500});
    for (int i = 0; i < 2; ++i) {
      const WorkerId cut = SimCluster::WorkerOf(0, i);
      m_cluster->Sim().Faults(cut).m_resets = true;
      m_cluster->Store().Remove({"workers", "", cut.m_value});
    }
    m_cluster->Run(Millis{18'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void KilledWorkerIsClearedBeforeLeaseEnd() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(7, 8), Millis{3'000});
    m_cluster->Run(Millis{500});
    m_cluster->KillWorker(SimCluster::WorkerOf(0, 0));
    // A poll fails, the worker is missing from the list of live workers, and the task runs again from the start: well
    // before the end of the lease.
    m_cluster->Run(Millis{6'500});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // The row is removed at the same time, as in a planned removal, so that nothing needs to time out first.
  void GangOfRemovedWorkerRestartsAtOnce() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Gang(3, 8), Millis{2'000});
    m_cluster->Run(Millis{1'000});
    const WorkerId removed = SimCluster::WorkerOf(0, 0);
    m_cluster->Sim().Kill(removed);
    m_cluster->Store().Remove({"workers", "", removed.m_value});
    m_cluster->Run(Millis{2'700});  // Its full run time again, and less than the timeout of a poll.
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // After a store outage of 4.8 s, half of the workers had no row for 2 s, and the tasks on the other half were
  // preempted for urgent work.
  void WorkersWithExpiredRowsStayInUse() {
    SimulateStoreOutage(8);
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_cluster->Run(Millis{1'400});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void DeadWorkerWithExpiredRowGetsNoTasks() {
    const WorkerId dead = SimCluster::WorkerOf(0, 0);
    SimulateStoreOutage(8, dead);
    const JobId job = m_cluster->Submit(0, Tasks(7, 8), Millis{1'000}, 0);
    m_cluster->Run(Millis{1'600});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void WorkerIsRemovedIfRowDoesNotReturn() {
    SimulateStoreOutage(4);
    m_cluster->Run(Millis{3'000});
    const int before = m_cluster->Sim().Starts();
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_cluster->Run(Millis{800});
    CPPUNIT_ASSERT_EQUAL(before + 4, m_cluster->Sim().Starts());  // On the four that are listed.
    m_cluster->Run(Millis{2'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void UnreadableRowRemovesWorkerAfterOutage() {
    SimulateStoreOutage(0);
    const WorkerId corrupted = SimCluster::WorkerOf(0, 0);
    m_cluster->CorruptRow(corrupted);
    m_cluster->Run(Millis{50});
    m_cluster->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_cluster->Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().StartsOn(corrupted));
    CheckInvariants();
  }

  void TakeoverWaitsForUnreachableWorker() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{9'000});
    m_cluster->Run(Millis{500});
    const auto leader = m_cluster->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    const WorkerId cut = SimCluster::WorkerOf(1, 1);
    m_cluster->Sim().Faults(cut).m_cut = true;
    m_cluster->KillInstance(*leader);
    m_cluster->Store().Remove({"workers", "", cut.m_value});
    m_cluster->Run(Millis{25'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void PollsAfterStopsAreBounded() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{9'000});
    m_cluster->Run(Millis{500});
    const int before = m_cluster->Sim().Looks();
    m_cluster->Cancel(1, job);
    m_cluster->Run(Millis{1'000});
    CheckPhase(job, JobPhase::kCancelled);
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Running());
    // Per worker: one poll after the stop, one that reports the end, one that acknowledges it, and one spare.
    CPPUNIT_ASSERT(m_cluster->Sim().Looks() - before <= 4 * 8);
    CheckInvariants();
  }

  void LateStartIsNotRunTwice() {
    m_cluster->Run(kStartup);
    for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Sim().Faults(worker).m_late_orders = 0.4;
    std::vector<JobId> jobs;
    for (int i = 0; i < 10; ++i)
      jobs.push_back(m_cluster->Submit(i % 3, i % 2 == 0 ? Gang(2, 4) : Tasks(3, 2), kTaskTime));
    m_cluster->Run(Millis{30'000});
    for (const WorkerId& worker : m_cluster->Workers()) m_cluster->Sim().Faults(worker).m_late_orders = 0.0;
    m_cluster->Run(Millis{30'000});
    for (const JobId job : jobs) CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // One of eight starts is lost: the gang waits only for that member, and no work is wasted.
  void UnansweredStartDoesNotStopItsGang() {
    m_cluster->Run(kStartup);
    const WorkerId late = SimCluster::WorkerOf(1, 2);
    m_cluster->Sim().Faults(late).m_late_orders = 1.0;
    const JobId job = m_cluster->Submit(0, Gang(8, 8), kTaskTime);
    m_cluster->Run(Millis{100});
    m_cluster->Sim().Faults(late).m_late_orders = 0.0;
    m_cluster->Run(kTaskTime + Millis{400});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(0.0, m_cluster->Sim().WastedCoreSeconds());
    m_cluster->Run(Millis{15'000});  // The late start arrives.
    CheckInvariants();
  }

  // A network cut delays the first start, and the repeated start can't be sent. Then the first one arrives.
  void DelayedStartIsNotTreatedAsUnsent() {
    m_cluster->Run(kStartup);
    const WorkerId cut = SimCluster::WorkerOf(0, 0);
    m_cluster->Sim().Faults(cut).m_cut = true;
    const JobId job = m_cluster->Submit(0, Tasks(8, 8), Millis{4'000});
    m_cluster->Run(Millis{150});
    m_cluster->Sim().Faults(cut).m_resets = true;
    m_cluster->Run(Millis{1'500});
    m_cluster->Sim().Faults(cut) = standin::WorkerFaults{};
    m_cluster->Run(Millis{15'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void SuspendedLeaderKeepsInvariants() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(12, 4), Millis{4'000});
    m_cluster->Run(Millis{300});
    const auto leader = m_cluster->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    m_cluster->Suspend(*leader);
    m_cluster->Run(Millis{5'000});
    m_cluster->Resume(*leader);
    m_cluster->Run(Millis{12'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  void LostWritesAreResolved() {
    m_cluster->Run(kStartup);
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kLateWrites, 0.3);
    std::vector<JobId> jobs;
    for (int i = 0; i < 6; ++i) jobs.push_back(m_cluster->Submit(i % 3, Tasks(4, 2), kTaskTime));
    m_cluster->Run(Millis{15'000});
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(standin::StoreMood::kServes);
    m_cluster->Run(Millis{20'000});
    for (const JobId job : jobs) CheckPhase(job, JobPhase::kCompleted);
    CheckInvariants();
  }

  // The deletion stopped at the limit of one transaction, and the other rows stayed for good.
  void RowsOfManyExpiredJobsAreAllDeleted() {
    m_cluster->Run(kStartup);
    for (int i = 0; i < 120; ++i) m_cluster->Submit(i % 3, Tasks(1, 0), Millis{100});
    m_cluster->Run(Millis{5'000});
    for (const JobId job : m_cluster->Submitted()) CheckPhase(job, JobPhase::kCompleted);
    const TableNames tables;
    CPPUNIT_ASSERT_EQUAL(std::size_t{120}, m_cluster->Store().Rows(tables.m_ended).size());
    m_cluster->Run(Millis{135'000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(tables.m_intake).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_cluster->Store().Rows(tables.m_ended).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_cluster->Store().Rows(tables.m_state).size());  // The leader's.
  }

  // Such a row was skipped without a word.
  void UnreadablePhaseRowIsReported() {
    m_cluster->Run(kStartup);
    const JobId job = m_cluster->Submit(0, Tasks(1, 1), kTaskTime);
    m_cluster->Run(Millis{1'000});
    CheckPhase(job, JobPhase::kRunning);
    const TableNames tables;
    m_cluster->Store().Put({tables.m_state, tables.m_leader_part, jobs::HexText(job)}, "garbled");
    m_cluster->KillInstance(*m_cluster->Leader());
    m_cluster->Run(Millis{5'000});
    CPPUNIT_ASSERT(m_cluster->Leader());
    CheckPhase(job, JobPhase::kCompleted);
    const std::string metrics = m_cluster->MetricsText();
    CPPUNIT_ASSERT_MESSAGE(metrics, metrics.find("hq_rows_unreadable_total{row=\"phase\"} 1") != std::string::npos);
  }

 private:
  // The store is silent for almost 5 s, and the rows of the first `expired_rows` workers are gone when it returns.
  // `dies` is killed meanwhile.
  void SimulateStoreOutage(int expired_rows, const std::optional<WorkerId>& dies = std::nullopt) {
    m_cluster->Run(kStartup);
    SetMood(standin::StoreMood::kSilent);
    m_cluster->Run(Millis{4'900});
    for (int i = 0; i < expired_rows; ++i) {
      m_cluster->Store().Remove({"workers", "", m_cluster->Workers()[static_cast<std::size_t>(i)].m_value});
    }
    if (dies) m_cluster->Sim().Kill(*dies);
    SetMood(standin::StoreMood::kServes);
    m_cluster->Run(Millis{1'100});  // A feed call in flight and the delay after it.
  }

  void SetMood(standin::StoreMood mood) {
    for (int i = 0; i < 3; ++i) m_cluster->StoreOf(i).SetMood(mood);
  }

  static jobs::StepSpec AfterFirst(jobs::StepSpec step) {
    step.m_after = {0};
    return step;
  }

  void CheckPhase(JobId job, JobPhase expected) {
    const auto phase = m_cluster->StoredPhase(job);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(jobs::HexText(job), std::string(jobs::ToString(expected)),
                                 phase ? std::string(jobs::ToString(*phase)) : std::string("no phase"));
  }

  void CheckInvariants() { CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations()); }

  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}  // namespace
}  // namespace hickoryquay::service
