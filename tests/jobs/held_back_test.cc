// Work that could run and is held back: for how long, in a pool with ample room.

#include <cppunit/extensions/HelperMacros.h>

#include <iterator>
#include <memory>
#include <utility>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

class HeldBackTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(HeldBackTest);
  CPPUNIT_TEST(GangDoesNotWaitForARackThatNeverEmpties);
  CPPUNIT_TEST(GangDoesNotWaitForWorkersThatRest);
  CPPUNIT_TEST(GangWaitsForItsRackInAFullService);
  CPPUNIT_TEST(LastingTaskIsStartedAgainInAFairlyFullService);
  CPPUNIT_TEST(LastingTaskIsStartedAgainAtOnce);
  CPPUNIT_TEST(NewLastingTaskIsNotHeldBackByTheFreeShare);
  CPPUNIT_TEST(LargeGangIsNotHeldBackByTheFreeShare);
  CPPUNIT_TEST(FreeShareCountsTheWorkersOfItsOwnPool);
  CPPUNIT_TEST(TaskDoesNotWaitForTheRackOfItsData);
  CPPUNIT_TEST(TaskDoesNotWaitForWorkersThatRest);
  CPPUNIT_TEST(TaskWithoutAcceleratorsIsNotHeldBackByTheFreeShare);
  CPPUNIT_TEST(GangIsNotHeldBackForEverWhileMostCoresAreFree);
  CPPUNIT_TEST(GangWaitsForItsRackInAFullServiceWithoutAccelerators);
  CPPUNIT_TEST(RefusedStartDoesNotBeginTheWaitAnew);
  CPPUNIT_TEST(GangAvoidsRestingWorkersWhereAnotherRackHasRoom);
  CPPUNIT_TEST(LastingTaskDoesNotWaitWhileAnotherOfItsStepRuns);
  CPPUNIT_TEST(SpreadGangDoesNotWaitForTheRackOfItsData);
  CPPUNIT_TEST(RoomIsNotKeptForWorkThatWaitsForItsData);
  CPPUNIT_TEST(GuaranteeDoesNotWaitForTheRackOfItsData);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gang for one rack that has nothing running while lasting tasks keep a worker of each rack busy.
  void GangDoesNotWaitForARackThatNeverEmpties() {
    OccupyOnePerRack();
    CheckStartsInTime(Submit(Gang(kRackSize, kAccelerators, true), 1));
  }

  // Guards against a gang for one rack that waits for workers of it that rest again and again.
  void GangDoesNotWaitForWorkersThatRest() {
    Rest({WorkerAt(0), WorkerAt(kRackSize), WorkerAt(2 * kRackSize)});
    CheckStartsInTime(Submit(Gang(kRackSize, kAccelerators, true), 1));
  }

  // Guards against gangs that are spread over racks, where they run slower, because a busy service is busy.
  void GangWaitsForItsRackInAFullService() {
    for (int i = 0; i < kWorkers; ++i) {
      if (i % 2 == 0) Occupy(WorkerAt(i), kAccelerators);
    }
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, kBound * 4));
  }

  // Guards against a lasting task that stays down after its worker left: the free share kept it off what was free.
  void LastingTaskIsStartedAgainInAFairlyFullService() {
    const JobId lasting = Submit(Lasting(4), 2);
    Confirm(Round());
    for (int i = 0; i < kWorkers; ++i) {
      if (!Holds(WorkerAt(i), lasting)) Occupy(WorkerAt(i), i < kMostWorkers ? kAccelerators : 4);
    }
    End(lasting, EndKind::kFailed);
    CheckStartsInTime(lasting);
  }

  // As above, without a wait: callers depend on a task that lasts.
  void LastingTaskIsStartedAgainAtOnce() {
    const JobId lasting = Submit(Lasting(4), 2);
    Confirm(Round());
    for (int i = 0; i < kWorkers; ++i) {
      if (!Holds(WorkerAt(i), lasting)) Occupy(WorkerAt(i), i < kMostWorkers ? kAccelerators : 4);
    }
    End(lasting, EndKind::kFailed);
    CPPUNIT_ASSERT(WaitUntilPlaced(lasting, kRound * 2));
  }

  // Guards against a lasting task that is never begun because the free share is kept for work that doesn't come.
  void NewLastingTaskIsNotHeldBackByTheFreeShare() {
    for (int i = 0; i < kMostWorkers; ++i) Occupy(WorkerAt(i), kAccelerators);
    CheckStartsInTime(Submit(Lasting(4), 2));
  }

  // Guards against a large gang that has nothing running with half of the service free.
  void LargeGangIsNotHeldBackByTheFreeShare() {
    constexpr int kUsed = 11;
    for (int i = 0; i < kUsed; ++i) Occupy(WorkerAt(i), kAccelerators);
    Occupy(WorkerAt(kUsed), 4);
    CheckStartsInTime(Submit(Gang(6, kAccelerators, false), 2));
  }

  // Guards against work of an empty service that waits because another service is full.
  void FreeShareCountsTheWorkersOfItsOwnPool() {
    for (int i = 0; i < kWorkers; ++i) Occupy(WorkerAt(i), kAccelerators);
    List(WorkerId{"other"}, kOtherPool, "r9");
    const JobId job = Submit(Single(4), 1, kOtherPool);
    CPPUNIT_ASSERT(WaitUntilPlaced(job, kRound * 2));
  }

  // Guards against a task that waits for the full rack of its data with a distant objective.
  void TaskDoesNotWaitForTheRackOfItsData() {
    for (int i = 0; i < kRackSize - 1; ++i) Occupy(WorkerAt(i), kAccelerators);
    Occupy(WorkerAt(kRackSize - 1), 4);
    StepSpec task = Single(kAccelerators);
    task.m_data_rack = "r0";
    CheckStartsInTime(Submit(task, 1));
  }

  // Guards against a task that waits for workers that refuse starts in a row, which rest for 4 s.
  void TaskDoesNotWaitForWorkersThatRest() {
    std::set<WorkerId> all;
    for (int i = 0; i < kWorkers; ++i) all.insert(WorkerAt(i));
    Rest(all);
    CheckStartsInTime(Submit(Single(1), 1));
  }

  // Guards against a task that can't use up the reserve and waits for it all the same, new or started again.
  void TaskWithoutAcceleratorsIsNotHeldBackByTheFreeShare() {
    StepSpec task = Single(0);
    task.m_task.m_millicores = 1'000;
    const JobId again = Submit(task, 1);
    Confirm(Round());
    for (int i = 0; i < 20; ++i) Occupy(WorkerAt(i), kAccelerators);
    End(again, EndKind::kFailed);
    CPPUNIT_ASSERT(WaitUntilPlaced(again, kBound));
    CPPUNIT_ASSERT(WaitUntilPlaced(Submit(task, 1), kRound * 2));
  }

  // Guards against a reserve without a bound: 15 of 24 workers are in use, 63% of the accelerators and 23% of all.
  void GangIsNotHeldBackForEverWhileMostCoresAreFree() {
    for (int i = 0; i < 15; ++i) Occupy(WorkerAt(i), kAccelerators);
    CPPUNIT_ASSERT(WaitUntilPlaced(Submit(Gang(4, kAccelerators, false), 2), Millis{10'500}));
  }

  // As GangWaitsForItsRackInAFullService, on workers without accelerators: 7/8 of the cores are in use.
  void GangWaitsForItsRackInAFullServiceWithoutAccelerators() {
    const PoolName cores{"cores"};
    constexpr int kCores = 8'000;
    const auto worker_at = [](int index) { return WorkerId{"c" + std::to_string(100 + index)}; };
    for (int i = 0; i < kWorkers; ++i) {
      List(worker_at(i), cores, "r" + std::to_string(i / kRackSize), Resources{0, kCores, 64'000});
      StepSpec step;
      step.m_task = Resources{0, i % kRackSize < 6 ? kCores : kCores / 2, 1'000};
      step.m_long_running = true;
      Submit(step, 0, cores);
      Confirm(Round());
      m_scheduler->SetWorkerUsable(worker_at(i), false);
    }
    for (int i = 0; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(worker_at(i), true);
    StepSpec gang = Gang(10, 0, true);
    gang.m_task.m_millicores = 1'000;
    CPPUNIT_ASSERT(!WaitUntilPlaced(Submit(gang, 1, cores), kBound * 4));
  }

  // Guards against a bound that counts from the last try: a refused start doubled the time with nothing running.
  void RefusedStartDoesNotBeginTheWaitAnew() {
    for (int i = 0; i < kRackSize - 1; ++i) Occupy(WorkerAt(i), kAccelerators);
    Occupy(WorkerAt(kRackSize - 1), 4);
    StepSpec task = Single(kAccelerators);
    task.m_data_rack = "r0";
    const JobId job = Submit(task, 1);
    CheckStartsInTime(job);
    for (const auto& [key, run] : m_runs) {
      if (key.m_step.m_job == job) m_scheduler->OnStartAnswer(run, StartOutcome::kNoRoom, At(m_time));
    }
    CPPUNIT_ASSERT(WaitUntilPlaced(job, kRound * 5));
  }

  // Guards against a lasting task that stays down because each look at another one of its step began the wait anew.
  void LastingTaskDoesNotWaitWhileAnotherOfItsStepRuns() {
    StepSpec step = Lasting(kAccelerators);
    step.m_tasks = 2;
    step.m_data_rack = "r0";
    const JobId job = Submit(step, 1);
    Confirm(Round());
    for (int i = 0; i < kRackSize; ++i) {
      if (!Holds(WorkerAt(i), job)) Occupy(WorkerAt(i), kAccelerators);
    }
    const auto [ended, left] = std::pair{m_runs.begin()->second, std::next(m_runs.begin())->second};
    CPPUNIT_ASSERT(ended.m_task.m_step.m_job == job && left.m_task.m_step.m_job == job);
    PollReply reply;
    reply.m_ended = {{++m_ends, ended.m_task, ended.m_run, EndKind::kFailed, ""}};
    m_scheduler->OnPollReply(ended.m_worker, reply, At(m_time).m_steady, At(m_time));
    Occupy(ended.m_worker, kAccelerators);
    for (const Millis until = m_time + kBound; m_time <= until; m_time += kRound) {
      PollReply look;
      look.m_running = {{left.m_task, left.m_run, "", 100}};
      m_scheduler->OnPollReply(left.m_worker, look, At(m_time).m_steady, At(m_time));
      for (const StartCommand& start : Round()) {
        if (start.m_task == ended.m_task) return;
      }
    }
    CPPUNIT_FAIL("not started again");
  }

  // Guards against members on workers that rest though sound ones have room. Six of r1 are free, two of which rest.
  void GangAvoidsRestingWorkersWhereAnotherRackHasRoom() {
    for (int i = 0; i < 10; ++i) Occupy(WorkerAt(i), kAccelerators);
    Occupy(WorkerAt(2 * kRackSize), kAccelerators);
    Rest({WorkerAt(10), WorkerAt(11)});
    const JobId gang = Submit(Gang(6, kAccelerators, true), 2);
    CheckStartsInTime(gang);
    CPPUNIT_ASSERT(!Holds(WorkerAt(10), gang) && !Holds(WorkerAt(11), gang));
  }

  // Guards against a gang with a limit per worker that waits for its data, since its members can't lie beside others.
  void SpreadGangDoesNotWaitForTheRackOfItsData() {
    for (int i = 0; i < kRackSize; ++i) Occupy(WorkerAt(i), kAccelerators);
    StepSpec gang = Gang(kRackSize + 2, 2, false);
    gang.m_max_per_worker = 1;
    gang.m_data_rack = "r0";
    CheckStartsInTime(Submit(gang, 1));
  }

  // Guards against work that waits for room that is kept for an urgent gang, which waits for the rack of its data.
  void RoomIsNotKeptForWorkThatWaitsForItsData() {
    for (int i = 0; i < kRackSize; ++i) Occupy(WorkerAt(i), kAccelerators);
    StepSpec urgent = Gang(kRackSize / 2 * 3, kAccelerators, false);
    urgent.m_data_rack = "r0";
    Submit(urgent, 0);
    CheckStartsInTime(Submit(Gang(5, kAccelerators, false), 1));
  }

  // Guards against work within a guarantee that has others stopped and does not take the room, which is not by its
  // data.
  void GuaranteeDoesNotWaitForTheRackOfItsData() {
    auto configuration = std::make_shared<QueueConfiguration>();
    configuration->m_accounts = {{AccountId{}, {}, kWorkers * kAccelerators}};
    m_scheduler->SetConfiguration(configuration);
    for (int i = 0; i < kRackSize; ++i) Occupy(WorkerAt(i), kAccelerators);
    StepSpec urgent = Gang(kRackSize / 2 * 3, kAccelerators, false);
    urgent.m_data_rack = "r0";
    CheckStartsInTime(Submit(urgent, 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldBackTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
