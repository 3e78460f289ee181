// The cause that the scheduler gives for a job of which nothing runs.

#include "hickoryquay/jobs/idle_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
constexpr int kWorkers = 8;  // Of 8 accelerators, in racks of 4.
constexpr int kRackSize = 4;
constexpr JobId kJob{7};

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

WorkerId WorkerAt(int index) {
  return WorkerId{"w" + std::to_string(index)};
}

std::string RackAt(int index) {
  return "r" + std::to_string(index / kRackSize);
}

class IdleJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleJobsTest);
  CPPUNIT_TEST(RunningJobIsNotIdle);
  CPPUNIT_TEST(JobWithoutAWorkerThatCouldHoldIt);
  CPPUNIT_TEST(JobWhoseWorkersDoNotAnswer);
  CPPUNIT_TEST(JobInAFullPool);
  CPPUNIT_TEST(StartThatIsNotSent);
  CPPUNIT_TEST(StartWithoutAnAnswer);
  CPPUNIT_TEST(RestoredRunThatNobodyConfirms);
  CPPUNIT_TEST(RunThatIsBeingStopped);
  CPPUNIT_TEST(WorkersThatRest);
  CPPUNIT_TEST(GangThatPrefersOneRack);
  CPPUNIT_TEST(TaskThatPrefersItsData);
  CPPUNIT_TEST(TaskThatLeavesTooFewFree);
  CPPUNIT_TEST(UnreadableRow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    for (int i = 0; i < kWorkers; ++i) {
      WorkerEntry worker;
      worker.m_id = WorkerAt(i);
      worker.m_pool = kPool;
      worker.m_address = "10.100.200.1:8524";
      worker.m_rack = RackAt(i);
      worker.m_capacity = Resources{8, 64'000, 64'000};
      m_scheduler->OnWorkerListed(worker, At(0));
      m_scheduler->SetWorkerUsable(worker.m_id, true);
    }
  }

  void RunningJobIsNotIdle() {
    Submit(Single(1));
    Run(Place(0), 0);
    CheckCause("", 0);
  }

  void JobWithoutAWorkerThatCouldHoldIt() {
    Submit(Single(9));
    Place(0);
    CheckCause("no such worker", 0);
  }

  void JobWhoseWorkersDoNotAnswer() {
    for (int i = 0; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(WorkerAt(i), false);
    Submit(Single(1));
    Place(0);
    CheckCause("workers unusable", 0);
  }

  void JobInAFullPool() {
    Fill(kWorkers, 8);
    Submit(Single(1));
    Place(0);
    CheckCause("no room", 0);
  }

  void StartThatIsNotSent() {
    Submit(Single(1));
    Place(0);
    CheckCause("start not sent", 0);
  }

  void StartWithoutAnAnswer() {
    Submit(Single(1));
    for (const StartCommand& start : Place(0)) m_scheduler->OnStartSent(start, At(0));
    CheckCause("start unanswered", 10);
  }

  void RestoredRunThatNobodyConfirms() {
    Submit(Single(1));
    UnitRow placed;
    placed.m_run = RunNumber{1};
    placed.m_members = {{WorkerAt(0), "10.100.200.1:8524", false, {}}};
    m_scheduler->RestoreStep(StepRow{StepKey{kJob, 0, 0}, {placed}});
    Place(0);
    CheckCause("run unconfirmed", 0);
    CPPUNIT_ASSERT(m_scheduler->IdleJobs(1, At(0)).at(0).m_worker == WorkerAt(0));
  }

  void RunThatIsBeingStopped() {
    Submit(Single(1));
    UnitRow placed;
    placed.m_run = RunNumber{1};
    placed.m_failed_runs = {RunNumber{1}};
    placed.m_members = {{WorkerAt(0), "10.100.200.1:8524", false, {}}};
    m_scheduler->RestoreStep(StepRow{StepKey{kJob, 0, 0}, {placed}});
    Place(0);
    CheckCause("being stopped", 0);
  }

  void WorkersThatRest() {
    Submit(Gang(kWorkers, 8, false));
    for (const StartCommand& start : Place(0)) {
      m_scheduler->OnStartSent(start, At(0));
      m_scheduler->OnStartAnswer(start, StartOutcome::kNoRoom, At(0));
    }
    Place(10);
    CheckCause("workers withheld", 10);
  }

  void GangThatPrefersOneRack() {
    Fill(1, 8, "r0");
    Fill(1, 8, "r1");
    Submit(Gang(kRackSize, 8, true));
    Place(0);
    CheckCause("prefers one rack", 0);
  }

  void TaskThatPrefersItsData() {
    Fill(kRackSize, 8, "r0");
    StepSpec task = Single(1);
    task.m_data_rack = "r0";
    Submit(task, 10.0);
    Place(0);
    CheckCause("prefers its data", 0);
  }

  void TaskThatLeavesTooFewFree() {
    Fill(kWorkers - 1, 8);
    Submit(Single(1), 10.0, 2);
    Place(0);
    CheckCause("free share", 0);
  }

  void UnreadableRow() {
    Submit(Single(1));
    m_scheduler->RestoreUnreadStep(StepRowKey{StepKey{kJob, 0, 0}, 0});
    Place(0);
    CheckCause("row can't be read", 0);
  }

 private:
  static StepSpec Single(int accelerators) {
    StepSpec step;
    step.m_task = Resources{accelerators, 1'000, 1'000};
    step.m_estimate = Millis{10'000};
    return step;
  }

  static StepSpec Gang(int tasks, int accelerators, bool rack) {
    StepSpec step = Single(accelerators);
    step.m_tasks = tasks;
    step.m_gang = true;
    step.m_rack_local = rack;
    return step;
  }

  void SubmitAs(JobId id, const StepSpec& step, double stretch, int priority) {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    job.m_priority = priority;
    job.m_accepted = At(0).m_wall;
    job.m_stretch = stretch;
    job.m_request.m_steps = {step};
    m_scheduler->OnJob(job, At(0));
  }

  void Submit(const StepSpec& step, double stretch = 1.0, int priority = 0) { SubmitAs(kJob, step, stretch, priority); }

  std::vector<StartCommand> Place(std::int64_t ms) {
    m_scheduler->Decide(At(ms));
    return m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
  }

  void Run(const std::vector<StartCommand>& starts, std::int64_t ms) {
    for (const StartCommand& start : starts) {
      m_scheduler->OnStartSent(start, At(ms));
      m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(ms));
    }
  }

  // Tasks of other jobs; those with data start in its rack.
  void Fill(int tasks, int accelerators, const std::string& rack = "") {
    for (int i = 0; i < tasks; ++i) {
      StepSpec task = Single(accelerators);
      task.m_data_rack = rack;
      SubmitAs(JobId{m_next_job++}, task, 1.0, 0);
    }
    Run(Place(0), 0);
  }

  // `expected` is empty for a job that is not idle.
  void CheckCause(const std::string& expected, std::int64_t ms) {
    std::string found;
    for (const IdleJob& idle : m_scheduler->IdleJobs(100, At(ms))) {
      if (idle.m_job == kJob) found = ToString(idle.m_cause);
    }
    CPPUNIT_ASSERT_EQUAL(expected, found);
  }

  std::unique_ptr<Scheduler> m_scheduler;
  std::uint64_t m_next_job = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobsTest);

}  // namespace
}  // namespace hickoryquay::jobs
