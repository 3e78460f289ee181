// Load patterns in virtual time, one per test: which jobs wait, which are preempted, and where tasks are placed.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kStartup{3'000};
constexpr int kWorkers = 16;
constexpr int kAccelerators = 8 * kWorkers;

jobs::StepSpec RackGang(int count, int accelerators, Millis estimate) {
  jobs::StepSpec step = Tasks(count, accelerators, estimate);
  step.m_gang = true;
  step.m_rack_local = true;
  return step;
}

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(UrgentBurstStartsWithoutStoppingBatch);
  CPPUNIT_TEST(BatchBacklogCompletes);
  CPPUNIT_TEST(LateBatchMayUseTheReserve);
  CPPUNIT_TEST(BatchGangLargerThanTheReserveStarts);
  CPPUNIT_TEST(UrgentGangPrefersFastWorkers);
  CPPUNIT_TEST(SmallUrgentTaskDoesNotPreemptLargeGang);
  CPPUNIT_TEST(UrgentGangPreemptsTasksWithLittleProgress);
  CPPUNIT_TEST(GuaranteePreemptsWhateverTheLoss);
  CPPUNIT_TEST(CheckpointedTasksMoveOffDrainingWorker);
  CPPUNIT_TEST(TaskTooLongForDrainRestartsElsewhere);
  CPPUNIT_TEST(TaskShortEnoughForDrainStays);
  CPPUNIT_TEST(WorkerWithHungTasksGetsNoNewTasks);
  CPPUNIT_TEST(JobTimesAreMeasured);
  CPPUNIT_TEST(ManyStartsAreStoredOverASmallLink);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Build({1.0}); }

  void Build(const std::vector<double>& speeds) {
    m_cluster.reset();
    ClusterSettings settings;
    settings.m_speeds = speeds;
    settings.m_racks = 4;
    settings.m_workers_per_rack = 4;
    settings.m_workers.m_stop = Millis{900};
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
  }
  void tearDown() override { m_cluster.reset(); }

  // Some accelerators are kept free of batch work. Without this reserve the burst waits 900 ms for batch tasks to stop.
  void UrgentBurstStartsWithoutStoppingBatch() {
    m_cluster->Submit(0, Tasks(2 * kAccelerators, 1, Millis{7'000}), Millis{7'000}, 2);
    m_cluster->Run(Millis{1'000});
    const double before = m_cluster->Sim().WastedCoreSeconds();
    const JobId urgent = m_cluster->Submit(0, RackGang(4, 8, Millis{2'000}), Millis{2'000}, 0);
    m_cluster->Run(Millis{2'300});  // Its run time and less than a third of a stop.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(before, m_cluster->Sim().WastedCoreSeconds());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void BatchBacklogCompletes() {
    const JobId batch = m_cluster->Submit(0, Tasks(2 * kAccelerators, 1, Millis{3'000}), Millis{3'000}, 2);
    m_cluster->Run(Millis{12'000});  // Three waves on the 70% of accelerators open to batch.
    CheckPhase(batch, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // A batch job that has used up most of its slack, twice its estimate, while waiting may use the reserve.
  void LateBatchMayUseTheReserve() {
    m_cluster->Submit(0, Tasks(kAccelerators, 1, Millis{60'000}), Millis{60'000}, 2);
    m_cluster->Run(Millis{500});
    const JobId late = m_cluster->Submit(0, Tasks(8, 1, Millis{2'000}), Millis{2'000}, 2);
    m_cluster->Run(Millis{6'000});
    CheckPhase(late, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Found by the fuzz test: such a gang waited forever, since placing it would leave less than the reserve.
  void BatchGangLargerThanTheReserveStarts() {
    jobs::StepSpec gang = RackGang(kWorkers - 2, 8, Millis{2'000});
    gang.m_rack_local = false;
    const JobId large = m_cluster->Submit(0, gang, Millis{2'000}, 2);
    m_cluster->Run(Millis{3'000});
    CheckPhase(large, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // The speed of workers is estimated from the batch tasks of one step.
  void UrgentGangPrefersFastWorkers() {
    Build({0.8, 1.25});
    m_cluster->Submit(0, Tasks(2 * kAccelerators, 1, Millis{2'000}), Millis{2'000}, 2);
    m_cluster->Run(Millis{12'000});
    jobs::StepSpec gang = RackGang(6, 8, Millis{4'000});
    gang.m_rack_local = false;
    const JobId urgent = m_cluster->Submit(0, gang, Millis{4'000}, 0);
    m_cluster->Run(Millis{3'400});  // 3.2 s on fast workers, 5 s on slow ones.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Preempting it would waste thousands of core-seconds for a task of five.
  void SmallUrgentTaskDoesNotPreemptLargeGang() {
    const JobId large = m_cluster->Submit(0, WholeCluster(Millis{6'000}), Millis{6'000}, 1);
    m_cluster->Run(Millis{4'000});
    const JobId urgent = m_cluster->Submit(0, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    m_cluster->Run(Millis{4'000});
    CheckPhase(large, JobPhase::kCompleted);
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(0.0, m_cluster->Sim().WastedCoreSeconds());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void UrgentGangPreemptsTasksWithLittleProgress() {
    m_cluster->Submit(0, WholeCluster(Millis{60'000}), Millis{60'000}, 1);
    m_cluster->Run(Millis{300});
    const JobId urgent = m_cluster->Submit(0, RackGang(4, 8, Millis{2'000}), Millis{2'000}, 0);
    m_cluster->Run(Millis{3'500});
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void GuaranteePreemptsWhateverTheLoss() {
    m_cluster->SetGuarantee(8);
    m_cluster->Submit(0, WholeCluster(Millis{60'000}), Millis{60'000}, 1);
    m_cluster->Run(Millis{20'000});
    const JobId urgent = m_cluster->Submit(0, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    m_cluster->Run(Millis{2'700});  // Limit for serving a guarantee, including the task's run time.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void CheckpointedTasksMoveOffDrainingWorker() {
    jobs::StepSpec step = Tasks(kWorkers, 1, Millis{8'000});
    step.m_max_per_worker = 1;
    step.m_checkpoints = true;
    const JobId job = m_cluster->Submit(0, step, Millis{8'000}, 2);
    m_cluster->Run(Millis{2'500});
    const WorkerId leaving = SimCluster::WorkerOf(0, 0);
    m_cluster->Drain(leaving, Millis{3'000});
    m_cluster->Run(Millis{3'000});
    const double before = m_cluster->Sim().WastedCoreSeconds();
    m_cluster->KillWorker(leaving);
    CPPUNIT_ASSERT_EQUAL(before, m_cluster->Sim().WastedCoreSeconds());
    m_cluster->Run(Millis{14'000});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // The task would be lost with its worker in 3 s, halfway through.
  void TaskTooLongForDrainRestartsElsewhere() {
    const JobId job = m_cluster->Submit(0, WholeWorkers(kWorkers / 2, Millis{6'000}), Millis{6'000}, 2);
    m_cluster->Run(Millis{200});
    m_cluster->Drain(BusyWorker(), Millis{3'000});
    m_cluster->Run(Millis{7'500});  // The stop and its full run time, but not another 3 s.
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void TaskShortEnoughForDrainStays() {
    const JobId job = m_cluster->Submit(0, WholeWorkers(kWorkers / 2, Millis{2'000}), Millis{2'000}, 2);
    m_cluster->Run(Millis{200});
    m_cluster->Drain(BusyWorker(), Millis{4'500});
    m_cluster->Run(Millis{2'500});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(kWorkers / 2, m_cluster->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void WorkerWithHungTasksGetsNoNewTasks() {
    jobs::StepSpec spread = Tasks(kWorkers, 4, Millis{20'000});
    spread.m_max_per_worker = 1;
    m_cluster->Submit(0, spread, Millis{20'000}, 2);
    m_cluster->Run(Millis{3'000});
    const WorkerId stuck = SimCluster::WorkerOf(1, 1);
    m_cluster->Sim().Faults(stuck).m_hangs = true;
    m_cluster->Run(Millis{4'500});  // Two long polls of up to 2 s.
    const int before = m_cluster->Sim().StartsOn(stuck);
    const JobId urgent = m_cluster->Submit(0, Tasks(kWorkers - 1, 4, Millis{1'000}), Millis{1'000}, 0);
    m_cluster->Run(Millis{1'500});
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(before, m_cluster->Sim().StartsOn(stuck));
    m_cluster->Sim().Faults(stuck).m_hangs = false;
    m_cluster->Run(Millis{4'500});
    m_cluster->Submit(0, Tasks(kWorkers, 4, Millis{1'000}), Millis{1'000}, 0);
    m_cluster->Run(Millis{1'500});
    CPPUNIT_ASSERT(m_cluster->Sim().StartsOn(stuck) > before);  // It gets tasks again.
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  // Thousands of tasks start at once, and all instances sit behind links of 2 Mbit/s. What their rows need on the link
  // must not cost the leader its role.
  void ManyStartsAreStoredOverASmallLink() {
    m_cluster.reset();
    ClusterSettings settings;
    settings.m_racks = 20;
    settings.m_workers_per_rack = 20;
    settings.m_link_bytes_per_ms = 250;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
    std::vector<JobId> jobs;
    for (int i = 0; i < 32; ++i)
      jobs.push_back(m_cluster->Submit(i % 3, Tasks(100, 1, Millis{4'000}), Millis{4'000}, 0));
    m_cluster->Run(Millis{12'000});
    for (const JobId job : jobs) CheckPhase(job, JobPhase::kCompleted);
    const std::string text = m_cluster->MetricsText();
    CPPUNIT_ASSERT_MESSAGE(text, text.find("hq_takeovers_total 1\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void JobTimesAreMeasured() {
    const JobId job = m_cluster->Submit(0, Tasks(1, 1, Millis{1'000}), Millis{1'000}, 0);
    m_cluster->Run(Millis{2'000});
    CheckPhase(job, JobPhase::kCompleted);
    const std::string text = m_cluster->MetricsText();
    for (const char* line : {"hq_jobs_ended_total{phase=\"completed\"} 1", "hq_job_wait_ms_count{priority=\"0\"} 1",
                             "hq_job_ms_count{priority=\"0\"} 1", "hq_takeovers_total 1", "hq_takeover_ms_count 1"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(line) + " in\n" + text, text.find(line) != std::string::npos);
    }
  }

 private:
  static jobs::StepSpec WholeCluster(Millis estimate) {
    jobs::StepSpec gang = RackGang(kWorkers, 8, estimate);
    gang.m_rack_local = false;
    return gang;
  }

  static jobs::StepSpec WholeWorkers(int count, Millis estimate) { return Tasks(count, 8, estimate); }

  // Returns the first worker on which a task has started.
  WorkerId BusyWorker() {
    for (const WorkerId& worker : m_cluster->Workers()) {
      if (m_cluster->Sim().StartsOn(worker) > 0) return worker;
    }
    CPPUNIT_FAIL("no worker has started anything");
    return {};
  }

  void CheckPhase(JobId job, JobPhase expected) {
    const auto phase = m_cluster->StoredPhase(job);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(jobs::HexText(job), std::string(jobs::ToString(expected)),
                                 phase ? std::string(jobs::ToString(*phase)) : std::string("no phase"));
  }

  std::unique_ptr<SimCluster> m_cluster;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace hickoryquay::service
