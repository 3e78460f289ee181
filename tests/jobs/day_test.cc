// Simulated days of heavy load: what jobs earn, the upper bound of it, and that simulations are reproducible.

#include <cppunit/extensions/HelperMacros.h>

#include "bench/jobs/trial.h"

namespace hickoryquay::bench {
namespace {

constexpr double kExact = 1e-9;
constexpr double kFullLoad = 1.0;
constexpr int kFewWorkers = 16;

jobs::StepSpec Gang(int tasks, int accelerators, Millis estimate) {
  jobs::StepSpec step;
  step.m_tasks = tasks;
  step.m_task = Resources{accelerators, 1'000, 1'000};
  step.m_estimate = estimate;
  step.m_gang = tasks > 1;
  return step;
}

// A day with one worker and no jobs.
DayLoad OneWorkerDay() {
  DayLoad day = *MakeDay("steady", 1, kFullLoad, 1);
  day.m_workers.front().m_speed = 1.0;
  day.m_jobs.clear();
  day.m_arrivals = Millis{10'000};
  day.m_after = Millis{20'000};
  return day;
}

// A job that uses the whole worker for `work`, and is worth 1, or 0.25 if late.
DayJob WholeWorkerJob(std::uint64_t id, Instant accepted, Millis work, Millis objective) {
  DayJob planned;
  planned.m_job.m_id = JobId{id};
  planned.m_job.m_queue = jobs::QueueName{"rebuild"};
  planned.m_job.m_account = AccountId{"account-0"};
  planned.m_job.m_pool = jobs::PoolName{"pool"};
  planned.m_job.m_accepted = accepted;
  planned.m_job.m_priority = 1;
  planned.m_job.m_stretch = 3.0;
  planned.m_job.m_request.m_payload = "payload";
  planned.m_job.m_request.m_steps = {Gang(1, 8, work)};
  standin::StepTruth truth;
  truth.m_spec = planned.m_job.m_request.m_steps.front();
  truth.m_pool = planned.m_job.m_pool;
  truth.m_work = {work};
  planned.m_truths = {truth};
  planned.m_worth = 1.0;
  planned.m_late_worth = 0.25;
  planned.m_critical_path = work;
  planned.m_objective = objective;
  return planned;
}

class DayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DayTest);
  CPPUNIT_TEST(SameDayGivesTheSameResult);
  CPPUNIT_TEST(NoLoadPatternViolatesAnInvariant);
  CPPUNIT_TEST(LateJobsEarnLessAndLostJobsNothing);
  CPPUNIT_TEST(BoundIsExactWhenOneJobMustBeLate);
  CPPUNIT_TEST(NoDayEarnsMoreThanTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Sets that were ordered by address broke ties differently in each run.
  void SameDayGivesTheSameResult() {
    const DayLoad day = *MakeDay("urgent-burst", 1, kFullLoad, kFewWorkers);
    const TrialResult first = PlayDay(day, {});
    const auto shift = std::make_unique<std::vector<char>>(100'000);  // Changes the addresses of later allocations.
    const TrialResult second = PlayDay(day, {});
    CPPUNIT_ASSERT_EQUAL(first.m_starts, second.m_starts);
    for (std::size_t i = 0; i < first.m_jobs.size(); ++i) {
      CPPUNIT_ASSERT(first.m_jobs[i].m_phase == second.m_jobs[i].m_phase);
      CPPUNIT_ASSERT(first.m_jobs[i].m_took == second.m_jobs[i].m_took);
    }
  }

  void NoLoadPatternViolatesAnInvariant() {
    for (const auto& [pattern, summary] : Patterns()) {
      const TrialResult result = PlayDay(*MakeDay(pattern, 2, kFullLoad, kFewWorkers), {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(pattern, std::string(),
                                   result.m_violations.empty() ? std::string() : result.m_violations.front());
      CPPUNIT_ASSERT_MESSAGE(pattern, result.m_starts > 0);
    }
  }

  void LateJobsEarnLessAndLostJobsNothing() {
    DayLoad day = OneWorkerDay();
    day.m_jobs.push_back(WholeWorkerJob(1, Instant{0}, Millis{4'000}, Millis{5'000}));
    // Runs second and ends after 8 s: late.
    day.m_jobs.push_back(WholeWorkerJob(2, Instant{10}, Millis{4'000}, Millis{5'000}));
    // Ends after 12 s, more than three times its objective: lost.
    day.m_jobs.push_back(WholeWorkerJob(3, Instant{20}, Millis{4'000}, Millis{3'000}));
    const Worth worth = Judge(day, PlayDay(day, {}));
    CPPUNIT_ASSERT_EQUAL(1, worth.m_in_time);
    CPPUNIT_ASSERT_EQUAL(1, worth.m_late);
    CPPUNIT_ASSERT_EQUAL(1, worth.m_lost);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25 / 3.0, worth.Share(), kExact);
  }

  // Two jobs of 4 s both need the worker in the first 4 s. At best one is in time and worth 1, the other late and worth
  // 0.25.
  void BoundIsExactWhenOneJobMustBeLate() {
    DayLoad day = OneWorkerDay();
    day.m_jobs.push_back(WholeWorkerJob(1, Instant{0}, Millis{4'000}, Millis{3'999}));
    day.m_jobs.push_back(WholeWorkerJob(2, Instant{0}, Millis{4'000}, Millis{3'999}));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25 / 2.0, UpperBound(day), 1e-4);
  }

  void NoDayEarnsMoreThanTheBound() {
    for (const char* pattern : {"steady", "urgent-burst", "broken-racks"}) {
      const DayLoad day = *MakeDay(pattern, 3, 1.5, kFewWorkers);
      const double earned = Judge(day, PlayDay(day, {})).Share();
      CPPUNIT_ASSERT_MESSAGE(pattern, earned <= UpperBound(day) + 1e-4);
      CPPUNIT_ASSERT_MESSAGE(pattern, earned > 0.0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DayTest);

}  // namespace
}  // namespace hickoryquay::bench
