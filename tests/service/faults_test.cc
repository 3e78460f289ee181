// Faults that were seen on played days, each as the smallest sequence that shows it. Virtual time, no network.

#include <cppunit/extensions/HelperMacros.h>

#include "tests/service/service_world.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;

constexpr Millis kSettle{3'000};  // Election, rows, first looks.
constexpr Millis kTask{2'000};

jobs::StepSpec Tasks(int count, int accelerators) {
  jobs::StepSpec step;
  step.m_tasks = count;
  step.m_task = Resources{accelerators, 1'000, 1'000};
  step.m_estimate = kTask;
  return step;
}

jobs::StepSpec Gang(int count, int accelerators) {
  jobs::StepSpec step = Tasks(count, accelerators);
  step.m_gang = true;
  return step;
}

class FaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsTest);
  CPPUNIT_TEST(JobsRunToTheirEnd);
  CPPUNIT_TEST(CancelInTableReadAnewIsTaken);
  CPPUNIT_TEST(TasksOfSilentWorkerRunElsewhere);
  CPPUNIT_TEST(RefusedConnectionIsNoProof);
  CPPUNIT_TEST(LeftWorkerIsClearSoon);
  CPPUNIT_TEST(GangOfLeftWorkerIsPlacedAgainAtOnce);
  CPPUNIT_TEST(TakeoverWaitsForUnreachableWorker);
  CPPUNIT_TEST(StopsAreFollowedByOneLook);
  CPPUNIT_TEST(LateStartIsNotRunTwice);
  CPPUNIT_TEST(UnansweredStartDoesNotStopItsGang);
  CPPUNIT_TEST(HeldUpStartIsNotTakenForNeverSent);
  CPPUNIT_TEST(SuspendedLeaderDoesNoHarm);
  CPPUNIT_TEST(LostWritesAreSettled);
  CPPUNIT_TEST(LapsedWorkersServeUntilTheirRowsAreBack);
  CPPUNIT_TEST(LapsedWorkerThatIsGoneGetsNothingNew);
  CPPUNIT_TEST(LapsedWorkerIsGoneWhereItsRowStaysAway);
  CPPUNIT_TEST(UnreadableRowNamesNoWorkerBehindAnOutageEither);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_world = std::make_unique<ServiceWorld>(WorldSettings{}); }
  void tearDown() override { m_world.reset(); }

  void JobsRunToTheirEnd() {
    m_world->Run(kSettle);
    const JobId single = m_world->Submit(0, Tasks(10, 1), kTask);
    const JobId gang = m_world->Submit(1, Gang(3, 8), kTask, 0);
    const JobId steps = m_world->SubmitSteps(2, {Tasks(2, 1), Behind(Tasks(3, 2))}, kTask, 2);
    m_world->Run(Millis{6'000});
    for (const JobId job : {single, gang, steps}) CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  // A cancel stands before its job in a table that is read as a whole.
  void CancelInTableReadAnewIsTaken() {
    m_world->Run(kSettle);
    const auto leader = m_world->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    const int other = (*leader + 1) % 3;
    m_world->StoreOf(*leader).SetMood(standin::StoreMood::kRefuses);
    const JobId job = m_world->Submit(other, Tasks(1, 1), kTask);
    m_world->Run(Millis{50});
    m_world->Cancel(other, job);
    m_world->Run(Millis{100});
    m_world->Store().ForgetHistory();
    m_world->StoreOf(*leader).SetMood(standin::StoreMood::kServes);
    m_world->Run(Millis{6'000});
    CheckPhase(job, JobPhase::kCancelled);
    CheckNothingBroken();
  }

  void TasksOfSilentWorkerRunElsewhere() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{4'000});  // One on each worker.
    m_world->Run(Millis{500});
    m_world->Sim().Faults(ServiceWorld::WorkerOf(0, 0)).m_cut = true;
    m_world->Run(Millis{16'000});  // The lease, and the task again.
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  // A cut may reset connections while the worker runs on, taken off the list or not.
  void RefusedConnectionIsNoProof() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(7, 8), Millis{5'000});
    m_world->Run(Millis{500});
    for (int i = 0; i < 2; ++i) {
      const WorkerId cut = ServiceWorld::WorkerOf(0, i);
      m_world->Sim().Faults(cut).m_resets = true;
      m_world->Store().Remove({"workers", "", cut.m_value});
    }
    m_world->Run(Millis{18'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void LeftWorkerIsClearSoon() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(7, 8), Millis{3'000});
    m_world->Run(Millis{500});
    m_world->KillWorker(ServiceWorld::WorkerOf(0, 0));
    // Noticed by a look, found missing in the list of lives, run again from the start: well before a lease is over.
    m_world->Run(Millis{6'500});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  // Its row goes with it, as that of a worker that leaves by plan: nothing has to time out first.
  void GangOfLeftWorkerIsPlacedAgainAtOnce() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Gang(3, 8), Millis{2'000});
    m_world->Run(Millis{1'000});
    const WorkerId left = ServiceWorld::WorkerOf(0, 0);
    m_world->Sim().Kill(left);
    m_world->Store().Remove({"workers", "", left.m_value});
    m_world->Run(Millis{2'700});  // Its whole work again, and less than a look takes to time out.
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  // Seen on a day whose store was silent for 4.8 s: half of the workers had no row for the two seconds after, and the
  // other half was cleared for urgent work.
  void LapsedWorkersServeUntilTheirRowsAreBack() {
    Outage(8);
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_world->Run(Millis{1'400});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void LapsedWorkerThatIsGoneGetsNothingNew() {
    const WorkerId gone = ServiceWorld::WorkerOf(0, 0);
    Outage(8, gone);
    const JobId job = m_world->Submit(0, Tasks(7, 8), Millis{1'000}, 0);
    m_world->Run(Millis{1'600});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void LapsedWorkerIsGoneWhereItsRowStaysAway() {
    Outage(4);
    m_world->Run(Millis{3'000});
    const int before = m_world->Sim().Starts();
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_world->Run(Millis{800});
    CPPUNIT_ASSERT_EQUAL(before + 4, m_world->Sim().Starts());  // On the four that are listed.
    m_world->Run(Millis{2'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void UnreadableRowNamesNoWorkerBehindAnOutageEither() {
    Outage(0);
    const WorkerId garbled = ServiceWorld::WorkerOf(0, 0);
    m_world->Garble(garbled);
    m_world->Run(Millis{50});
    m_world->Submit(0, Tasks(8, 8), Millis{1'000}, 0);
    m_world->Run(Millis{1'000});
    CPPUNIT_ASSERT_EQUAL(0, m_world->Sim().StartsOn(garbled));
    CheckNothingBroken();
  }

  void TakeoverWaitsForUnreachableWorker() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{9'000});
    m_world->Run(Millis{500});
    const auto leader = m_world->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    const WorkerId cut = ServiceWorld::WorkerOf(1, 1);
    m_world->Sim().Faults(cut).m_cut = true;
    m_world->KillInstance(*leader);
    m_world->Store().Remove({"workers", "", cut.m_value});
    m_world->Run(Millis{25'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void StopsAreFollowedByOneLook() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{9'000});
    m_world->Run(Millis{500});
    const int before = m_world->Sim().Looks();
    m_world->Cancel(1, job);
    m_world->Run(Millis{1'000});
    CheckPhase(job, JobPhase::kCancelled);
    CPPUNIT_ASSERT_EQUAL(0, m_world->Sim().Running());
    // A worker each: one behind the stop, one that brings the end, one that takes note of it, and one in hand.
    CPPUNIT_ASSERT(m_world->Sim().Looks() - before <= 4 * 8);
    CheckNothingBroken();
  }

  void LateStartIsNotRunTwice() {
    m_world->Run(kSettle);
    for (const WorkerId& worker : m_world->Workers()) m_world->Sim().Faults(worker).m_late_orders = 0.4;
    std::vector<JobId> jobs;
    for (int i = 0; i < 10; ++i) jobs.push_back(m_world->Submit(i % 3, i % 2 == 0 ? Gang(2, 4) : Tasks(3, 2), kTask));
    m_world->Run(Millis{30'000});
    for (const WorkerId& worker : m_world->Workers()) m_world->Sim().Faults(worker).m_late_orders = 0.0;
    m_world->Run(Millis{30'000});
    for (const JobId job : jobs) CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  // One of eight starts gets lost: the gang waits for that member only, and nothing is thrown away.
  void UnansweredStartDoesNotStopItsGang() {
    m_world->Run(kSettle);
    const WorkerId late = ServiceWorld::WorkerOf(1, 2);
    m_world->Sim().Faults(late).m_late_orders = 1.0;
    const JobId job = m_world->Submit(0, Gang(8, 8), kTask);
    m_world->Run(Millis{100});
    m_world->Sim().Faults(late).m_late_orders = 0.0;
    m_world->Run(kTask + Millis{400});
    CheckPhase(job, JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(0.0, m_world->Sim().WastedCoreSeconds());
    m_world->Run(Millis{15'000});  // The late order arrives.
    CheckNothingBroken();
  }

  // The first start is held up by a cut, the repeated one can't even be sent; then the first one arrives.
  void HeldUpStartIsNotTakenForNeverSent() {
    m_world->Run(kSettle);
    const WorkerId cut = ServiceWorld::WorkerOf(0, 0);
    m_world->Sim().Faults(cut).m_cut = true;
    const JobId job = m_world->Submit(0, Tasks(8, 8), Millis{4'000});
    m_world->Run(Millis{150});
    m_world->Sim().Faults(cut).m_resets = true;
    m_world->Run(Millis{1'500});
    m_world->Sim().Faults(cut) = standin::WorkerFaults{};
    m_world->Run(Millis{15'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void SuspendedLeaderDoesNoHarm() {
    m_world->Run(kSettle);
    const JobId job = m_world->Submit(0, Tasks(12, 4), Millis{4'000});
    m_world->Run(Millis{300});
    const auto leader = m_world->Leader();
    CPPUNIT_ASSERT(leader.has_value());
    m_world->Suspend(*leader);
    m_world->Run(Millis{5'000});
    m_world->Wake(*leader);
    m_world->Run(Millis{12'000});
    CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

  void LostWritesAreSettled() {
    m_world->Run(kSettle);
    for (int i = 0; i < 3; ++i) m_world->StoreOf(i).SetMood(standin::StoreMood::kLateWrites, 0.3);
    std::vector<JobId> jobs;
    for (int i = 0; i < 6; ++i) jobs.push_back(m_world->Submit(i % 3, Tasks(4, 2), kTask));
    m_world->Run(Millis{15'000});
    for (int i = 0; i < 3; ++i) m_world->StoreOf(i).SetMood(standin::StoreMood::kServes);
    m_world->Run(Millis{20'000});
    for (const JobId job : jobs) CheckPhase(job, JobPhase::kCompleted);
    CheckNothingBroken();
  }

 private:
  // The store is silent for 5 s, and the rows of the first `lapsed` workers are gone when it returns. One of them may
  // have died meanwhile.
  void Outage(int lapsed, const std::optional<WorkerId>& dies = std::nullopt) {
    m_world->Run(kSettle);
    SetMood(standin::StoreMood::kSilent);
    m_world->Run(Millis{4'900});
    for (int i = 0; i < lapsed; ++i) {
      m_world->Store().Remove({"workers", "", m_world->Workers()[static_cast<std::size_t>(i)].m_value});
    }
    if (dies) m_world->Sim().Kill(*dies);
    SetMood(standin::StoreMood::kServes);
    m_world->Run(Millis{1'100});  // A feed call under way, and the pause behind it.
  }

  void SetMood(standin::StoreMood mood) {
    for (int i = 0; i < 3; ++i) m_world->StoreOf(i).SetMood(mood);
  }

  static jobs::StepSpec Behind(jobs::StepSpec step) {
    step.m_after = {0};
    return step;
  }

  void CheckPhase(JobId job, JobPhase expected) {
    const auto phase = m_world->StoredPhase(job);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(jobs::HexText(job), std::string(jobs::ToString(expected)),
                                 phase ? std::string(jobs::ToString(*phase)) : std::string("no phase"));
  }

  void CheckNothingBroken() { CPPUNIT_ASSERT_EQUAL(std::string(), m_world->Violations()); }

  std::unique_ptr<ServiceWorld> m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}  // namespace
}  // namespace hickoryquay::service
