// Batches of the scheduler stay within the store's transaction limits, and together contain every change.

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

constexpr Now kNow{Instant{1'000'000}, Instant{1'000'000}};
constexpr int kTasks = 600;
constexpr int kJobs = 40;
constexpr int kAccelerators = 8;
const PoolName kPool{"pool"};

class BatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchTest);
  CPPUNIT_TEST(WideStepsAreSplitOverTransactions);
  CPPUNIT_TEST(RowLargerThanTheLimitIsTakenAlone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    for (int i = 0; i * kAccelerators < kJobs * kTasks; ++i) {
      WorkerEntry worker;
      worker.m_id = WorkerId{"worker-" + std::to_string(i)};
      worker.m_pool = kPool;
      worker.m_address = "10.100.200." + std::to_string(i % 250) + ":8524";
      worker.m_capacity = Resources{kAccelerators, kAccelerators, kAccelerators};
      m_scheduler->OnWorkerListed(worker, kNow);
      m_scheduler->SetWorkerUsable(worker.m_id, true);
    }
    for (int i = 1; i <= kJobs; ++i) {
      AcceptedJob job;
      job.m_id = JobId{static_cast<std::uint64_t>(i)};
      job.m_pool = kPool;
      job.m_request.m_payload = "payload";
      StepSpec step;
      step.m_tasks = kTasks;
      step.m_gang = true;
      step.m_task = Resources{1, 1, 1};
      job.m_request.m_steps = {step};
      m_scheduler->OnJob(job, kNow);
    }
    m_scheduler->Decide(kNow);
  }

  // All steps change at once, which gives more than a megabyte of rows.
  void WideStepsAreSplitOverTransactions() {
    std::set<TaskKey> started;
    int batches = 0;
    for (Batch batch = TakeBatchOf(store::kMaxTransactionBytes); !batch.Empty();
         batch = TakeBatchOf(store::kMaxTransactionBytes)) {
      ++batches;
      CPPUNIT_ASSERT(BytesOf(batch) <= store::kMaxTransactionBytes);
      std::set<std::string> rows;
      for (const RowChange& row : batch.m_rows) rows.insert(row.m_key);
      for (const StartCommand& command : batch.m_starts) {
        CPPUNIT_ASSERT_MESSAGE("starts before its row is stored", rows.contains(ToText(command.m_task.m_step)));
        CPPUNIT_ASSERT(started.insert(command.m_task).second);
      }
    }
    CPPUNIT_ASSERT(batches > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kJobs * kTasks}, started.size());
  }

  void RowLargerThanTheLimitIsTakenAlone() {
    const Batch batch = TakeBatchOf(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.m_rows.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTasks}, batch.m_starts.size());
  }

 private:
  Batch TakeBatchOf(std::size_t bytes) { return m_scheduler->TakeBatch(store::kMaxTransactionRows - 2, bytes); }

  static std::size_t BytesOf(const Batch& batch) {
    std::size_t bytes = 0;
    for (const RowChange& row : batch.m_rows) bytes += row.m_value ? row.m_value->size() : 0;
    return bytes;
  }

  std::unique_ptr<Scheduler> m_scheduler;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchTest);

}  // namespace
}  // namespace hickoryquay::jobs
