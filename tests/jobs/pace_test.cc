// Pattern: workers that report the progress of their tasks in whole percents, often.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
const WorkerId kWorker{"worker"};
const WorkerId kOther{"other"};
constexpr std::int64_t kPollEvery = 600;

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

class PaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PaceTest);
  CPPUNIT_TEST(LongTasksAreNotTakenForSlow);
  CPPUNIT_TEST(TaskThatStandsStillIsNoticed);
  CPPUNIT_TEST(GangThatWaitsForAMemberIsNotTakenForSlow);
  CPPUNIT_TEST(RestoredRunIsNotTakenForSlow);
  CPPUNIT_TEST(ResumedRunIsNotTakenForSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    List(kWorker);
  }

  // Guards against workers of long tasks getting nothing because a percent takes longer than the time between polls.
  void LongTasksAreNotTakenForSlow() {
    for (const std::int64_t estimate : {30'000, 60'000, 120'000}) {
      setUp();
      Submit(0, estimate);
      m_start = Place(0).front();
      for (std::int64_t ms = kPollEvery; ms < estimate / 2; ms += kPollEvery) {
        Poll(ms, static_cast<int>(100 * ms / estimate));
        CPPUNIT_ASSERT(TakesWork(ms));
      }
    }
  }

  void TaskThatStandsStillIsNoticed() {
    constexpr std::int64_t kEstimate = 10'000;
    Submit(0, kEstimate);
    m_start = Place(0).front();
    int percent = 0;
    std::int64_t noticed = 0;
    for (std::int64_t ms = kPollEvery; ms < 8'000 && noticed == 0; ms += kPollEvery) {
      if (ms <= 3'000) percent = static_cast<int>(100 * ms / kEstimate);
      Poll(ms, percent);
      if (!TakesWork(ms)) noticed = ms;
    }
    CPPUNIT_ASSERT(noticed > 3'000 && noticed <= 3'000 + 2 * kPollEvery);
  }

  // Guards against sound workers that rest because the gang of their task waits for another member.
  void GangThatWaitsForAMemberIsNotTakenForSlow() {
    constexpr std::int64_t kEstimate = 10'000;
    constexpr std::int64_t kJoins = 5'000;
    List(kOther);
    Submit(0, kEstimate, 2);
    m_scheduler->Decide(At(0));
    const auto starts = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    for (const StartCommand& start : starts) m_scheduler->OnStartSent(start, At(0));
    const bool first = starts.front().m_worker == kWorker;
    m_start = first ? starts.front() : starts.back();
    const StartCommand& missing = first ? starts.back() : starts.front();
    m_scheduler->OnStartAnswer(m_start, StartOutcome::kAccepted, At(0));
    m_scheduler->SetWorkerUsable(kOther, false);
    for (std::int64_t ms = kPollEvery; ms < kJoins; ms += kPollEvery) {
      Poll(ms, 0);
      CPPUNIT_ASSERT(TakesWork(ms));
    }
    m_scheduler->OnStartAnswer(missing, StartOutcome::kAccepted, At(kJoins));
    for (std::int64_t ms = kJoins + kPollEvery; ms < kJoins + 3'000; ms += kPollEvery) {
      Poll(ms, static_cast<int>(100 * (ms - kJoins) / kEstimate));
      CPPUNIT_ASSERT(TakesWork(ms));
    }
    const std::int64_t stands = kJoins + 3'000 + 2 * kPollEvery;
    Poll(stands, 30);
    Poll(stands + 2 * kPollEvery, 30);
    CPPUNIT_ASSERT(!TakesWork(stands + 2 * kPollEvery));
  }

  // Guards against all workers that work resting after a takeover, since their tasks had made progress before it.
  void RestoredRunIsNotTakenForSlow() {
    constexpr std::int64_t kEstimate = 10'000;
    Submit(0, kEstimate);
    m_start = Place(0).front();
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    m_scheduler->RestoreJob(m_submitted);
    UnitRow row;
    row.m_run = m_start.m_run;
    row.m_members = {{kWorker, "10.100.200.1:8524", false, {}}};
    m_scheduler->RestoreStep(StepRow{m_start.m_task.m_step, {row}});
    List(kWorker);
    CheckSteadyProgress(50, kEstimate);
  }

  // As above, of a task that resumes at 50% from a checkpoint.
  void ResumedRunIsNotTakenForSlow() {
    constexpr std::int64_t kEstimate = 10'000;
    Submit(0, kEstimate);
    for (const StartCommand& start : Place(0)) {
      PollReply reply;
      reply.m_ended = {{++m_ends, start.m_task, start.m_run, EndKind::kFailed, ""}};
      m_scheduler->OnPollReply(kWorker, reply, At(0).m_steady, At(0));
    }
    constexpr std::int64_t kAgain = 3'000;  // The step avoids the worker until then.
    const auto starts = Place(kAgain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    m_start = starts.front();
    CheckSteadyProgress(50, kEstimate, kAgain);
  }

 private:
  void CheckSteadyProgress(int from, std::int64_t estimate, std::int64_t since = 0) {
    for (std::int64_t ms = kPollEvery; ms < estimate / 2; ms += kPollEvery) {
      Poll(since + ms, from + static_cast<int>(100 * ms / estimate));
      CPPUNIT_ASSERT(TakesWork(since + ms));
    }
  }

  void List(const WorkerId& id) {
    WorkerEntry worker;
    worker.m_id = id;
    worker.m_pool = kPool;
    worker.m_address = "10.100.200.1:8524";
    worker.m_capacity = Resources{1'000, 1'000, 1'000};
    m_scheduler->OnWorkerListed(worker, At(0));
    m_scheduler->SetWorkerUsable(id, true);
  }

  void Submit(std::int64_t ms, std::int64_t estimate, int members = 1) {
    AcceptedJob job;
    job.m_id = JobId{m_next_job++};
    job.m_pool = kPool;
    job.m_accepted = At(ms).m_wall;
    StepSpec step;
    step.m_task = Resources{1, 1, 1};
    step.m_estimate = Millis{estimate};
    step.m_tasks = members;
    step.m_gang = members > 1;
    step.m_max_per_worker = 1;
    job.m_request.m_steps = {step};
    job.m_max_attempts = 2;
    m_scheduler->OnJob(job, At(ms));
    m_submitted = job;
  }

  std::vector<StartCommand> Place(std::int64_t ms) {
    m_scheduler->Decide(At(ms));
    const auto starts = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
    for (const StartCommand& start : starts) {
      m_scheduler->OnStartSent(start, At(ms));
      m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(ms));
    }
    return starts;
  }

  // A task that the worker gets meanwhile is done before the next poll.
  void Poll(std::int64_t ms, int percent) {
    PollReply reply;
    reply.m_running = {{m_start.m_task, m_start.m_run, "", percent}};
    for (const StartCommand& other : m_others) {
      reply.m_ended.push_back({++m_ends, other.m_task, other.m_run, EndKind::kDone, ""});
    }
    m_others.clear();
    m_scheduler->OnPollReply(kWorker, reply, At(ms).m_steady, At(ms));
  }

  bool TakesWork(std::int64_t ms) {
    Submit(ms, 100);
    m_others = Place(ms);
    return !m_others.empty();
  }

  std::unique_ptr<Scheduler> m_scheduler;
  AcceptedJob m_submitted;  // The last one.
  StartCommand m_start;
  std::vector<StartCommand> m_others;
  std::int64_t m_ends = 0;
  std::uint64_t m_next_job = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PaceTest);

}  // namespace
}  // namespace hickoryquay::jobs
