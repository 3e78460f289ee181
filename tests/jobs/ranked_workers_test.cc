// RankedWorkers chooses for each single task of a step what ChooseWorkers would choose for it.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hickoryquay/jobs/worker_choice.h"

namespace hickoryquay::jobs {
namespace {

constexpr Instant kNow{100'000};
constexpr int kWorkers = 30;
constexpr int kTasks = 120;

// A step of single tasks, and workers of random room, speed and past.
class Pool {
 public:
  explicit Pool(unsigned seed) : m_random(seed) {
    for (int i = 0; i < kWorkers; ++i) AddWorker(i);
    m_spec.m_tasks = kTasks;
    m_spec.m_task = Resources{Draw(1, 3), Draw(1, 8), Draw(1, 8)};
    m_spec.m_max_per_worker = Draw(0, 2);
    m_step.m_spec = &m_spec;
    m_step.m_job = &m_job;
    for (int i = 0; i < kTasks; ++i) {
      auto unit = std::make_unique<Unit>();
      unit->m_step = &m_step;
      unit->m_first = i;
      unit->m_members.resize(1);
      m_step.m_units.push_back(std::move(unit));
    }
    m_step.m_avoided[m_candidates[0]->m_entry.m_id] = kNow + Millis{1'000};
    m_input.m_priority = Draw(0, 2);
    m_input.m_estimate = Millis{3'000};
    m_input.m_budget = Millis{Draw(0, 9'000)};
    m_input.m_pace = PoolPace{Draw(0, 1) == 1, 0, -0.4};
    m_input.m_guaranteed = Draw(0, 1) == 1;
    m_input.m_now = kNow;
  }

  // Returns the number of tasks that were placed.
  int PlaceAll() {
    const ChoiceSettings settings;
    m_input.m_unit = m_step.m_units.front().get();
    RankedWorkers ranked(m_input, m_candidates, settings);
    int placed = 0;
    for (const auto& unit : m_step.m_units) {
      ChoiceInput own = m_input;
      own.m_unit = unit.get();
      const Choice expected = ChooseWorkers(own, m_candidates, settings);
      const Choice best = ranked.Best();
      CPPUNIT_ASSERT(expected.m_slots == best.m_slots);
      CPPUNIT_ASSERT_EQUAL(expected.m_rank, best.m_rank);
      CPPUNIT_ASSERT_EQUAL(expected.m_cold, best.m_cold);
      if (best.m_slots.empty()) return placed;
      m_table.Allocate(best.m_slots[0], unit.get(), 0);
      unit->m_active = true;
      ranked.OnPlaced();
      ++placed;
    }
    return placed;
  }

 private:
  int Draw(int least, int most) { return std::uniform_int_distribution<>(least, most)(m_random); }

  void AddWorker(int index) {
    WorkerEntry entry;
    entry.m_id = WorkerId{"w" + std::to_string(index)};
    entry.m_capacity = Resources{Draw(0, 8), Draw(0, 32), Draw(0, 32)};
    m_table.Update(entry);
    WorkerSlot* slot = m_table.Find(entry.m_id);
    slot->m_usable = Draw(0, 9) > 0;
    slot->m_failures = Draw(0, 9) == 0 ? 1 : 0;
    slot->m_cold_until = kNow + Millis{Draw(-2, 1)};
    constexpr double kWeight = 1'000.0;
    slot->m_speed.m_evidence = {kWeight, kWeight * 0.3 * Draw(-2, 2)};
    slot->m_speed.m_at = kNow;
    m_candidates.push_back(slot);
  }

  std::mt19937 m_random;
  JobState m_job;
  StepSpec m_spec;
  StepState m_step;
  WorkerTable m_table;
  std::vector<WorkerSlot*> m_candidates;
  ChoiceInput m_input;
};

class RankedWorkersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RankedWorkersTest);
  CPPUNIT_TEST(EachTaskGetsTheWorkerThatAChoiceOfItsOwnGives);
  CPPUNIT_TEST(SlotsStayInTheOrderOfTheirIds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a list of workers that is not up to date after a task was placed.
  void EachTaskGetsTheWorkerThatAChoiceOfItsOwnGives() {
    constexpr unsigned kSeeds = 300;
    int placed = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) placed += Pool(seed).PlaceAll();
    CPPUNIT_ASSERT(placed > static_cast<int>(kSeeds));
  }

  // Guards against slots that are found or listed after their worker was erased, or in another order than before.
  void SlotsStayInTheOrderOfTheirIds() {
    WorkerTable table;
    for (const char* name : {"c", "a", "d", "b", "a"}) table.Add(WorkerId{name});
    table.EraseIfUnused(WorkerId{"d"});
    table.EraseIfUnused(table.Find(WorkerId{"b"})->m_entry.m_id);
    table.EraseIfUnused(WorkerId{"x"});
    CPPUNIT_ASSERT(table.Find(WorkerId{"b"}) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.Slots().size());
    CPPUNIT_ASSERT_EQUAL(WorkerId{"a"}, table.Slots()[0]->m_entry.m_id);
    CPPUNIT_ASSERT(table.Slots()[1] == table.Find(WorkerId{"c"}));
    CPPUNIT_ASSERT_EQUAL(table.All().size(), table.Slots().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RankedWorkersTest);

}  // namespace
}  // namespace hickoryquay::jobs
