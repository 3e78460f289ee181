// Stateful fuzzing of placers, table and workers together: injects any fault at any step, then clears all faults and
// checks the invariants.

#include <cppunit/extensions/HelperMacros.h>

#include <ostream>
#include <string>
#include <vector>

#include "tests/placer/simulation.h"
#include "tests/property.h"

namespace hickoryquay {
namespace {

using test::FakeTable;
using test::Simulation;

// A renewal that was sent while all parts were known to be running may arrive up to kLongestDelay later.
constexpr Millis kLease = workers::SessionSettings{}.m_max_partial_run + test::kLongestDelay;
constexpr Millis kSettleTime{400'000};  // Longer than all leases, retries and sweeps together.
constexpr int kWorkers = 4;

// One step of a run: an action, its parameter and the time to advance after it.
struct Step {
  int m_action = 0;
  int m_choice = 0;
  int m_wait_ms = 0;
};

// The table fault for a step's choice.
FakeTable::Fault FaultOf(int choice) {
  static constexpr FakeTable::Fault kFaults[] = {FakeTable::Fault::kNone, FakeTable::Fault::kDown,
                                                 FakeTable::Fault::kLostAnswer, FakeTable::Fault::kLostCall};
  return kFaults[choice % 4];
}

class Run {
 public:
  explicit Run(unsigned seed) : m_simulation(kWorkers, seed) {
    m_simulation.m_settings.m_sweep_every = Millis{5'000};
    m_simulation.StartProcess();
    m_simulation.StartProcess();
    m_simulation.Advance(Millis{3'000});
  }

  void Apply(const Step& step) {
    using Action = void (Run::*)(int);
    static constexpr Action kActions[] = {
        &Run::SubmitOnce, &Run::SubmitRepeatable,  &Run::SetTable, &Run::SetNet, &Run::Crash,         &Run::Pause,
        &Run::Resume,     &Run::ToggleUnreachable, &Run::Restart,  &Run::Cancel, &Run::StepPartially, &Run::FailTasks};
    const Action action = kActions[step.m_action];
    (this->*action)(step.m_choice);
    m_simulation.Advance(Millis{step.m_wait_ms});
  }

  void RecoverAndSettle() {
    m_simulation.m_table.SetFault(FakeTable::Fault::kNone);
    m_simulation.m_faults = {};
    m_simulation.m_unreachable.clear();
    for (auto& [id, worker] : m_simulation.m_workers) worker.m_fails = false;
    for (const auto& process : m_simulation.m_processes) Simulation::Resume(process);
    m_simulation.Advance(kSettleTime);
  }

  Simulation m_simulation;

 private:
  Simulation::ProcessPtr ProcessFor(int choice) {
    return m_simulation.m_processes[static_cast<std::size_t>(choice) % m_simulation.m_processes.size()];
  }
  WorkerId WorkerFor(int choice) { return WorkerId("w-" + std::to_string(choice % kWorkers)); }

  // Few keys, so that submissions repeat; all submissions with a key are the same request.
  void SubmitOnce(int choice) {
    const int key = choice % 3;
    m_simulation.Submit(ProcessFor(choice), m_simulation.Spec(1 + key, true, "key-" + std::to_string(key)));
  }
  void SubmitRepeatable(int choice) {
    m_simulation.Submit(ProcessFor(choice), m_simulation.Spec(1 + choice % kWorkers, false));
  }
  void SetTable(int choice) { m_simulation.m_table.SetFault(FaultOf(choice)); }
  void SetNet(int choice) {
    const int percent = choice % 2 == 0 ? 0 : choice % 60;
    m_simulation.m_faults = {percent, percent, percent, percent};
  }
  void Crash(int choice) {
    m_simulation.Crash(choice % 3 != 0 && m_simulation.Holder() ? m_simulation.Holder() : ProcessFor(choice));
    m_simulation.StartProcess();
  }
  void Pause(int choice) {
    Simulation::Pause(choice % 3 != 0 && m_simulation.Holder() ? m_simulation.Holder() : ProcessFor(choice));
  }
  void Resume(int choice) { Simulation::Resume(ProcessFor(choice)); }
  void ToggleUnreachable(int choice) {
    const WorkerId worker = WorkerFor(choice);
    if (m_simulation.m_unreachable.erase(worker) == 0) m_simulation.m_unreachable.insert(worker);
  }
  void Restart(int choice) { m_simulation.m_workers.at(WorkerFor(choice)).Restart(m_simulation.m_clock.Now()); }
  void Cancel(int choice) {
    if (m_simulation.m_accepted.empty()) return;
    auto job = m_simulation.m_accepted.begin();
    std::advance(job, static_cast<std::size_t>(choice) % m_simulation.m_accepted.size());
    ProcessFor(choice)->m_intake->Cancel(DomainId("leicester"), job->first, "operator", [](const auto&) {});
  }
  // Runs only some pending tasks and messages, so that the next fault occurs in the middle of an operation.
  void StepPartially(int choice) {
    for (int i = 0; i < choice % 40 && m_simulation.StepOnce(); ++i) {
    }
  }
  void FailTasks(int choice) {
    auto& worker = m_simulation.m_workers.at(WorkerFor(choice));
    worker.m_fails = !worker.m_fails;
  }
};

void showValue(const Step& step, std::ostream& out) {
  out << "{" << step.m_action << ", " << step.m_choice << ", " << step.m_wait_ms << "}";
}

rc::Gen<Step> ArbitraryStep() {
  return rc::gen::build<Step>(rc::gen::set(&Step::m_action, rc::gen::inRange(0, 12)),
                              rc::gen::set(&Step::m_choice, rc::gen::inRange(0, 10'000)),
                              rc::gen::set(&Step::m_wait_ms, rc::gen::element(0, 0, 50, 300, 2'000, 9'000, 20'000)));
}

class PlacerFuzz : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacerFuzz);
  CPPUNIT_TEST(KeepsInvariantsUnderFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsInvariantsUnderFaults() {
    test::CheckProperty("invariants under faults", [] {
      const auto seed = *rc::gen::inRange(0U, 1'000'000U);
      const auto steps = *rc::gen::container<std::vector<Step>>(ArbitraryStep());
      Run run(seed);
      for (const Step& step : steps) {
        run.Apply(step);
        RC_ASSERT(run.m_simulation.Violations(kLease) == std::string());
      }
      run.RecoverAndSettle();
      RC_ASSERT(run.m_simulation.Violations(kLease) == std::string());
      RC_ASSERT(run.m_simulation.Unfinished() == std::string());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacerFuzz);

}  // namespace
}  // namespace hickoryquay
