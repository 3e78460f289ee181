// Workers whose capacity shrinks and grows while tasks run there.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

const WorkerId kWorker{"w"};
const PoolName kPool{"pool"};
constexpr Resources kWhole{8, 8'000, 8'000};
constexpr Resources kLittleMemory{8, 8'000, 4'000};
constexpr Resources kUsesMemory{1, 1'000, 3'000};
constexpr Resources kNoMemory{1, 1'000, 0};

Now At(std::int64_t ms) {
  return {Instant{1'000'000 + ms}, Instant{1'000'000 + ms}};
}

class CapacityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityTest);
  CPPUNIT_TEST(NothingStartsWhileTheWorkerIsOverItsCapacity);
  CPPUNIT_TEST(PlannedStartIsWithdrawnWhenItsWorkerShrinks);
  CPPUNIT_TEST(UnansweredStartsAreNotSentAgainWhenTheirWorkerShrinks);
  CPPUNIT_TEST(RunWithoutARowKeepsItsRoom);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    SetCapacity(kWhole);
    m_scheduler->SetWorkerUsable(kWorker, true);
  }

  // A component that the task does not need was not looked at.
  void NothingStartsWhileTheWorkerIsOverItsCapacity() {
    Submit(JobId{1}, kUsesMemory);
    Submit(JobId{2}, kUsesMemory);
    for (const StartCommand& start : Place(0)) Confirm(start, 0);
    SetCapacity(kLittleMemory);
    Submit(JobId{3}, kNoMemory);
    CPPUNIT_ASSERT(Place(100).empty());
    SetCapacity(kWhole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Place(200).size());
  }

  // The row of a start may be stored long after the worker was chosen.
  void PlannedStartIsWithdrawnWhenItsWorkerShrinks() {
    Submit(JobId{1}, kUsesMemory);
    Submit(JobId{2}, kUsesMemory);
    const auto starts = Place(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    SetCapacity(kLittleMemory);
    CPPUNIT_ASSERT(!m_scheduler->MaySend(starts[0]));
    m_scheduler->OnStartWithheld(starts[0], At(100));
    CPPUNIT_ASSERT(m_scheduler->MaySend(starts[1]));
  }

  // The first copies may never have arrived, and then the second ones bring the worker over its capacity.
  void UnansweredStartsAreNotSentAgainWhenTheirWorkerShrinks() {
    Submit(JobId{1}, kUsesMemory);
    Submit(JobId{2}, kUsesMemory);
    for (const StartCommand& start : Place(0)) {
      m_scheduler->OnStartSent(start, At(0));
      m_scheduler->OnStartAnswer(start, StartOutcome::kUnknown, At(100));
    }
    SetCapacity(kLittleMemory);
    CPPUNIT_ASSERT(m_scheduler->TakeResends(At(100).m_steady).empty());
  }

  // A start that was executed late, after its run had been settled, is stopped; until it has ended it takes room.
  void RunWithoutARowKeepsItsRoom() {
    Submit(JobId{1}, Resources{8, 1'000, 1'000});
    PollReply reply;
    reply.m_running = {{TaskKey{{JobId{1}, 0, 0}, 0}, RunNumber{1}, "", 0}};
    m_scheduler->OnPollReply(kWorker, reply, At(0).m_steady, At(0));
    Submit(JobId{2}, kNoMemory);
    CPPUNIT_ASSERT(Place(0).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_scheduler->TakeStops(At(0)).size());
    CPPUNIT_ASSERT(m_scheduler->HasUnrecordedRuns(kWorker));
    m_scheduler->OnPollReply(kWorker, PollReply{}, At(300).m_steady, At(300));
    CPPUNIT_ASSERT(!Place(300).empty());
  }

 private:
  void SetCapacity(const Resources& capacity) {
    WorkerEntry worker;
    worker.m_id = kWorker;
    worker.m_pool = kPool;
    worker.m_capacity = capacity;
    m_scheduler->OnWorkerListed(worker, At(0));
  }

  void Submit(JobId id, const Resources& task) {
    AcceptedJob job;
    job.m_id = id;
    job.m_pool = kPool;
    job.m_request.m_steps = {StepSpec{}};
    job.m_request.m_steps.front().m_task = task;
    m_scheduler->OnJob(job, At(0));
  }

  std::vector<StartCommand> Place(std::int64_t ms) {
    m_scheduler->Decide(At(ms));
    return m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
  }

  void Confirm(const StartCommand& start, std::int64_t ms) {
    m_scheduler->OnStartSent(start, At(ms));
    m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(ms));
  }

  std::unique_ptr<Scheduler> m_scheduler;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityTest);

}  // namespace
}  // namespace hickoryquay::jobs
