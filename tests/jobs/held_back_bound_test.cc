// The bound of preferences under use and room that swing, stops, evacuations and changes of the leader.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <vector>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

// All cores of the accelerators, so that the use of both is the same.
StepSpec Urgent(int tasks, int accelerators) {
  StepSpec step;
  step.m_tasks = tasks;
  step.m_gang = true;
  step.m_task = Resources{accelerators, 16'000 * accelerators, 1'000};
  step.m_estimate = Millis{10'000};
  return step;
}

class HeldBackBoundTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(HeldBackBoundTest);
  CPPUNIT_TEST(GangDoesNotWaitWhileUseSwingsAroundHalf);
  CPPUNIT_TEST(GangDoesNotWaitWhileRoomSwingsAroundTwiceItsNeed);
  CPPUNIT_TEST(OneRoundOfRoomIsEnoughOnceTheGangHasWaited);
  CPPUNIT_TEST(GangThatHasWaitedKeepsItsRackWhileRoomIsShort);
  CPPUNIT_TEST(WaitGoesOnWhileTheGangIsStopped);
  CPPUNIT_TEST(GangDoesNotWaitAnewForWorkersThatReturn);
  CPPUNIT_TEST(FreeShareEndsSoonerWhereNoUrgentWorkComes);
  CPPUNIT_TEST(FreeShareIsKeptWhileUrgentWorkComes);
  CPPUNIT_TEST(OldGangDoesNotWaitAnewAfterATakeover);
  CPPUNIT_TEST(YoungGangDoesNotWaitAnewAfterATakeover);
  CPPUNIT_TEST(GangWaitsForItsRackWhileWorkersJoin);
  CPPUNIT_TEST(GangThatFitsOnceDoesNotWaitForARackForEver);
  CPPUNIT_TEST(GangThatFitsOnceKeepsItsRackWhileTheWaitCostsLess);
  CPPUNIT_TEST(GangThatFitsOnceDoesNotWaitForEverInABusyPool);
  CPPUNIT_TEST(GangThatFitsOnceDoesNotWaitAnewAfterATakeover);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a bound that begins anew each time that half of the pool is in use for a moment.
  void GangDoesNotWaitWhileUseSwingsAroundHalf() {
    for (int i = 0; i < kWorkers; ++i) {
      if (i % kRackSize < 5) Occupy(WorkerAt(i), 1);
    }
    const JobId gang = Submit(Gang(4, kAccelerators, true), 1);
    CPPUNIT_ASSERT(WaitBeside(Urgent(15, 7), 3, 12, gang, Millis{4'000}));
  }

  // Guards against a bound that begins anew each time that others take the room that the gang would need twice.
  void GangDoesNotWaitWhileRoomSwingsAroundTwiceItsNeed() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    CPPUNIT_ASSERT(WaitBeside(Urgent(6, kAccelerators), 3, 12, gang, Millis{4'000}));
  }

  // Guards against a gang that never meets two rounds with ample room in a row.
  void OneRoundOfRoomIsEnoughOnceTheGangHasWaited() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    CPPUNIT_ASSERT(WaitBeside(Urgent(6, kAccelerators), 1, 1, gang, Millis{5'000}));
  }

  // Guards against gangs that are spread over racks in a full service because there was room some time before.
  void GangThatHasWaitedKeepsItsRackWhileRoomIsShort() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, Millis{1'800}));
    const JobId others = Submit(Urgent(12, kAccelerators), 0);
    Confirm(Round());
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, kBound * 2));
    End(others, EndKind::kDone);
    CPPUNIT_ASSERT(WaitUntilPlaced(gang, kRound * 4));
  }

  // Guards against a gang that lost a member and waits for a rack after it has waited for the stop of the others.
  void WaitGoesOnWhileTheGangIsStopped() {
    constexpr int kMembers = 4;
    const JobId gang = Submit(Gang(kMembers, kAccelerators, true), 1);
    const auto starts = Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMembers}, starts.size());
    CPPUNIT_ASSERT(Holds(WorkerAt(0), gang));
    Confirm(starts);
    for (int i = kRackSize; i < kWorkers; ++i) {
      if (i % kRackSize < 5) Occupy(WorkerAt(i), 1);
    }
    EndRun(starts.front(), EndKind::kFailed);
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, Millis{2'000}));
    for (const StartCommand& start : starts) {
      if (start.m_task != starts.front().m_task) EndRun(start, EndKind::kStopped);
    }
    for (int i = 0; i < 5; ++i) Occupy(WorkerAt(i), 1);
    CPPUNIT_ASSERT(WaitUntilPlaced(gang, kRound * 3));
  }

  // Guards against a gang behind an evacuation that waits for its workers' return, and then for as long again.
  void GangDoesNotWaitAnewForWorkersThatReturn() {
    const DomainId domain{"domain"};
    for (int i = kRackSize; i < kWorkers; ++i) {
      List(WorkerAt(i), kPool, "r" + std::to_string(i / kRackSize), kWhole, domain);
    }
    OccupyOnePerRack();
    m_scheduler->SetEvacuated({domain}, At(m_time));
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, kBound * 2));
    m_scheduler->SetEvacuated({}, At(m_time));
    CheckStartsInTime(gang);
  }

  // Guards against a reserve that holds work back for 10 s in calm. 63% of the accelerators and 23% of all are in use.
  void FreeShareEndsSoonerWhereNoUrgentWorkComes() {
    for (int i = 0; i < 15; ++i) Occupy(WorkerAt(i), kAccelerators);
    m_time += Millis{10'000};
    CheckStartsInTime(Submit(Gang(4, kAccelerators, false), 2));
  }

  // Guards against a reserve that is given up while the work comes that it is kept for.
  void FreeShareIsKeptWhileUrgentWorkComes() {
    for (int i = 0; i < 15; ++i) Occupy(WorkerAt(i), kAccelerators);
    const JobId gang = Submit(Gang(4, kAccelerators, false), 2);
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, Millis{9'000}));
  }

  // Guards against a gang that each new leader holds back for as long as the one before.
  void OldGangDoesNotWaitAnewAfterATakeover() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    const AcceptedJob accepted = m_last_job;
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, Millis{1'800}));
    m_time += Millis{1'000};
    TakeOver(accepted);
    OccupyOnePerRack();
    CPPUNIT_ASSERT(WaitUntilPlaced(gang, Millis{700}));
  }

  // As above, of a gang that is younger than the bound.
  void YoungGangDoesNotWaitAnewAfterATakeover() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    const AcceptedJob accepted = m_last_job;
    m_time += Millis{1'000};
    TakeOver(accepted);
    OccupyOnePerRack();
    CPPUNIT_ASSERT(WaitUntilPlaced(gang, Millis{1'200}));
  }

  // Guards against an old gang that a new leader spreads over racks before the workers of its rack have joined.
  void GangWaitsForItsRackWhileWorkersJoin() {
    OccupyOnePerRack();
    const JobId gang = Submit(Gang(kRackSize, kAccelerators, true), 1);
    const AcceptedJob accepted = m_last_job;
    m_time += Millis{10'000};
    TakeOver(accepted);
    OccupyOnePerRack();
    CPPUNIT_ASSERT(!WaitUntilPlaced(gang, Millis{300}));
  }

  // Guards against a gang that waits longer for one rack than it would lose on several. It needs 7 workers, and 4 of
  // each rack are empty, so it fits once and not twice.
  void GangThatFitsOnceDoesNotWaitForARackForEver() {
    const StepSpec gang = GangThatFitsOnce();
    CPPUNIT_ASSERT(WaitUntilPlaced(Submit(gang, 1), LostOnSeveralRacks(gang)));
  }

  // Guards against a gang that is spread over racks, where it runs slower, sooner than that pays.
  void GangThatFitsOnceKeepsItsRackWhileTheWaitCostsLess() {
    const StepSpec gang = GangThatFitsOnce();
    const JobId job = Submit(gang, 1);
    CPPUNIT_ASSERT(!WaitUntilPlaced(job, LostOnSeveralRacks(gang) - kRound * 5));
    for (int i = 0; i < 4; ++i) EndRunOn(WorkerAt(i));
    CPPUNIT_ASSERT(WaitUntilPlaced(job, kRound * 3));
    for (const auto& [task, run] : m_runs) {
      if (task.m_step.m_job == job) CPPUNIT_ASSERT(Raw(run.m_run) == 1 && run.m_worker < WorkerAt(kRackSize));
    }
  }

  // As the first, where lasting work uses more than half of the pool.
  void GangThatFitsOnceDoesNotWaitForEverInABusyPool() {
    const StepSpec gang = GangThatFitsOnce(kAccelerators);
    CPPUNIT_ASSERT(WaitUntilPlaced(Submit(gang, 0), LostOnSeveralRacks(gang)));
  }

  // Guards against a gang that each new leader holds back for as long as the one before.
  void GangThatFitsOnceDoesNotWaitAnewAfterATakeover() {
    const StepSpec gang = GangThatFitsOnce();
    const JobId job = Submit(gang, 1);
    const AcceptedJob accepted = m_last_job;
    CPPUNIT_ASSERT(!WaitUntilPlaced(job, LostOnSeveralRacks(gang) - kRound * 5));
    m_time += Millis{1'000};
    TakeOver(accepted);
    GangThatFitsOnce();
    CPPUNIT_ASSERT(WaitUntilPlaced(job, Millis{700}));
  }

 private:
  // Occupies half of the workers of each rack with work that lasts, so that a gang of seven fits on several racks,
  // once.
  StepSpec GangThatFitsOnce(int occupied = 1) {
    for (int i = 0; i < kWorkers; ++i) {
      if (i % kRackSize < 4) Occupy(WorkerAt(i), occupied);
    }
    return Gang(7, kAccelerators, true);
  }

  static Millis LostOnSeveralRacks(const StepSpec& gang) {
    const auto factor = static_cast<int>(SchedulerSettings{}.m_remote_factor);
    return gang.m_estimate * (factor - 1);
  }

  void EndRunOn(const WorkerId& worker) {
    const auto run =
        std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& entry) { return entry.second.m_worker == worker; });
    EndRun(StartCommand(run->second), EndKind::kDone);
  }

  // Plays on while others run for `busy` rounds and then rest for `idle`, again and again.
  std::optional<Millis> WaitBeside(const StepSpec& others, int busy, int idle, JobId gang, Millis most) {
    const Millis since = m_time;
    while (m_time - since <= most) {
      const JobId job = Submit(others, 0);
      for (int i = 0; i < busy + idle; ++i) {
        if (i == busy) End(job, EndKind::kDone);
        const auto starts = Round();
        Confirm(starts);
        for (const StartCommand& start : starts) {
          if (start.m_task.m_step.m_job == gang) return m_time - since;
        }
        m_time += kRound;
      }
    }
    return std::nullopt;
  }

  // A new scheduler, among workers of which nothing runs.
  void TakeOver(const AcceptedJob& job) {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    m_runs.clear();
    m_scheduler->RestoreJob(job);
    m_scheduler->EndRestoredJobs(At(m_time));
    ListAll();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldBackBoundTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
