// Copies of starts that got no answer, on workers that restart under their id after the run has ended.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
const WorkerId kWorker{"worker"};
constexpr JobId kJob{7};

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

class LateCopyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateCopyTest);
  CPPUNIT_TEST(CopyOfAnEndedRunIsStoppedWhenItsWorkerRestarts);
  CPPUNIT_TEST(WorkerGetsNothingUntilItRefusesTheCopy);
  CPPUNIT_TEST(StopIsRepeatedUntilItIsAcknowledged);
  CPPUNIT_TEST(CopyIsStoppedInEachLaterIncarnation);
  CPPUNIT_TEST(CopyIsRememberedWhileItsWorkerIsNotListed);
  CPPUNIT_TEST(CopyThatIsTooOldIsForgotten);
  CPPUNIT_TEST(AnsweredStartLeavesNoCopy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    List();
    m_scheduler->SetWorkerUsable(kWorker, true);
    Reply(0, At(0));
  }

  // Guards against a task that runs again, after its job is completed, in the next life of its worker.
  void CopyOfAnEndedRunIsStoppedWhenItsWorkerRestarts() {
    RunWithACopy();
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(1'000)).empty());
    Reply(1, At(3'000));
    const auto stops = m_scheduler->TakeStops(At(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    CPPUNIT_ASSERT(stops.front().m_worker == kWorker && stops.front().m_task == m_start.m_task);
    CPPUNIT_ASSERT(stops.front().m_run == m_start.m_run);
    m_scheduler->OnStopAnswer(stops.front(), StopOutcome::kStopping, At(3'010));
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(9'000)).empty());
  }

  // Guards against a worker that is brought over its capacity by a copy that arrives beside new work.
  void WorkerGetsNothingUntilItRefusesTheCopy() {
    RunWithACopy();
    Reply(1, At(3'000));
    Submit(JobId{8});
    CPPUNIT_ASSERT(Place(At(3'000)).empty());
    const auto stops = m_scheduler->TakeStops(At(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    m_scheduler->OnStopAnswer(stops.front(), StopOutcome::kStopping, At(3'010));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Place(At(3'010)).size());
  }

  void StopIsRepeatedUntilItIsAcknowledged() {
    RunWithACopy();
    Reply(1, At(3'000));
    const auto stops = m_scheduler->TakeStops(At(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    m_scheduler->OnStopAnswer(stops.front(), StopOutcome::kNoAnswer, At(3'350));
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(3'350)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeStops(At(4'000)).size());
  }

  void CopyIsStoppedInEachLaterIncarnation() {
    RunWithACopy();
    for (int life = 1; life <= 3; ++life) {
      const Now now = At(3'000 * life);
      Reply(life, now);
      const auto stops = m_scheduler->TakeStops(now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
      m_scheduler->OnStopAnswer(stops.front(), StopOutcome::kStopping, now);
    }
  }

  void CopyIsRememberedWhileItsWorkerIsNotListed() {
    RunWithACopy();
    m_scheduler->OnWorkerUnlisted(kWorker);
    m_scheduler->Decide(At(2'000));
    List();
    Reply(1, At(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeStops(At(3'000)).size());
  }

  void CopyThatIsTooOldIsForgotten() {
    RunWithACopy();
    m_scheduler->OnWorkerUnlisted(kWorker);
    const Now later = At(1'000 + kMaxCallDelay.count());
    m_scheduler->Decide(later);
    List();
    Reply(1, later);
    CPPUNIT_ASSERT(m_scheduler->TakeStops(later).empty());
  }

  void AnsweredStartLeavesNoCopy() {
    Submit(kJob);
    m_start = Place(At(0)).at(0);
    m_scheduler->OnStartSent(m_start, At(0));
    m_scheduler->OnStartAnswer(m_start, StartOutcome::kAccepted, At(10));
    End(At(500));
    Reply(1, At(3'000));
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(3'000)).empty());
  }

 private:
  void List() {
    WorkerEntry worker;
    worker.m_id = kWorker;
    worker.m_pool = kPool;
    worker.m_address = "10.100.200.1:8524";
    worker.m_capacity = Resources{8, 8, 8};
    m_scheduler->OnWorkerListed(worker, At(0));
    m_scheduler->SetWorkerUsable(kWorker, true);
  }

  void Submit(JobId id) {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    StepSpec step;
    step.m_task = Resources{8, 1, 1};
    job.m_request.m_steps = {step};
    m_scheduler->OnJob(job, At(0));
  }

  std::vector<StartCommand> Place(Now now) {
    m_scheduler->Decide(now);
    return m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
  }

  // The first copy of the start gets no answer, the second one is carried out, and its run ends.
  void RunWithACopy() {
    Submit(kJob);
    m_start = Place(At(0)).at(0);
    m_scheduler->OnStartSent(m_start, At(0));
    m_scheduler->OnStartAnswer(m_start, StartOutcome::kUnknown, At(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeResends(At(100).m_steady).size());
    m_scheduler->OnStartSent(m_start, At(100));
    m_scheduler->OnStartAnswer(m_start, StartOutcome::kAccepted, At(110));
    End(At(500));
    CPPUNIT_ASSERT(m_scheduler->Phase(kJob) == JobPhase::kCompleted);
  }

  void End(Now now) {
    PollReply reply = In(0);
    reply.m_ended = {{1, m_start.m_task, m_start.m_run, EndKind::kDone, ""}};
    m_scheduler->OnPollReply(kWorker, reply, now.m_steady, now);
  }

  void Reply(int life, Now now) { m_scheduler->OnPollReply(kWorker, In(life), now.m_steady, now); }

  // A reply of the worker's incarnation number `life`.
  static PollReply In(int life) {
    PollReply reply;
    reply.m_born = Instant{900'000 + 1'000 * life};
    return reply;
  }

  std::unique_ptr<Scheduler> m_scheduler;
  StartCommand m_start;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateCopyTest);

}  // namespace
}  // namespace hickoryquay::jobs
