// What a scheduler makes of the rows of an earlier one.

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs {
namespace {

constexpr Now kNow{Instant{1'000'000}, Instant{1'000'000}};
const PoolName kPool{"pool"};
const WorkerId kWorker{"worker"};

class RestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoreTest);
  CPPUNIT_TEST(EarlierOccurrencesWithoutRowsAreCreated);
  CPPUNIT_TEST(WrongFailedRunMakesTheRowUnreadable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    WorkerEntry worker;
    worker.m_id = kWorker;
    worker.m_pool = kPool;
    worker.m_address = "10.100.200.1:8524";
    worker.m_capacity = Resources{8, 8, 8};
    m_scheduler->OnWorkerListed(worker, kNow);
    m_scheduler->SetWorkerUsable(kWorker, true);
  }

  // Known red: a timed job of which only the last occurrence has a row never completed, since the others were taken for
  // created.
  void EarlierOccurrencesWithoutRowsAreCreated() {
    AcceptedJob job;
    job.m_id = JobId{7};
    job.m_pool = kPool;
    job.m_request.m_steps = {StepSpec{}};
    job.m_request.m_repeats = 3;
    job.m_request.m_first_due = Instant{500'000};
    job.m_request.m_interval = Millis{1'000};
    m_scheduler->RestoreJob(job);
    UnitRow done;
    done.m_run = RunNumber{1};
    done.m_done = true;
    m_scheduler->RestoreStep(StepRow{StepKey{job.m_id, 2, 0}, {done}});
    m_scheduler->Decide(kNow);
    std::set<int> started;
    PollReply ends;
    for (const StartCommand& start :
         m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts) {
      started.insert(start.m_task.m_step.m_occurrence);
      m_scheduler->OnStartSent(start, kNow);
      m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, kNow);
      EndedTask end;
      end.m_number = static_cast<std::int64_t>(started.size());
      end.m_task = start.m_task;
      end.m_run = start.m_run;
      end.m_kind = EndKind::kDone;
      ends.m_ended.push_back(end);
    }
    CPPUNIT_ASSERT(started == (std::set<int>{0, 1}));
    m_scheduler->OnPollReply(kWorker, ends, kNow.m_steady, kNow);
    CPPUNIT_ASSERT(m_scheduler->Phase(job.m_id) == JobPhase::kCompleted);
  }

  // Known red: elements of another type were skipped, so that the job got attempts that it had used up.
  void WrongFailedRunMakesTheRowUnreadable() {
    const StepKey key{JobId{7}, 0, 0};
    const auto read = [&key](const std::string& failed) {
      return ReadStepRow(key, R"({"units":[{"run":4,"failed":)" + failed + "}]}");
    };
    const auto good = read("[1,3]");
    CPPUNIT_ASSERT(Ok(good));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ValueOf(good).m_units.at(0).m_failed_runs.size());
    for (const char* wrong : {R"(["1"])", "[1,null]", "[1.5]", "[-1]", "[4294967296]", "[{}]"}) {
      const auto row = read(wrong);
      CPPUNIT_ASSERT_MESSAGE(wrong, !Ok(row));
      CPPUNIT_ASSERT_MESSAGE(wrong, ErrorOf(row).m_field.find("failed") != std::string::npos);
    }
  }

 private:
  std::unique_ptr<Scheduler> m_scheduler;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoreTest);

}  // namespace
}  // namespace hickoryquay::jobs
