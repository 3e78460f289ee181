// Random days in virtual time: instances are killed, suspended and cut off from the store, the store is away, slow and
// loses answers, workers are cut, restarted, drained, fail and hang, and orders come late. Nothing that workers see may
// break a rule, and once all is well again every accepted job ends.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

#include "hickoryquay/base/log.h"
#include "tests/service/service_world.h"

namespace hickoryquay::service {
namespace {

using jobs::JobPhase;
using standin::StoreMood;

constexpr int kInstances = 3;
constexpr Millis kSettle{3'000};
constexpr Millis kDay{20'000};
constexpr Millis kStep{250};
constexpr Millis kAfterwards{60'000};  // Leases, late orders, and all the work that is left.

// One day drawn from a seed.
class RandomDay {
 public:
  explicit RandomDay(std::uint64_t seed) : m_random(seed) {
    WorldSettings settings;
    settings.m_random_seed = seed;
    settings.m_workers.m_random_seed = seed;
    m_world = std::make_unique<ServiceWorld>(settings);
  }

  // What is wrong; empty is good.
  std::string Play() {
    m_world->Run(kSettle);
    for (Millis at{0}; at < kDay; at += kStep) {
      if (Chance(0.5)) SubmitOne();
      if (Chance(0.3)) Disturb();
      if (Chance(0.1)) CancelOne();
      m_world->Run(kStep);
    }
    Heal();
    m_world->Run(kAfterwards);
    std::string wrong = m_world->Violations();
    for (const JobId job : m_world->Submitted()) {
      if (!m_world->Accepted(job)) continue;
      const auto phase = m_world->StoredPhase(job);
      if (!phase || !jobs::Ended(*phase)) {
        wrong += jobs::HexText(job) + " is " + (phase ? jobs::ToString(*phase) : "queued") + "\n";
      } else if (*phase == JobPhase::kFailed && !m_hopeless) {
        wrong += jobs::HexText(job) + " failed without cause\n";
      }
    }
    if (m_world->Sim().Running() > 0) wrong += "something still runs\n";
    return wrong;
  }

 private:
  bool Chance(double share) { return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < share; }
  int Upto(int most) { return std::uniform_int_distribution<>(0, most)(m_random); }
  WorkerId AnyWorker() { return m_world->Workers()[static_cast<std::size_t>(Upto(7))]; }  // Of the first eight.

  std::optional<int> AnyInstance() {
    const int index = Upto(kInstances - 1);
    return m_world->Runs(index) ? std::optional(index) : std::nullopt;
  }

  void SubmitOne() {
    const auto instance = AnyInstance();
    if (!instance) return;
    jobs::StepSpec step;
    step.m_tasks = 1 + Upto(5);
    step.m_task = Resources{1 << Upto(3), 1'000, 1'000};
    step.m_gang = Chance(0.5);
    step.m_rack_local = step.m_gang && Chance(0.5);
    step.m_tasks = step.m_rack_local ? std::min(step.m_tasks, 4) : step.m_tasks;  // What a rack can hold.
    step.m_checkpoints = Chance(0.5);
    step.m_max_per_worker = Chance(0.2) && !step.m_gang ? 2 : 0;
    const Millis work{500 + 500 * Upto(6)};
    step.m_estimate = work;
    if (Chance(0.2)) {
      jobs::StepSpec second = step;
      second.m_after = {0};
      m_world->SubmitSteps(*instance, {step, second}, work, Upto(2));
    } else {
      m_world->Submit(*instance, step, work, Upto(2), Chance(0.1) ? 1 : 0);
    }
  }

  void CancelOne() {
    const auto jobs = m_world->Submitted();
    const auto instance = AnyInstance();
    if (jobs.empty() || !instance) return;
    m_world->Cancel(*instance, jobs[static_cast<std::size_t>(Upto(static_cast<int>(jobs.size()) - 1))]);
  }

  void Disturb() {
    const int index = Upto(kInstances - 1);
    switch (Upto(12)) {
      case 0:
        m_world->Runs(index) ? m_world->KillInstance(index) : m_world->StartInstance(index);
        break;
      case 1:
        if (m_world->Runs(index)) m_world->Suspend(index);
        break;
      case 2:
        if (m_world->Runs(index)) m_world->Wake(index);
        break;
      case 3:
        m_world->StoreOf(index).SetMood(StoreMood::kRefuses);
        break;
      case 4:
        m_world->StoreOf(index).SetMood(StoreMood::kSilent);
        break;
      case 5:
        m_world->StoreOf(index).SetMood(StoreMood::kLateWrites, 0.3);
        break;
      case 6:
      case 7:
        m_world->StoreOf(index).SetMood(StoreMood::kServes);
        break;
      case 8:
        m_world->Sim().Faults(AnyWorker()).m_cut = Chance(0.5);
        break;
      case 9:
        m_world->Sim().Faults(AnyWorker()).m_late_orders = Chance(0.5) ? 0.3 : 0.0;
        break;
      case 10:
        m_world->Sim().Faults(AnyWorker()).m_lost_answers = Chance(0.5) ? 0.3 : 0.0;
        break;
      case 11:
        if (Chance(0.3)) {
          m_world->Sim().Faults(AnyWorker()).m_fails = true;
          m_hopeless = true;
        } else {
          m_world->Store().ForgetHistory();
        }
        break;
      default:
        m_world->Sim().Faults(AnyWorker()).m_resets = Chance(0.5);
        if (Chance(0.2)) m_world->ReleaseLeader();
        break;
    }
  }

  void Heal() {
    for (int i = 0; i < kInstances; ++i) {
      m_world->StoreOf(i).SetMood(StoreMood::kServes);
      m_world->Runs(i) ? m_world->Wake(i) : m_world->StartInstance(i);
    }
    for (const WorkerId& worker : m_world->Workers()) m_world->Sim().Faults(worker) = standin::WorkerFaults{};
  }

  std::mt19937_64 m_random;
  std::unique_ptr<ServiceWorld> m_world;
  bool m_hopeless = false;  // Some worker failed everything for a while, so jobs may have failed.
};

class FuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(RandomDaysBreakNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RandomDaysBreakNothing() {
    log::Configure({log::Level::kInfo, log::Form::kText, 1'000'000});
    const bool held = rc::check("random days break nothing", [](std::uint32_t seed) {
      const std::string wrong = RandomDay(seed).Play();
      if (!wrong.empty()) RC_FAIL("seed " + std::to_string(seed) + ":\n" + wrong);
    });
    CPPUNIT_ASSERT(held);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

}  // namespace
}  // namespace hickoryquay::service
