// A lost task that needs a whole worker, among new work that needs little.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

constexpr int kBatch = 2;  // Priority.
constexpr Millis kSecond{1'000};

class LostLargeTaskTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(LostLargeTaskTest);
  CPPUNIT_TEST(LostTaskDoesNotWaitForAWholeWorkerAmongNewSmallWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a lost task that needs a whole worker, and waits while new small work takes each part that is free.
  void LostTaskDoesNotWaitForAWholeWorkerAmongNewSmallWork() {
    constexpr Millis kSmallRuns{8'000};
    FillAllBut(2);
    StepSpec small = Single(0);
    small.m_task.m_millicores = kWhole.m_millicores / kAccelerators;
    small.m_estimate = kSmallRuns;
    StepSpec whole = small;
    whole.m_task.m_millicores = kWhole.m_millicores;
    const JobId job = SubmitSteps({whole}, kBatch, 20.0);
    Confirm(Round());
    for (int i = 0; i < kAccelerators; ++i) SubmitSteps({small}, kBatch, 1.0);
    Confirm(Round());
    LoseWorker(RunOf(job).m_worker);
    // One of the small tasks ends each second, and a new one waits for its room.
    for (const Millis end = m_time + 5 * kSmallRuns; m_time < end; m_time += kSecond) {
      SubmitSteps({small}, kBatch, 1.0);
      EndRun(OldestSmall(job), EndKind::kDone);
      const auto starts = Round();
      Confirm(starts);
      if (std::any_of(starts.begin(), starts.end(), [&](const auto& s) { return s.m_task.m_step.m_job == job; }))
        return;
    }
    CPPUNIT_FAIL("the lost task has not been placed");
  }

 private:
  StartCommand RunOf(JobId job, int step = 0) const {
    const auto found = m_runs.find(TaskKey{StepKey{job, 0, step}, 0});
    CPPUNIT_ASSERT(found != m_runs.end());
    return found->second;
  }

  StartCommand OldestSmall(JobId job) const {
    const auto found =
        std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run.first.m_step.m_job > job; });
    CPPUNIT_ASSERT(found != m_runs.end());
    return found->second;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostLargeTaskTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
