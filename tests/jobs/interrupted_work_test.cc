// Work that the scheduler interrupted, beyond the loss of a worker, and what it may take from others.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>
#include <vector>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

constexpr int kBatch = 2;  // Priority.
constexpr Millis kSecond{1'000};

class InterruptedWorkTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(InterruptedWorkTest);
  CPPUNIT_TEST(WaitOfALostGangBeginsWithTheFirstLoss);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a wait of lost work that is measured from the loss of the last member of its gang.
  void WaitOfALostGangBeginsWithTheFirstLoss() {
    FillAllBut(2);
    Submit(Gang(2, kAccelerators, false), kBatch);
    Confirm(Round());
    const std::vector<WorkerId> workers{WorkerAt(kWorkers - 2), WorkerAt(kWorkers - 1)};
    LoseWorker(workers[0]);
    m_time += 5 * kSecond;
    LoseWorker(workers[1]);
    for (int i = kWorkers; i < kWorkers + 2; ++i) List(WorkerAt(i), kPool, "r0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Round().size());
    const auto replaced = m_scheduler->TakeReplacedRuns();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replaced.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, std::int64_t{replaced.front().m_waited.count()});
  }

 private:
  // All workers but the last ones are full for good, and no share is kept free.
  void FillAllBut(int workers) {
    SchedulerSettings settings;
    settings.m_min_free_share = settings.m_min_free_share_batch = settings.m_min_free_share_tight = 0.0;
    m_scheduler = std::make_unique<Scheduler>(settings);
    ListAll();
    for (int i = 0; i < kWorkers - workers; ++i) Occupy(WorkerAt(i), kAccelerators, kWhole.m_millicores);
  }

  void OccupyOthers(const std::set<WorkerId>& workers) {
    for (int i = 0; i < kMostWorkers; ++i) {
      if (!workers.contains(WorkerAt(i))) Occupy(WorkerAt(i), kAccelerators);
    }
  }

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

  // Another id answers at its address.
  void LoseWorker(const WorkerId& worker) {
    std::erase_if(m_runs, [&worker](const auto& run) { return run.second.m_worker == worker; });
    m_scheduler->SetWorkerUsable(worker, false);
    m_scheduler->OnWorkerCleared(worker, WorkerLoss::kReplaced, At(m_time));
    m_scheduler->OnWorkerUnlisted(worker);
  }

  bool IsStoppedForUrgentWork() {
    m_time += kSecond;
    m_scheduler->TakeStops(At(m_time));
    Submit(Single(kAccelerators), 0);
    Round();
    return !m_scheduler->TakeStops(At(m_time)).empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterruptedWorkTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
