// Workers that fail what they start, in a pool that is otherwise busy.

#include "hickoryquay/jobs/soundness.h"

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const PoolName kPool{"pool"};
const WorkerId kFails{"fails"};
const WorkerId kBusy{"busy"};
constexpr Resources kWhole{1, 1'000, 1'000};
constexpr int kAttempts = 2;

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

class SoundnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoundnessTest);
  CPPUNIT_TEST(FailingWorkerDoesNotAttractTheWorkOfABusyPool);
  CPPUNIT_TEST(WorkerIsTriedAgainWithinTheLongestRest);
  CPPUNIT_TEST(TaskThatFailsEverywhereRestsFewWorkers);
  CPPUNIT_TEST(RestsGrowWithFailuresAndEndWithSuccess);
  CPPUNIT_TEST(SingleFailureTakesNoRoomFromOthers);
  CPPUNIT_TEST(RestartedWorkerIsTrusted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    for (const WorkerId& worker : {kBusy, kFails}) List(worker);
    Submit(JobId{100}, 0);  // Takes the worker that comes first.
    for (const StartCommand& start : Place(0)) CPPUNIT_ASSERT(start.m_worker == kBusy);
  }

  // Pattern: all sound workers are busy, one worker fails each task within 50 ms. Being free, it got the second attempt
  // of the same job too, and job after job failed for good.
  void FailingWorkerDoesNotAttractTheWorkOfABusyPool() {
    int starts = 0;
    for (std::uint64_t id = 1; id <= 10; ++id) {
      const std::int64_t ms = static_cast<std::int64_t>(id) * 100;
      Submit(JobId{id}, ms);
      for (const StartCommand& start : Place(ms)) {
        ++starts;
        Fail(start, ms + 50);
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, starts);
    for (std::uint64_t id = 1; id <= 10; ++id) CPPUNIT_ASSERT(m_scheduler->Phase(JobId{id}) != JobPhase::kFailed);
  }

  void WorkerIsTriedAgainWithinTheLongestRest() {
    std::int64_t ms = 0;
    for (std::uint64_t id = 1; id <= 5; ++id) {
      Submit(JobId{id}, ms);
      const auto starts = Place(ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      Fail(starts.front(), ms);
      CPPUNIT_ASSERT(Place(ms + SoundnessSettings{}.m_first_rest.count() - 1).empty());
      ms += SoundnessSettings{}.m_longest_rest.count();
    }
  }

  // Pattern: a job of many tasks that can never be done, on a sound pool.
  void TaskThatFailsEverywhereRestsFewWorkers() {
    int rests = 0;
    for (std::size_t workers = 1; workers <= 16; ++workers) {
      Soundness soundness;
      if (soundness.OnFailure(workers, SoundnessSettings{}) > Millis{0}) ++rests;
    }
    CPPUNIT_ASSERT_EQUAL(0, rests);
  }

  void RestsGrowWithFailuresAndEndWithSuccess() {
    const SoundnessSettings settings;
    Soundness soundness;
    CPPUNIT_ASSERT(soundness.OnFailure(1, settings) == Millis{0});
    CPPUNIT_ASSERT(soundness.OnFailure(1, settings) == settings.m_first_rest);
    CPPUNIT_ASSERT(soundness.OnFailure(1, settings) == 2 * settings.m_first_rest);
    for (int i = 0; i < 100; ++i) CPPUNIT_ASSERT(soundness.OnFailure(1, settings) == settings.m_longest_rest);
    soundness.OnDone();
    CPPUNIT_ASSERT(soundness.OnFailure(1, settings) == Millis{0});
  }

  // Pattern: a pool without room to spare, and tasks that fail by their own fault now and then. Each failure cost its
  // worker's room for a second, and urgent work began late.
  void SingleFailureTakesNoRoomFromOthers() {
    Submit(JobId{1}, 0);
    for (const StartCommand& start : Place(0)) Fail(start, 10);
    Submit(JobId{2}, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Place(20).size());
  }

  void RestartedWorkerIsTrusted() {
    WorkerSlot slot;
    slot.m_soundness.OnFailure(1, SoundnessSettings{});
    slot.m_soundness.OnFailure(1, SoundnessSettings{});
    slot.m_avoid_until = At(1'000).m_steady;
    slot.OnRestarted();
    CPPUNIT_ASSERT(slot.m_avoid_until == Instant{});
    CPPUNIT_ASSERT(slot.m_soundness.OnFailure(1, SoundnessSettings{}) == Millis{0});
  }

 private:
  void List(const WorkerId& id) {
    WorkerEntry worker;
    worker.m_id = id;
    worker.m_pool = kPool;
    worker.m_capacity = kWhole;
    m_scheduler->OnWorkerListed(worker, At(0));
    m_scheduler->SetWorkerUsable(id, true);
  }

  void Submit(JobId id, std::int64_t ms) {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    job.m_accepted = At(ms).m_wall;
    job.m_max_attempts = kAttempts;
    job.m_request.m_steps = {StepSpec{}};
    job.m_request.m_steps.front().m_task = kWhole;
    m_scheduler->OnJob(job, At(ms));
  }

  std::vector<StartCommand> Place(std::int64_t ms) {
    m_scheduler->Decide(At(ms));
    auto starts = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
    for (const StartCommand& start : starts) {
      m_scheduler->OnStartSent(start, At(ms));
      m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(ms));
    }
    return starts;
  }

  void Fail(const StartCommand& start, std::int64_t ms) {
    PollReply reply;
    reply.m_ended = {EndedTask{++m_ends, start.m_task, start.m_run, EndKind::kFailed, ""}};
    m_scheduler->OnPollReply(start.m_worker, reply, At(ms).m_steady, At(ms));
  }

  std::unique_ptr<Scheduler> m_scheduler;
  std::int64_t m_ends = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoundnessTest);

}  // namespace
}  // namespace hickoryquay::jobs
