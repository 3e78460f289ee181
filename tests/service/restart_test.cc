// Workers that restart under their id: their runs are placed again, their ends are counted from the start, and a row
// that lags behind or runs ahead of the worker does no harm.

#include <cppunit/extensions/HelperMacros.h>

#include "standin/sim_cluster.h"

namespace hickoryquay::service {
namespace {

constexpr Millis kStartup{3'000};
constexpr Millis kWork{1'000};
constexpr Millis kShortWork{20};
constexpr Millis kLongWork{15'000};
constexpr Millis kEnough{20'000};
constexpr Millis kSlowStore{250};
constexpr Millis kAway{3'500};  // A crashed worker is back by then.

class RestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartTest);
  CPPUNIT_TEST(RunsOfTheEarlierIncarnationAreLost);
  CPPUNIT_TEST(EndsOfTheNewIncarnationAreNotForgotten);
  CPPUNIT_TEST(EndBeforeTheFirstPollIsNotForgotten);
  CPPUNIT_TEST(ReplyReadLateDoesNotForgetEndsOfTheNewIncarnation);
  CPPUNIT_TEST(WorkerThatGoesUnderACallIsAskedAgain);
  CPPUNIT_TEST(LateStartIsStopped);
  CPPUNIT_TEST(LateStartOnAWorkerThatWasGoneDoesNotRunBesideTheNextRun);
  CPPUNIT_TEST(TaskOfAWorkerThatStaysAwayRunsAgain);
  CPPUNIT_TEST(NewLeaderTellsIncarnationsApart);
  CPPUNIT_TEST(NewLeaderReplacesRunsOfAGoneWorkerAtOnce);
  CPPUNIT_TEST(NewLeaderWaitsForAYoungWorkerToBeListed);
  CPPUNIT_TEST(RowThatNeverFollowsKeepsTheWorkerUnused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeCluster(1); }

  void MakeCluster(int workers, int instances = 3) {
    ClusterSettings settings;
    settings.m_instances = instances;
    settings.m_racks = 1;
    settings.m_workers_per_rack = workers;
    settings.m_workers_report_born = true;
    settings.m_workers.m_keeps_recorded_number = true;
    m_cluster = std::make_unique<SimCluster>(settings);
    m_cluster->Run(kStartup);
  }

  // The new incarnation numbers ends from 1 again: they were taken for ends that had been handled.
  void RunsOfTheEarlierIncarnationAreLost() {
    Complete(m_cluster->Submit(0, Tasks(6, 1, kWork), kWork));
    const JobId job = m_cluster->Submit(0, Tasks(2, 1, kWork), kWork);
    m_cluster->Run(kWork / 2);
    CPPUNIT_ASSERT_EQUAL(2, m_cluster->Sim().Running());
    m_cluster->RestartWorkerInPlace(m_worker, Millis{300});
    // Far less than a lease: the runs are clear as soon as the new incarnation has answered.
    m_cluster->Run(Millis{800});
    CPPUNIT_ASSERT_EQUAL(2, m_cluster->Sim().Running());
    Complete(job);
    CPPUNIT_ASSERT(m_cluster->MetricsText().find("hq_worker_restarts_total 1") != std::string::npos);
  }

  // A poll that did not know of the restart told the worker that its first six ends are recorded. Tasks that were done
  // were neither running nor ended, and ran again.
  void EndsOfTheNewIncarnationAreNotForgotten() {
    Complete(m_cluster->Submit(0, Tasks(6, 1, kWork), kWork));
    m_cluster->RestartWorkerInPlace(m_worker, Millis{300});
    m_cluster->Run(kWork);
    Complete(m_cluster->Submit(0, Tasks(2, 1, kWork), kWork));
    ExpectNoMissingEnds();
  }

  // As above; a start that was held up by a cut is executed after the restart and ends before the worker is asked.
  void EndBeforeTheFirstPollIsNotForgotten() {
    Complete(m_cluster->Submit(0, Tasks(6, 1, kWork), kWork));
    m_cluster->Sim().Faults(m_worker).m_cut = true;
    const JobId job = m_cluster->Submit(0, Tasks(2, 1, kWork), kShortWork);
    m_cluster->Run(kWork);
    m_cluster->RestartWorkerInPlace(m_worker, Millis{300});
    m_cluster->Sim().Faults(m_worker) = {};
    Complete(job);
    ExpectNoMissingEnds();
  }

  // Guards against a poll that tells a restarted worker the ends of before: the reply that it relied on had waited in
  // the leader's process, which stood still, while the worker went and came back.
  void ReplyReadLateDoesNotForgetEndsOfTheNewIncarnation() {
    for (Millis store = kSlowStore; store < 2 * kSlowStore; store += kSlowStore / 20)
      RestartWhileTheLeaderStands(store);
  }

  // Guards against calls that never end in the simulation: one that was on its way when its worker crashed.
  void WorkerThatGoesUnderACallIsAskedAgain() {
    const JobId job = m_cluster->Submit(0, Tasks(1, 1, kWork), kWork);
    const int looks = m_cluster->Sim().Looks();
    while (m_cluster->Sim().Looks() == looks) m_cluster->Run(Millis{1});
    m_cluster->CrashWorker(m_worker);
    m_cluster->Run(kEnough);
    Complete(job);
  }

  // A start without an answer that the new incarnation executes was taken for the current run, or forgotten.
  void LateStartIsStopped() {
    m_cluster->Sim().Faults(m_worker).m_late_orders = 1.0;
    const JobId job = m_cluster->Submit(0, Tasks(2, 1, kWork), Millis{30'000});
    m_cluster->Run(Millis{100});
    m_cluster->RestartWorkerInPlace(m_worker, Millis{300});
    m_cluster->Sim().Faults(m_worker) = {};
    m_cluster->Cancel(0, job);
    m_cluster->Run(kEnough);
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Running());
    Complete(m_cluster->Submit(0, Tasks(8, 1, kWork), kWork));
  }

  // The platform did not list the worker while it was down. Its runs were clear at once, and a copy of a start that was
  // still under way ran on the worker when it was back, beside the next run of the task.
  void LateStartOnAWorkerThatWasGoneDoesNotRunBesideTheNextRun() {
    MakeCluster(2);
    m_cluster->Sim().Faults(m_worker).m_late_orders = 1.0;
    const JobId job = m_cluster->Submit(0, Tasks(8, 1, kWork), kLongWork);  // Some copies arrive in time.
    m_cluster->Run(kWork);
    m_cluster->Sim().Faults(m_worker) = {};
    m_cluster->CrashWorker(m_worker);
    Complete(job);
  }

  // As above, of a worker that never returns: the task must not wait for it for good.
  void TaskOfAWorkerThatStaysAwayRunsAgain() {
    MakeCluster(2);
    m_cluster->Sim().Faults(m_worker).m_late_orders = 1.0;
    const JobId job = m_cluster->Submit(0, Tasks(1, 1, kWork), kWork);
    m_cluster->Run(kWork);
    m_cluster->KillWorker(m_worker);
    m_cluster->Run(kEnough);
    Complete(job);
  }

  // The leader dies with the worker: the rows name the earlier incarnation.
  void NewLeaderTellsIncarnationsApart() {
    const JobId job = m_cluster->Submit(0, Tasks(3, 1, kWork), 4 * kWork);
    m_cluster->Run(kWork);
    const auto leader = m_cluster->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    m_cluster->KillInstance(*leader);
    m_cluster->RestartWorkerInPlace(m_worker, Millis{300});
    m_cluster->Run(kEnough);
    Complete(job);
  }

  // Guards against work that was lost during a takeover and waits for the list of workers to be trusted, although its
  // worker had started long before (LOST).
  void NewLeaderReplacesRunsOfAGoneWorkerAtOnce() {
    const SessionSettings settings;
    const Millis two_polls = 2 * (settings.m_poll_timeout + settings.m_retry_delay);
    CPPUNIT_ASSERT(ReplacedAfterTakeover(kEnough) < two_polls);
  }

  // Guards against a worker that counts as gone because the list does not have it yet: its task would run twice.
  void NewLeaderWaitsForAYoungWorkerToBeListed() {
    CPPUNIT_ASSERT(ReplacedAfterTakeover(Millis{0}) >= SessionSettings{}.m_list_max_lag);
  }

  // A row of the earlier incarnation may name room that the new one does not have.
  void RowThatNeverFollowsKeepsTheWorkerUnused() {
    m_cluster->RestartWorkerInPlace(m_worker, 2 * kEnough);
    const int before = m_cluster->Sim().Starts();
    const JobId job = m_cluster->Submit(0, Tasks(1, 1, kWork), Millis{30'000});
    m_cluster->Run(Millis{3'000});
    // The first start may reach the new incarnation before its first reply; it is stopped.
    CPPUNIT_ASSERT(m_cluster->Sim().Starts() <= before + 1);
    CPPUNIT_ASSERT_EQUAL(0, m_cluster->Sim().Running());
    m_cluster->Cancel(0, job);
    m_cluster->Run(3 * kEnough);
    Complete(m_cluster->Submit(0, Tasks(1, 1, kWork), kWork));
  }

 private:
  // A worker goes, and the leader after it. Returns the time from the takeover until its task runs elsewhere. `age`: of
  // the worker when the task begins.
  Millis ReplacedAfterTakeover(Millis age) {
    constexpr Millis kStep{50};
    MakeCluster(2);
    m_cluster->Run(age);
    const JobId job = m_cluster->Submit(0, Tasks(4, 1, kLongWork), kLongWork);
    m_cluster->Run(kWork);
    const int tasks = m_cluster->Sim().Running();
    m_cluster->KillWorker(m_worker);
    m_cluster->KillInstance(*m_cluster->Leader());
    const int lost = tasks - m_cluster->Sim().Running();
    CPPUNIT_ASSERT(lost > 0);
    const auto waits_for = [&](const auto& reached) {
      Millis waited{0};
      for (; !reached() && waited < 2 * kEnough; waited += kStep) m_cluster->Run(kStep);
      return waited;
    };
    const auto taken_over = [&] { return m_cluster->MetricsText().find("hq_takeovers_total 2") != std::string::npos; };
    waits_for(taken_over);
    CPPUNIT_ASSERT(taken_over());
    CPPUNIT_ASSERT(m_cluster->Sim().Running() < tasks);
    const Millis waited = waits_for([&] { return m_cluster->Sim().Running() == tasks; });
    Complete(job);
    return waited;
  }

  // From a reply on that arrives while the answer of a store that takes `store` is due.
  void RestartWhileTheLeaderStands(Millis store) {
    MakeCluster(1, 1);  // Nobody takes over meanwhile.
    Complete(m_cluster->Submit(0, Tasks(6, 1, kWork), kWork));
    const JobId first = m_cluster->Submit(0, Tasks(1, 1, kWork), kWork);
    const JobId second = m_cluster->Submit(0, Tasks(1, 1, kWork), kLongWork);
    m_cluster->Run(kWork / 2);
    m_cluster->Store().SetLatency(store);
    while (m_cluster->Sim().Running() > 1) m_cluster->Run(Millis{1});
    m_cluster->Run(Millis{10});  // The end is read. It is not stored before the worker is asked again.
    const int looks = m_cluster->Sim().Looks();
    while (m_cluster->Sim().Looks() == looks) m_cluster->Run(Millis{1});
    m_cluster->Suspend(0);
    m_cluster->Run(store);
    m_cluster->CrashWorker(m_worker);
    m_cluster->Run(kAway);
    m_cluster->Store().SetLatency(Millis{4});
    m_cluster->Resume(0);
    m_cluster->Run(kWork);
    Complete(m_cluster->Submit(0, Tasks(2, 1, kWork), kWork));
    Complete(first);
    Complete(second);
    ExpectNoMissingEnds();
  }

  void Complete(JobId job) {
    m_cluster->Run(kEnough);
    CPPUNIT_ASSERT(m_cluster->StoredPhase(job) == jobs::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_cluster->Violations());
  }

  void ExpectNoMissingEnds() {
    CPPUNIT_ASSERT(m_cluster->MetricsText().find("hq_worker_ends_missing_total 0") != std::string::npos);
  }

  std::unique_ptr<SimCluster> m_cluster;
  const WorkerId m_worker = SimCluster::WorkerOf(0, 0);
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartTest);

}  // namespace
}  // namespace hickoryquay::service
