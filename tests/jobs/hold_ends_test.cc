// Every cause that holds work back ends by what docs/design/placement.md states. One scenario for each cause.

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
constexpr int kWorkers = 8;  // Of 8 accelerators, in racks of 4.
constexpr int kRackSize = 4;
constexpr JobId kJob{7};
constexpr Millis kRound{100};
constexpr Millis kSoon{300};  // An event ends the cause.

WorkerId WorkerAt(int index) {
  return WorkerId{"w" + std::to_string(index)};
}

class HoldEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HoldEndsTest);
  CPPUNIT_TEST(TimedJobIsPlacedWhenItIsDue);
  CPPUNIT_TEST(NoWorkerEndsWhenOneJoins);
  CPPUNIT_TEST(UnusableWorkersEndWhenTheyAnswer);
  CPPUNIT_TEST(NoRoomEndsWithARun);
  CPPUNIT_TEST(StopEndsWithTheAnswerOfItsWorker);
  CPPUNIT_TEST(UnconfirmedRunEndsWithTheLease);
  CPPUNIT_TEST(UnansweredStartEndsAfterItsResends);
  CPPUNIT_TEST(WithheldStartIsPlacedAgain);
  CPPUNIT_TEST(RestAfterRefusalsEnds);
  CPPUNIT_TEST(WaitToRunAloneEndsByItsBound);
  CPPUNIT_TEST(WaitForARackEndsByTheBound);
  CPPUNIT_TEST(WaitForDataEndsByTheBound);
  CPPUNIT_TEST(FreeShareEndsByTheBound);
  CPPUNIT_TEST(UnreadRowEndsWithACancel);
  CPPUNIT_TEST(RowSetAsideEndsWithACancel);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    for (int i = 0; i < kWorkers; ++i) List(i, 8);
  }

  // Guards against a timed job that is not begun when it is due.
  void TimedJobIsPlacedWhenItIsDue() {
    constexpr Millis kDue{5'000};
    AcceptedJob job = Job(kJob, Single(1), 1);
    job.m_request.m_repeats = 1;
    job.m_request.m_first_due = At().m_wall + kDue;
    m_scheduler->OnJob(job, At());
    CPPUNIT_ASSERT(Place().empty());
    m_time += kDue;
    CheckPlaced(kSoon);
  }

  // Guards against a job that no worker could hold and that is not placed when one joins that can.
  void NoWorkerEndsWhenOneJoins() {
    Submit(Single(16));
    CheckHeld(IdleCause::kNoWorker);
    List(kWorkers, 16);
    CheckPlaced(kSoon);
  }

  // Guards against a job that is not placed when its workers answer again.
  void UnusableWorkersEndWhenTheyAnswer() {
    for (int i = 0; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(WorkerAt(i), false);
    Submit(Single(1));
    CheckHeld(IdleCause::kWorkersUnusable);
    m_scheduler->SetWorkerUsable(WorkerAt(3), true);
    CheckPlaced(kSoon);
  }

  // Guards against a job that is not placed when a run ends in a full pool.
  void NoRoomEndsWithARun() {
    const auto full = Fill(kWorkers, 8);
    SubmitAs(kJob, Single(1), 0);
    CheckHeld(IdleCause::kNoRoom);
    EndRun(full.front(), EndKind::kDone);
    CheckPlaced(kSoon);
  }

  // Guards against a restored stop that never ends, though the worker shows that nothing runs.
  void StopEndsWithTheAnswerOfItsWorker() {
    Submit(Single(1));
    Restore(true);
    CheckHeld(IdleCause::kStopping);
    Reply(WorkerAt(0));
    CheckPlaced(kSoon);
  }

  // Guards against a task that waits for a worker whose lease is over.
  void UnconfirmedRunEndsWithTheLease() {
    Submit(Single(1));
    Restore(false);
    CheckHeld(IdleCause::kUnconfirmed);
    m_scheduler->OnWorkerCleared(WorkerAt(0), WorkerLoss::kLeaseOver, At());
    CheckPlaced(kSoon);
  }

  // Guards against a start without an answer that holds its task back for ever.
  void UnansweredStartEndsAfterItsResends() {
    Submit(Single(1));
    auto starts = Place();
    const WorkerId first = starts.front().m_worker;
    for (int i = 0; i <= SchedulerSettings{}.m_max_start_resends; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      m_scheduler->OnStartSent(starts.front(), At());
      CheckCause(IdleCause::kUnanswered);
      m_scheduler->OnStartAnswer(starts.front(), StartOutcome::kUnknown, At());
      m_time += kRound;
      starts = m_scheduler->TakeResends(At().m_steady);
    }
    CheckCause(IdleCause::kUnconfirmed);
    Reply(first);  // The run is not there, so it is stopped.
    CheckCause(IdleCause::kStopping);
    for (const StopCommand& stop : m_scheduler->TakeStops(At()))
      m_scheduler->OnStopAnswer(stop, StopOutcome::kStopping, At());
    m_time += kRound;
    Reply(first);
    CheckPlaced(kSoon);
  }

  // Guards against a task whose start was decided and never sent.
  void WithheldStartIsPlacedAgain() {
    Submit(Single(1));
    const auto starts = Place();
    CheckCause(IdleCause::kPlanned);
    m_scheduler->OnStartWithheld(starts.front(), At());
    CheckPlaced(kSoon);
  }

  // Guards against work that waits for workers that refused it, beyond their rest.
  void RestAfterRefusalsEnds() {
    Submit(Gang(kWorkers, 8));
    for (const StartCommand& start : Place()) {
      m_scheduler->OnStartSent(start, At());
      m_scheduler->OnStartAnswer(start, StartOutcome::kUnhealthy, At());
    }
    for (const StopCommand& stop : m_scheduler->TakeStops(At()))
      m_scheduler->OnStopAnswer(stop, StopOutcome::kStopping, At());
    m_time += kRound;
    for (int i = 0; i < kWorkers; ++i) Reply(WorkerAt(i));
    CheckHeld(IdleCause::kWithheldRoom);
    const SchedulerSettings settings;
    CheckPlaced(settings.m_preemption.m_stop_timeout + settings.m_avoid_refusing_for + kSoon);
  }

  // Guards against a task that waits for a worker without other work, beyond its bound.
  void WaitToRunAloneEndsByItsBound() {
    Fill(kWorkers, 1);
    Submit(Single(1));
    UnitRow row = Unplaced();
    row.m_crashes = {{RunNumber{1}, 0, false}, {RunNumber{2}, 0, false}};
    m_scheduler->RestoreStep(StepRow{StepKey{kJob, 0, 0}, {row}});
    CheckHeld(IdleCause::kAlone);
    CheckPlaced(CrashSettings{}.m_longest_wait + kSoon);
  }

  // Guards against a gang that waits for one rack beyond the bound of preferences.
  void WaitForARackEndsByTheBound() {
    for (int i = kWorkers; i < kWorkers + kRackSize; ++i) List(i, 8);
    for (const char* rack : {"r0", "r1", "r2"}) Fill(1, 8, rack);
    StepSpec gang = Gang(kRackSize, 8);
    gang.m_rack_local = true;
    Submit(gang);
    CheckHeld(IdleCause::kRack);
    CheckPlaced(SchedulerSettings{}.m_longest_preference + kSoon);
  }

  // Guards against a task that waits for the rack of its data beyond the bound of preferences.
  void WaitForDataEndsByTheBound() {
    Fill(kRackSize, 8, "r0", 0);
    StepSpec task = Single(1);
    task.m_data_rack = "r0";
    Submit(task);
    CheckHeld(IdleCause::kDataRack);
    CheckPlaced(SchedulerSettings{}.m_longest_preference + kSoon);
  }

  // Guards against a lasting task that waits for the free share beyond the bound of preferences.
  void FreeShareEndsByTheBound() {
    Fill(kWorkers - 1, 8);
    StepSpec lasting = Single(4);
    lasting.m_long_running = true;
    SubmitAs(kJob, lasting, 2);
    CheckHeld(IdleCause::kFreeShare);
    CheckPlaced(SchedulerSettings{}.m_longest_preference + kSoon);
  }

  // Guards against a job with an unreadable row that a cancel does not end.
  void UnreadRowEndsWithACancel() {
    Submit(Single(1));
    m_scheduler->RestoreUnreadStep(StepRowKey{StepKey{kJob, 0, 0}, 0});
    CheckHeld(IdleCause::kUnreadRow);
    CheckEndsWithACancel();
  }

  // Guards against a job with a row that the store rejects and that a cancel does not end.
  void RowSetAsideEndsWithACancel() {
    Submit(Single(1));
    m_scheduler->SetAside(StepRowKey{StepKey{kJob, 0, 0}, 0});
    CheckHeld(IdleCause::kSetAside);
    CheckEndsWithACancel();
  }

 private:
  static StepSpec Single(int accelerators) {
    StepSpec step;
    step.m_task = Resources{accelerators, 1'000, 1'000};
    step.m_estimate = Millis{10'000};
    return step;
  }

  static StepSpec Gang(int tasks, int accelerators) {
    StepSpec step = Single(accelerators);
    step.m_tasks = tasks;
    step.m_gang = true;
    return step;
  }

  static UnitRow Unplaced() {
    UnitRow row;
    row.m_run = RunNumber{2};
    return row;
  }

  Now At() const { return {Instant{1'000'000} + m_time, Instant{1'000'000} + m_time}; }

  void List(int index, int accelerators) {
    WorkerEntry worker;
    worker.m_id = WorkerAt(index);
    worker.m_pool = kPool;
    worker.m_address = "10.100.200.1:8524";
    worker.m_rack = "r" + std::to_string(index / kRackSize);
    worker.m_capacity = Resources{accelerators, 64'000, 64'000};
    m_scheduler->OnWorkerListed(worker, At());
    m_scheduler->SetWorkerUsable(worker.m_id, true);
  }

  AcceptedJob Job(JobId id, const StepSpec& step, int priority) const {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    job.m_priority = priority;
    job.m_accepted = At().m_wall;
    job.m_max_attempts = 3;
    job.m_stretch = 20.0;
    job.m_request.m_steps = {step};
    return job;
  }

  void SubmitAs(JobId id, const StepSpec& step, int priority) { m_scheduler->OnJob(Job(id, step, priority), At()); }
  void Submit(const StepSpec& step) { SubmitAs(kJob, step, 1); }

  std::vector<StartCommand> Place() {
    m_scheduler->Decide(At());
    return m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
  }

  // Runs of other jobs, urgent ones, so that no free share holds them back.
  std::vector<StartCommand> Fill(int tasks, int accelerators, const std::string& rack = "", int priority = 0) {
    std::vector<StartCommand> starts;
    for (int i = 0; i < tasks; ++i) {
      StepSpec task = Single(accelerators);
      task.m_data_rack = rack;
      if (accelerators < 8 && rack.empty()) task.m_task.m_millicores = 33'000;  // One on each worker.
      SubmitAs(JobId{m_next_job++}, task, priority);
    }
    for (const StartCommand& start : Place()) {
      m_scheduler->OnStartSent(start, At());
      m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At());
      starts.push_back(start);
    }
    return starts;
  }

  // The job's task was placed by an earlier scheduler.
  void Restore(bool failed) {
    UnitRow placed = Unplaced();
    placed.m_members = {{WorkerAt(0), "10.100.200.1:8524", false, {}}};
    if (failed) placed.m_failed_runs = {placed.m_run};
    m_scheduler->RestoreStep(StepRow{StepKey{kJob, 0, 0}, {placed}});
  }

  void Reply(const WorkerId& worker) { m_scheduler->OnPollReply(worker, PollReply{}, At().m_steady, At()); }

  void EndRun(const StartCommand& start, EndKind kind) {
    PollReply reply;
    reply.m_ended = {{1, start.m_task, start.m_run, kind, {}}};
    m_scheduler->OnPollReply(start.m_worker, reply, At().m_steady, At());
  }

  void CheckCause(IdleCause expected) {
    std::string found;
    for (const IdleJob& idle : m_scheduler->IdleJobs(100, At())) {
      if (idle.m_job == kJob) found = ToString(idle.m_cause);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(expected)), found);
  }

  void CheckHeld(IdleCause cause) {
    CPPUNIT_ASSERT(Place().empty());
    CheckCause(cause);
  }

  void CheckPlaced(Millis within) {
    const Millis since = m_time;
    for (; m_time - since <= within; m_time += kRound) {
      for (const StartCommand& start : Place()) {
        if (start.m_task.m_step.m_job == kJob) return;
      }
    }
    CPPUNIT_FAIL("not placed");
  }

  void CheckEndsWithACancel() {
    m_scheduler->OnCancel(kJob, At());
    CPPUNIT_ASSERT(m_scheduler->IdleJobs(100, At()).empty());
    CPPUNIT_ASSERT(m_scheduler->Phase(kJob) == JobPhase::kCancelled);
  }

  std::unique_ptr<Scheduler> m_scheduler;
  Millis m_time{0};
  std::uint64_t m_next_job = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HoldEndsTest);

}  // namespace
}  // namespace hickoryquay::jobs
