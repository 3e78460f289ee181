// Tasks whose run was lost with its worker: how soon they run again.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

constexpr int kBatch = 2;  // Priority.
constexpr double kNearObjective = 1.0;
constexpr double kFarObjective = 20.0;

class LostRunTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(LostRunTest);
  CPPUNIT_TEST(LostTaskDoesNotWaitBehindNewWork);
  CPPUNIT_TEST(LostGangDoesNotWaitBehindNewWork);
  CPPUNIT_TEST(TaskThatAnEarlierLeaderLostDoesNotWaitBehindNewWork);
  CPPUNIT_TEST(LostTaskIsNotHeldBackByTheFreeShare);
  CPPUNIT_TEST(SecondStepBeginsAfterALostEnd);
  CPPUNIT_TEST(NewTasksOfTheStepOfALostTaskWaitTheirTurn);
  CPPUNIT_TEST(PreemptedTaskKeepsTheFreeShare);
  CPPUNIT_TEST(LostTaskIsNotStoppedForUrgentWork);
  CPPUNIT_TEST(LostRunThatHadProbablyEndedIsCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a lost task that waits while new work of its own priority takes all room that comes free.
  void LostTaskDoesNotWaitBehindNewWork() { CheckLostIsNext(Single(kAccelerators)); }

  // As above, for a gang of which a member was lost.
  void LostGangDoesNotWaitBehindNewWork() { CheckLostIsNext(Gang(2, kAccelerators / 2, false)); }

  // As above, where the rows of an earlier leader tell that the task had begun.
  void TaskThatAnEarlierLeaderLostDoesNotWaitBehindNewWork() {
    FillAllBut(1);
    AcceptedJob job = MakeJob({Single(kAccelerators)}, kBatch, kFarObjective);
    m_scheduler->RestoreJob(job);
    UnitRow lost;
    lost.m_run = RunNumber{1};
    m_scheduler->RestoreStep(StepRow{StepKey{job.m_id, 0, 0}, {lost}});
    SubmitSteps({Single(kAccelerators)}, kBatch, kNearObjective);
    CPPUNIT_ASSERT(JobsOf(Round()) == std::set<JobId>{job.m_id});
  }

  // Guards against a lost task that waits for the share of the pool that is kept free for urgent work, while a whole
  // step waits for the task.
  void LostTaskIsNotHeldBackByTheFreeShare() {
    StepSpec next = Single(1);
    next.m_after = {0};
    const JobId job = SubmitSteps({Single(1), next}, kBatch, kFarObjective);
    Confirm(Round());
    for (int i = 0; i < kMostWorkers; ++i) {
      if (!Holds(WorkerAt(i), job)) Occupy(WorkerAt(i), kAccelerators);
    }
    LoseWorkerOf(job);
    CheckStartsInTime(job);
  }

  // Guards against a job of which nothing runs at the end of a day, with most of the room free: the end of the last
  // task of its first step was lost, and the task ran again after all newer work.
  void SecondStepBeginsAfterALostEnd() {
    constexpr Millis kLost{10'000};
    constexpr Millis kTraffic{41'000};
    constexpr Millis kFinish{14'000};  // From the end of the traffic until jobs are looked at.
    constexpr Millis kLongestIdle{3'000};
    StepSpec step = Task();
    step.m_tasks = 8;
    StepSpec next = step;
    next.m_after = {0};
    const JobId job = SubmitSteps({step, next}, kBatch, kFarObjective);
    Play(kRound, false);
    Play(kLost, true);
    while (RunsOf(job).size() > 1) EndRun(RunsOf(job).front(), EndKind::kDone);
    LoseWorkerOf(job);
    Play(kTraffic, true);
    Play(kTraffic + kFinish, false);
    for (; m_time < kTraffic + kFinish + kLongestIdle; PlayRound(false)) {
      const SchedulerCounts counts = m_scheduler->Counts();
      if (m_begun.contains(StepKey{job, 0, 1}) || 2 * counts.m_used_accelerators >= counts.m_accelerators) return;
    }
    CPPUNIT_FAIL("the second step has not begun");
  }

  // Guards against a step that overtakes others as a whole because one of its tasks was lost.
  void NewTasksOfTheStepOfALostTaskWaitTheirTurn() {
    FillAllBut(2);
    StepSpec step = Single(kAccelerators);
    step.m_tasks = 3;
    const JobId job = SubmitSteps({step}, kBatch, kFarObjective);
    Confirm(Round());
    const JobId other = SubmitSteps({Single(kAccelerators)}, kBatch, kNearObjective);
    LoseWorkerOf(job);
    End(job, EndKind::kDone);
    CPPUNIT_ASSERT(JobsOf(Round()) == std::set<JobId>{job});
    End(job, EndKind::kDone);
    CPPUNIT_ASSERT(JobsOf(Round()) == std::set<JobId>{other});
  }

  // Guards against a task that is stopped for urgent work and at once takes room that is kept for more of it.
  void PreemptedTaskKeepsTheFreeShare() {
    constexpr int kLeftFree = 3;  // On a worker, too few for the urgent task.
    const JobId job = Submit(Single(kAccelerators), kBatch);
    Confirm(Round());
    for (int i = 0; i < kWorkers; ++i) {
      if (!Holds(WorkerAt(i), job)) Occupy(WorkerAt(i), i < kMostWorkers ? kAccelerators : kAccelerators - kLeftFree);
    }
    const JobId urgent = Submit(Single(kAccelerators), 0);
    Round();
    End(job, EndKind::kStopped);
    CheckStartsInTime(urgent);
    for (int i = kWorkers; i < kWorkers + 2; ++i) List(WorkerAt(i), kPool, "r0");
    CPPUNIT_ASSERT(!WaitUntilPlaced(job, kBound));
  }

  // Guards against a task that was lost, runs again, and is stopped since its new run has the least work to repeat.
  void LostTaskIsNotStoppedForUrgentWork() {
    CheckLostIsNext(Single(kAccelerators));
    Submit(Single(kAccelerators), 0);
    Round();
    CPPUNIT_ASSERT(m_scheduler->TakeStops(At(m_time)).empty());
  }

  // Guards against logs and metrics from which it can't be read whether an end was lost with its worker.
  void LostRunThatHadProbablyEndedIsCounted() {
    const std::vector<JobId> jobs{Submit(Single(kAccelerators), kBatch), Submit(Single(kAccelerators), kBatch)};
    Confirm(Round());
    m_time += Millis{5'000};
    const std::vector<int> percents{30, 60};
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const StartCommand run = RunsOf(jobs[i]).front();
      PollReply reply;
      reply.m_running.push_back({run.m_task, run.m_run, {}, percents[i]});
      m_scheduler->OnPollReply(run.m_worker, reply, At(m_time).m_steady, At(m_time));
    }
    m_time += Millis{4'000};
    for (const JobId job : jobs) LoseWorkerOf(job);
    CPPUNIT_ASSERT_EQUAL(2, m_scheduler->Counts().m_lost_runs);
    CPPUNIT_ASSERT_EQUAL(1, m_scheduler->Counts().m_lost_ends);
  }

 private:
  // Takes an equal share of a worker's accelerators and cores.
  static StepSpec Task() {
    StepSpec step = Single(1);
    step.m_task.m_millicores = kWhole.m_millicores / kAccelerators;
    return step;
  }

  // A job is lost with its worker, while work with nearer objectives runs on the only other one and waits for it.
  void CheckLostIsNext(const StepSpec& step) {
    FillAllBut(2);
    const JobId job = SubmitSteps({step}, kBatch, kFarObjective);
    Confirm(Round());
    const JobId running = SubmitSteps({Single(kAccelerators)}, kBatch, kNearObjective);
    Confirm(Round());
    SubmitSteps({Single(kAccelerators)}, kBatch, kNearObjective);
    LoseWorkerOf(job);
    CPPUNIT_ASSERT(Round().empty());
    End(running, EndKind::kDone);
    CPPUNIT_ASSERT(JobsOf(Round()) == std::set<JobId>{job});
  }

  static std::set<JobId> JobsOf(const std::vector<StartCommand>& starts) {
    std::set<JobId> jobs;
    for (const StartCommand& start : starts) jobs.insert(start.m_task.m_step.m_job);
    return jobs;
  }

  std::vector<StartCommand> RunsOf(JobId job) const {
    std::vector<StartCommand> runs;
    for (const auto& [task, run] : m_runs) {
      if (task.m_step.m_job == job) runs.push_back(run);
    }
    return runs;
  }

  void LoseWorkerOf(JobId job) { LoseWorker(RunsOf(job).front().m_worker); }

  // Tasks run to their end; as long as there is traffic, more of them wait than there is room for.
  void PlayRound(bool traffic) {
    constexpr Millis kWork{6'000};
    constexpr Millis kLongWork{11'000};  // Of the jobs with a far objective.
    constexpr std::size_t kBacklog = 140;
    const std::map<TaskKey, StartCommand> runs = m_runs;
    for (const auto& [task, run] : runs) {
      const Millis work = m_short.contains(task.m_step.m_job) ? kWork : kLongWork;
      if (m_time - m_placed_at.at(task) >= work) EndRun(run, EndKind::kDone);
    }
    while (traffic && m_waiting.size() < kBacklog) {
      m_waiting.insert(SubmitSteps({Task()}, kBatch, kNearObjective));
      m_short.insert(m_last_job.m_id);
    }
    const std::vector<StartCommand> starts = Round();
    for (const StartCommand& start : starts) {
      m_waiting.erase(start.m_task.m_step.m_job);
      m_placed_at[start.m_task] = m_time;
      m_begun.insert(start.m_task.m_step);
    }
    Confirm(starts);
    m_time += kRound;
  }

  void Play(Millis until, bool traffic) {
    while (m_time < until) PlayRound(traffic);
  }

  std::map<TaskKey, Millis> m_placed_at;
  std::set<StepKey> m_begun;
  std::set<JobId> m_waiting;
  std::set<JobId> m_short;  // Jobs of short tasks.
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostRunTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
