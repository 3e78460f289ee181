// Starts that are handed out, and what changes before they are sent.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"

namespace hickoryquay::jobs {
namespace {

constexpr Now kNow{Instant{1'000}, Instant{1'000}};

WorkerEntry MakeWorker(bool draining) {
  WorkerEntry worker;
  worker.m_id = WorkerId{"worker"};
  worker.m_pool = PoolName{"pool"};
  worker.m_address = "worker";
  worker.m_capacity = Resources{8, 64'000, 64'000};
  worker.m_draining = draining;
  return worker;
}

class StaleStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaleStartTest);
  CPPUNIT_TEST(HeldStartIsNotSentToALeavingWorker);
  CPPUNIT_TEST(UnansweredStartIsNotSentAgainToALeavingWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler.OnWorkerListed(MakeWorker(false), kNow);
    m_scheduler.SetWorkerUsable(WorkerId{"worker"}, true);
    AcceptedJob job;
    job.m_id = JobId{1};
    job.m_pool = PoolName{"pool"};
    job.m_max_attempts = 3;
    StepSpec step;
    step.m_tasks = 1;
    step.m_task = Resources{1, 1'000, 1'000};
    step.m_estimate = Millis{1'000};
    job.m_request.m_steps = {step};
    m_scheduler.OnJob(job, kNow);
    m_scheduler.Decide(kNow);
    m_batch = m_scheduler.TakeBatch(100, 100'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_batch.m_starts.size());
  }

  // Guards against starts on workers that announced their leaving between the decision and the sending.
  void HeldStartIsNotSentToALeavingWorker() {
    CPPUNIT_ASSERT(m_scheduler.MaySend(m_batch.m_starts.front()));
    m_scheduler.OnWorkerListed(MakeWorker(true), kNow);
    CPPUNIT_ASSERT(!m_scheduler.MaySend(m_batch.m_starts.front()));
  }

  // Guards against the same by the second copy of a start that got no answer.
  void UnansweredStartIsNotSentAgainToALeavingWorker() {
    const StartCommand& start = m_batch.m_starts.front();
    m_scheduler.OnStartSent(start, kNow);
    m_scheduler.OnStartAnswer(start, StartOutcome::kUnknown, kNow);
    m_scheduler.OnWorkerListed(MakeWorker(true), kNow);
    CPPUNIT_ASSERT(m_scheduler.TakeResends(kNow.m_steady).empty());
    CPPUNIT_ASSERT(m_scheduler.NeedsPoll(WorkerId{"worker"}, kNow.m_steady));
  }

 private:
  Scheduler m_scheduler{SchedulerSettings{}};
  Batch m_batch;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaleStartTest);

}  // namespace
}  // namespace hickoryquay::jobs
