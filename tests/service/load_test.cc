// Loads of heavy days in virtual time, each named by its pattern: who waits, and where work goes.

#include <cppunit/extensions/HelperMacros.h>

#include "tests/service/service_world.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kSettle{3'000};
constexpr int kWorkers = 16;
constexpr int kAccelerators = 8 * kWorkers;

jobs::StepSpec Tasks(int count, int accelerators, Millis estimate) {
  jobs::StepSpec step;
  step.m_tasks = count;
  step.m_task = Resources{accelerators, 1'000, 1'000};
  step.m_estimate = estimate;
  return step;
}

jobs::StepSpec RackGang(int count, int accelerators, Millis estimate) {
  jobs::StepSpec step = Tasks(count, accelerators, estimate);
  step.m_gang = true;
  step.m_rack_local = true;
  return step;
}

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(UrgentBurstOverBatchBacklogStartsWithoutStops);
  CPPUNIT_TEST(BatchBacklogEndsAllTheSame);
  CPPUNIT_TEST(PressingBatchMayUseTheReserve);
  CPPUNIT_TEST(BatchGangLargerThanTheReserveStarts);
  CPPUNIT_TEST(UrgentGangTakesWorkersThatProvedFast);
  CPPUNIT_TEST(SmallUrgentTaskSparesLargeGang);
  CPPUNIT_TEST(UrgentGangStopsWhatLosesLittle);
  CPPUNIT_TEST(GuaranteeIsServedWhateverIsLost);
  CPPUNIT_TEST(SavedWorkLeavesDrainingWorkerInTime);
  CPPUNIT_TEST(WorkThatCannotEndOnLeavingWorkerStartsElsewhere);
  CPPUNIT_TEST(WorkThatCanEndOnLeavingWorkerStays);
  CPPUNIT_TEST(WorkerWhoseTasksStandStillGetsNothingNew);
  CPPUNIT_TEST(LegsOfJobsAreMeasured);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Build({1.0}); }

  void Build(const std::vector<double>& speeds) {
    m_world.reset();
    WorldSettings settings;
    settings.m_speeds = speeds;
    settings.m_racks = 4;
    settings.m_workers_per_rack = 4;
    settings.m_workers.m_stop = Millis{900};
    m_world = std::make_unique<ServiceWorld>(settings);
    m_world->Run(kSettle);
  }
  void tearDown() override { m_world.reset(); }

  // Before accelerators were kept free the burst waited for the stop of batch tasks, 900 ms.
  void UrgentBurstOverBatchBacklogStartsWithoutStops() {
    m_world->Submit(0, Tasks(2 * kAccelerators, 1, Millis{7'000}), Millis{7'000}, 2);
    m_world->Run(Millis{1'000});
    const double before = m_world->Sim().WastedCoreSeconds();
    const JobId urgent = m_world->Submit(0, RackGang(4, 8, Millis{2'000}), Millis{2'000}, 0);
    m_world->Run(Millis{2'300});  // Its work, and less than a third of a stop.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(before, m_world->Sim().WastedCoreSeconds());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void BatchBacklogEndsAllTheSame() {
    const JobId batch = m_world->Submit(0, Tasks(2 * kAccelerators, 1, Millis{3'000}), Millis{3'000}, 2);
    m_world->Run(Millis{12'000});  // Three waves in the seven tenths that batch may fill.
    CheckPhase(batch, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  // Its slack, twice the estimate, has nearly gone while it waited behind the reserve.
  void PressingBatchMayUseTheReserve() {
    m_world->Submit(0, Tasks(kAccelerators, 1, Millis{60'000}), Millis{60'000}, 2);
    m_world->Run(Millis{500});
    const JobId late = m_world->Submit(0, Tasks(8, 1, Millis{2'000}), Millis{2'000}, 2);
    m_world->Run(Millis{6'000});
    CheckPhase(late, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  // Found by the fuzz: it waited for ever, since it would have left less than the reserve.
  void BatchGangLargerThanTheReserveStarts() {
    jobs::StepSpec gang = RackGang(kWorkers - 2, 8, Millis{2'000});
    gang.m_rack_local = false;
    const JobId large = m_world->Submit(0, gang, Millis{2'000}, 2);
    m_world->Run(Millis{3'000});
    CheckPhase(large, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  // Batch tasks of one step tell which workers are fast.
  void UrgentGangTakesWorkersThatProvedFast() {
    Build({0.8, 1.25});
    m_world->Submit(0, Tasks(2 * kAccelerators, 1, Millis{2'000}), Millis{2'000}, 2);
    m_world->Run(Millis{12'000});
    jobs::StepSpec gang = RackGang(6, 8, Millis{4'000});
    gang.m_rack_local = false;
    const JobId urgent = m_world->Submit(0, gang, Millis{4'000}, 0);
    m_world->Run(Millis{3'400});  // 3.2 s on fast workers, 5 s on slow ones.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  // Stopping it would throw away thousands of core-seconds for a task of five.
  void SmallUrgentTaskSparesLargeGang() {
    const JobId large = m_world->Submit(0, WholeCluster(Millis{6'000}), Millis{6'000}, 1);
    m_world->Run(Millis{4'000});
    const JobId urgent = m_world->Submit(0, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    m_world->Run(Millis{4'000});
    CheckPhase(large, JobPhase::kCompleted);
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(0.0, m_world->Sim().WastedCoreSeconds());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void UrgentGangStopsWhatLosesLittle() {
    m_world->Submit(0, WholeCluster(Millis{60'000}), Millis{60'000}, 1);
    m_world->Run(Millis{300});
    const JobId urgent = m_world->Submit(0, RackGang(4, 8, Millis{2'000}), Millis{2'000}, 0);
    m_world->Run(Millis{3'500});
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void GuaranteeIsServedWhateverIsLost() {
    m_world->Guarantee(8);
    m_world->Submit(0, WholeCluster(Millis{60'000}), Millis{60'000}, 1);
    m_world->Run(Millis{20'000});
    const JobId urgent = m_world->Submit(0, Tasks(1, 1, Millis{500}), Millis{500}, 0);
    m_world->Run(Millis{2'700});  // A guarantee is to be served within this, the task included.
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void SavedWorkLeavesDrainingWorkerInTime() {
    jobs::StepSpec step = Tasks(kWorkers, 1, Millis{8'000});
    step.m_max_per_worker = 1;
    step.m_checkpoints = true;
    const JobId job = m_world->Submit(0, step, Millis{8'000}, 2);
    m_world->Run(Millis{2'500});
    const WorkerId leaving = ServiceWorld::WorkerOf(0, 0);
    m_world->Drain(leaving, Millis{3'000});
    m_world->Run(Millis{3'000});
    const double before = m_world->Sim().WastedCoreSeconds();
    m_world->KillWorker(leaving);
    CPPUNIT_ASSERT_EQUAL(before, m_world->Sim().WastedCoreSeconds());
    m_world->Run(Millis{14'000});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  // It would be lost with its worker in 3 s, at half of its work.
  void WorkThatCannotEndOnLeavingWorkerStartsElsewhere() {
    const JobId job = m_world->Submit(0, WholeWorkers(kWorkers / 2, Millis{6'000}), Millis{6'000}, 2);
    m_world->Run(Millis{200});
    m_world->Drain(BusyWorker(), Millis{3'000});
    m_world->Run(Millis{7'500});  // The stop and the whole of its work, not 3 s more.
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void WorkThatCanEndOnLeavingWorkerStays() {
    const JobId job = m_world->Submit(0, WholeWorkers(kWorkers / 2, Millis{2'000}), Millis{2'000}, 2);
    m_world->Run(Millis{200});
    m_world->Drain(BusyWorker(), Millis{4'500});
    m_world->Run(Millis{2'500});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(kWorkers / 2, m_world->Sim().Starts());
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void WorkerWhoseTasksStandStillGetsNothingNew() {
    jobs::StepSpec spread = Tasks(kWorkers, 4, Millis{20'000});
    spread.m_max_per_worker = 1;
    m_world->Submit(0, spread, Millis{20'000}, 2);
    m_world->Run(Millis{3'000});
    const WorkerId stuck = ServiceWorld::WorkerOf(1, 1);
    m_world->Sim().Faults(stuck).m_hangs = true;
    m_world->Run(Millis{4'500});  // Two looks of 2 s.
    const int before = m_world->Sim().StartsOn(stuck);
    const JobId urgent = m_world->Submit(0, Tasks(kWorkers - 1, 4, Millis{1'000}), Millis{1'000}, 0);
    m_world->Run(Millis{1'500});
    CheckPhase(urgent, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(before, m_world->Sim().StartsOn(stuck));
    m_world->Sim().Faults(stuck).m_hangs = false;
    m_world->Run(Millis{4'500});
    m_world->Submit(0, Tasks(kWorkers, 4, Millis{1'000}), Millis{1'000}, 0);
    m_world->Run(Millis{1'500});
    CPPUNIT_ASSERT(m_world->Sim().StartsOn(stuck) > before);  // It is back to work.
    CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations());
  }

  void LegsOfJobsAreMeasured() {
    const JobId job = m_world->Submit(0, Tasks(1, 1, Millis{1'000}), Millis{1'000}, 0);
    m_world->Run(Millis{2'000});
    CheckPhase(job, JobPhase::kCompleted);
    const std::string text = m_world->MetricsText();
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

  // Some worker on which a task has started.
  WorkerId BusyWorker() {
    for (const WorkerId& worker : m_world->Workers()) {
      if (m_world->Sim().StartsOn(worker) > 0) return worker;
    }
    CPPUNIT_FAIL("no worker has started anything");
    return {};
  }

  void CheckPhase(JobId job, JobPhase expected) {
    const auto phase = m_world->StoredPhase(job);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(jobs::HexText(job), std::string(jobs::ToString(expected)),
                                 phase ? std::string(jobs::ToString(*phase)) : std::string("no phase"));
  }

  std::unique_ptr<ServiceWorld> m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace hickoryquay::service
