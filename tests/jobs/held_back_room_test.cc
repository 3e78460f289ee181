// What counts as use and as room of a pool: workers that are silent, evacuated, drain, rest, have shrunk or lack a
// label.

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

#include "tests/jobs/held_back_pool.h"

namespace hickoryquay::jobs::held_back {
namespace {

const DomainId kDomain{"domain"};  // Of the last rack.

class HeldBackRoomTest : public HeldBackPool {
  CPPUNIT_TEST_SUITE(HeldBackRoomTest);
  CPPUNIT_TEST(RunsOnSilentWorkersAreNoUse);
  CPPUNIT_TEST(RunsInALostDomainAreNoUse);
  CPPUNIT_TEST(EvacuatedWorkersArePartOfTheService);
  CPPUNIT_TEST(WorkersThatDrainAreNoRoom);
  CPPUNIT_TEST(WorkersThatRestAreRoom);
  CPPUNIT_TEST(WorkersWithoutTheLabelAreNoRoom);
  CPPUNIT_TEST(ShrunkWorkersAreUsedMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work that waits until the leases of silent workers are over, though most of the others is free.
  void RunsOnSilentWorkersAreNoUse() {
    FillRackOfData();
    FillLastRack();
    for (int i = 2 * kRackSize; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(WorkerAt(i), false);
    CheckStartsInTime(Submit(TaskWithData(), 1));
  }

  // As above, of workers whose failure domain does not answer.
  void RunsInALostDomainAreNoUse() {
    FillRackOfData();
    FillLastRack();
    m_scheduler->SetLost({kDomain}, At(m_time));
    CheckStartsInTime(Submit(TaskWithData(), 1));
  }

  // Guards against work that waits because a part of the service is evacuated: 68 of 192 accelerators are in use.
  void EvacuatedWorkersArePartOfTheService() {
    FillRackOfData();
    OccupyWhole(WorkerAt(kRackSize));
    m_scheduler->SetEvacuated({kDomain}, At(m_time));
    CheckStartsInTime(Submit(TaskWithData(), 1));
  }

  // Guards against gangs that leave their rack for room which is about to go.
  void WorkersThatDrainAreNoRoom() {
    OccupyOnePerRack();
    for (int i = 2 * kRackSize; i < kWorkers; ++i) {
      WorkerEntry worker;
      worker.m_id = WorkerAt(i);
      worker.m_pool = kPool;
      worker.m_address = "10.100.200.1:8524";
      worker.m_rack = "r2";
      worker.m_capacity = kWhole;
      worker.m_draining = true;
      m_scheduler->OnWorkerListed(worker, At(m_time));
    }
    CPPUNIT_ASSERT(!WaitUntilPlaced(Submit(Gang(kRackSize, kAccelerators, true), 1), kBound * 2));
  }

  // Guards against a bound that does not begin before the workers that rest are back.
  void WorkersThatRestAreRoom() {
    FillRackOfData();
    std::set<WorkerId> others;
    for (int i = kRackSize; i < kWorkers; ++i) others.insert(WorkerAt(i));
    const JobId task = Submit(TaskWithData(), 1);
    Rest(others);
    CheckStartsInTime(task);
  }

  // Guards against work that gives up its preference for room which it can't take.
  void WorkersWithoutTheLabelAreNoRoom() {
    FillRackOfData();
    List(WorkerAt(kRackSize), kPool, "r1", kWhole, {}, {"special"});
    for (int i = 0; i < kRackSize; ++i) List(WorkerAt(i), kPool, "r0", kWhole, {}, {"special"});
    StepSpec task = TaskWithData();
    task.m_required_label = "special";
    const JobId job = Submit(task, 1);
    CPPUNIT_ASSERT(!WaitUntilPlaced(job, kBound * 2));
    List(WorkerAt(kRackSize + 1), kPool, "r1", kWhole, {}, {"special"});
    CheckStartsInTime(job);
  }

  // Guards against work that leaves its data while what is left of the service is short.
  void ShrunkWorkersAreUsedMore() {
    FillRackOfData();
    for (int i = kRackSize + 2; i < kWorkers; ++i) List(WorkerAt(i), kPool, "r1", Resources{1, 16'000, 8'000});
    CPPUNIT_ASSERT(!WaitUntilPlaced(Submit(TaskWithData(), 1), kBound * 2));
  }

 private:
  // Cores and accelerators are used alike, so that both measures of use agree.
  void OccupyWhole(const WorkerId& worker, int accelerators = kAccelerators) {
    Occupy(worker, accelerators, 16'000 * accelerators);
  }

  // 60 of its 64 accelerators, so that no task of a whole worker fits.
  void FillRackOfData() {
    for (int i = 0; i < kRackSize - 1; ++i) OccupyWhole(WorkerAt(i));
    OccupyWhole(WorkerAt(kRackSize - 1), 4);
    for (int i = 2 * kRackSize; i < kWorkers; ++i) List(WorkerAt(i), kPool, "r2", kWhole, kDomain);
  }

  void FillLastRack() {
    for (int i = 2 * kRackSize; i < kWorkers; ++i) OccupyWhole(WorkerAt(i));
  }

  static StepSpec TaskWithData() {
    StepSpec task = Single(kAccelerators);
    task.m_data_rack = "r0";
    return task;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldBackRoomTest);

}  // namespace
}  // namespace hickoryquay::jobs::held_back
