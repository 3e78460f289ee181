// Work that the scheduler interrupted, beyond the loss of a worker, and what it may take from others.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <vector>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

constexpr int kBatch = 2;  // Priority.
constexpr Millis kSecond{1'000};

class InterruptedWorkTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(InterruptedWorkTest);
  CPPUNIT_TEST(TaskThatLeftItsWorkerIsNotStoppedForUrgentWork);
  CPPUNIT_TEST(TaskThatAnEarlierLeaderLostIsNotStoppedForUrgentWork);
  CPPUNIT_TEST(TaskThatWasLostLongAgoMakesRoomForUrgentWork);
  CPPUNIT_TEST(LostJobsOfOneTaskLeaveTheReserve);
  CPPUNIT_TEST(FailedTaskKeepsTheFreeShare);
  CPPUNIT_TEST(LostTaskBesideWorkThatLastsIsNotHeldBackByTheFreeShare);
  CPPUNIT_TEST(WaitOfALostGangBeginsWithTheFirstLoss);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a task that has to leave its worker, runs again, and is stopped since it has the least to repeat.
  void TaskThatLeftItsWorkerIsNotStoppedForUrgentWork() {
    FillAllBut(2);
    const JobId job = Submit(Single(kAccelerators), kBatch);
    Confirm(Round());
    WorkerEntry leaving;
    leaving.m_id = RunOf(job).m_worker;
    leaving.m_pool = kPool;
    leaving.m_capacity = kWhole;
    leaving.m_draining = true;
    leaving.m_remaining = kSecond;
    m_scheduler->OnWorkerListed(leaving, At(m_time));
    Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeStops(At(m_time)).size());
    End(job, EndKind::kStopped);
    const auto starts = Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    Confirm(starts);
    CPPUNIT_ASSERT(!IsStoppedForUrgentWork());
  }

  // Guards against a new leader under which a task that was lost is stopped for urgent work.
  void TaskThatAnEarlierLeaderLostIsNotStoppedForUrgentWork() {
    FillAllBut(1);
    const AcceptedJob job = MakeJob({Single(kAccelerators)}, kBatch, 20.0);
    m_scheduler->RestoreJob(job);
    UnitRow lost;
    lost.m_run = RunNumber{1};
    m_scheduler->RestoreStep(StepRow{StepKey{job.m_id, 0, 0}, {lost}});
    const auto starts = Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    Confirm(starts);
    CPPUNIT_ASSERT(!IsStoppedForUrgentWork());
  }

  // Guards against long work that can never be stopped again because a run of it was lost once.
  void TaskThatWasLostLongAgoMakesRoomForUrgentWork() {
    FillAllBut(2);
    StepSpec step = Single(kAccelerators);
    step.m_checkpoints = true;
    const JobId job = Submit(step, kBatch);
    Confirm(Round());
    LoseWorker(RunOf(job).m_worker);
    Confirm(Round());
    m_time += 3'600 * kSecond;
    CPPUNIT_ASSERT(IsStoppedForUrgentWork());
  }

  // Guards against a mass loss of workers after which the lost work fills the share that is kept for urgent work.
  void LostJobsOfOneTaskLeaveTheReserve() {
    constexpr int kTakes = 4;
    for (int i = 0; i < kWorkers * kAccelerators / kTakes; ++i) Submit(Single(kTakes), kBatch);
    Confirm(Round());
    for (int i = 0; i < kRackSize; ++i) LoseWorker(WorkerAt(i));
    Confirm(Round());
    const SchedulerCounts counts = m_scheduler->Counts();
    const double share = SchedulerSettings{}.m_min_free_share_batch;
    const int free = counts.m_accelerators - counts.m_used_accelerators;
    CPPUNIT_ASSERT(counts.m_lost_runs > 0);
    CPPUNIT_ASSERT_GREATEREQUAL(static_cast<int>(share * counts.m_accelerators), free);
  }

  // Guards against a task that fails by its own fault and then takes room that is kept for urgent work.
  void FailedTaskKeepsTheFreeShare() {
    const JobId job = Submit(Single(1), kBatch);
    Confirm(Round());
    OccupyOthers({RunOf(job).m_worker});
    End(job, EndKind::kFailed);
    CPPUNIT_ASSERT(!WaitUntilPlaced(job, kBound));
  }

  // Guards against a lost task that waits for the free share for as long as another step of its job lasts.
  void LostTaskBesideWorkThatLastsIsNotHeldBackByTheFreeShare() {
    StepSpec next = Single(kAccelerators);
    next.m_after = {1};
    const JobId job = SubmitSteps({Lasting(kAccelerators), Single(kAccelerators), next}, kBatch, 20.0);
    Confirm(Round());
    const WorkerId lasting = RunOf(job, 0).m_worker;
    const WorkerId lost = RunOf(job, 1).m_worker;
    OccupyOthers({lasting, lost});
    LoseWorker(lost);
    CheckStartsInTime(job);
  }

  // Guards against a wait of lost work that is measured from the loss of the last member of its gang.
  void WaitOfALostGangBeginsWithTheFirstLoss() {
    FillAllBut(2);
    Submit(Gang(2, kAccelerators, false), kBatch);
    Confirm(Round());
    const std::vector<WorkerId> workers{WorkerAt(kWorkers - 2), WorkerAt(kWorkers - 1)};
    LoseWorker(workers[0]);
    m_time += 5 * kSecond;
    LoseWorker(workers[1]);
    for (int i = kWorkers; i < kWorkers + 2; ++i) List(WorkerAt(i), kPool, "r0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Round().size());
    const auto replaced = m_scheduler->TakeReplacedRuns();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replaced.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, std::int64_t{replaced.front().m_waited.count()});
  }

 private:
  void OccupyOthers(const std::set<WorkerId>& workers) {
    for (int i = 0; i < kMostWorkers; ++i) {
      if (!workers.contains(WorkerAt(i))) Occupy(WorkerAt(i), kAccelerators);
    }
  }

  StartCommand RunOf(JobId job, int step = 0) const {
    const auto found = m_runs.find(TaskKey{StepKey{job, 0, step}, 0});
    CPPUNIT_ASSERT(found != m_runs.end());
    return found->second;
  }

  bool IsStoppedForUrgentWork() {
    m_time += kSecond;
    m_scheduler->TakeStops(At(m_time));
    Submit(Single(kAccelerators), 0);
    Round();
    return !m_scheduler->TakeStops(At(m_time)).empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterruptedWorkTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
