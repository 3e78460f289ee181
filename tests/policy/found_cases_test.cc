// Regression tests: replays shrunk sequences of commands that once broke a rule, on every scheduler.
#include <cppunit/extensions/HelperMacros.h>

#include "bench/policy/baseline.h"
#include "hickoryquay/policy/policy.h"
#include "tests/policy/fuzz.h"

namespace hickoryquay::test {
namespace {

using Kind = Command::Kind;

struct FoundCase {
  const char* m_name;
  std::vector<Command> m_commands;
};

const std::vector<FoundCase>& FoundCases() {
  static const std::vector<FoundCase> cases = {
      {"job accepted that has no place beside the guarantees", {{Kind::kSubmit, 0, 4, 9}}},
      {"guaranteed block left on a leaving worker where its account's own work runs",
       {{Kind::kSubmit, 9, 4, 10}, {Kind::kSubmitMany, 2, 10, 0}, {Kind::kLeave, 0, 0, 0}}},
      {"guarantees broken by a worker that leaves not reported",
       {{Kind::kLose, 0, 0, 0}, {Kind::kSubmitMany, 0, 10, 0}, {Kind::kLeave, 5, 0, 0}}},
      {"call after two changes of the guarantee not served",
       {{Kind::kSubmitMany, 5, 0, 0}, {Kind::kChangeMarket, 18, 0, 0}, {Kind::kChangeMarket, 17, 0, 0}}},
      {"call on a restored guarantee not served",
       {{Kind::kChangeMarket, 1, 1, 0},
        {Kind::kSubmit, 0, 0, 0},
        {Kind::kChangeMarket, 0, 1, 0},
        {Kind::kSubmitMany, 2, 0, 0}}},
      {"progress lost by a repeated stop for repacking",
       {{Kind::kSubmit, 0, 2, 0}, {Kind::kStarted, 0, 0, 0}, {Kind::kTick, 0, 0, 0}, {Kind::kTick, 0, 0, 0}}},
      {"jobs of a dropped market forgotten by a new placer",
       {{Kind::kSubmit, 0, 0, 3},
        {Kind::kSubmitMany, 20, 0, 0},
        {Kind::kDropMarket, 3, 0, 0},
        {Kind::kRebuild, 0, 0, 0}}},
      {"job refused while it still held accelerators",
       {{Kind::kSubmit, 0, 0, 0}, {Kind::kDropMarket, 0, 0, 0}, {Kind::kRebuild, 0, 0, 0}}},
      {"gang that needs every worker not placed again after a failure",
       {{Kind::kSubmit, 0, 0, 9}, {Kind::kStarted, 0, 0, 0}, {Kind::kTaskFailed, 0, 0, 0}}},
      {"job waiting forever after a guarantee grew",
       {{Kind::kSubmitMany, 0, 0, 0}, {Kind::kSubmit, 12, 0, 7}, {Kind::kChangeMarket, 2, 0, 0}}},
      {"start that failed without running, after one of its workers was lost",
       {{Kind::kSubmit, 0, 1, 6}, {Kind::kLose, 0, 0, 0}, {Kind::kStartFailed, 0, 1, 0}}},
      {"stop repeated for room that a cancelled job frees anyway",
       {{Kind::kSubmit, 0, 0, 0},
        {Kind::kSubmit, 0, 11, 3},
        {Kind::kSubmitMany, 0, 0, 0},
        {Kind::kAllStarted, 0, 0, 0},
        {Kind::kFinished, 2, 0, 0},
        {Kind::kCancel, 10, 0, 0},
        {Kind::kLose, 2, 0, 0},
        {Kind::kSubmitMany, 0, 0, 0},
        {Kind::kRebuild, 0, 0, 0},
        {Kind::kTick, 0, 0, 0}}},
      // Compaction stopped jobs that had started by a call; other accounts' work took their place.
      {"job that a call had started stopped for compaction",
       {{Kind::kChangeMarket, 6, 0, 0}, {Kind::kSubmitMany, 5, 0, 11}, {Kind::kSubmit, 2, 22, 10}}},
      // The same away from the certified block, where the account holds no more than its guarantee in all.
      {"job within its account's guarantee stopped for compaction",
       {{Kind::kChangeMarket, 1, 0, 0},
        {Kind::kTick, 0, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kTick, 1, 0, 0},
        {Kind::kSubmit, 2, 0, 10}}},
      // A head reservation on the same worker counted the room that a call had freed as its own, and came first.
      {"room that a call had freed taken by a head reservation",
       {{Kind::kSubmit, 0, 0, 23},
        {Kind::kSubmitMany, 9, 0, 0},
        {Kind::kSubmitMany, 2, 2, 20},
        {Kind::kTick, 0, 0, 0},
        {Kind::kTick, 0, 0, 0},
        {Kind::kTick, 0, 0, 0},
        {Kind::kSubmitMany, 5, 0, 0},
        {Kind::kTick, 0, 0, 0},
        {Kind::kTick, 0, 0, 0}}}};
  return cases;
}

class FoundCasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoundCasesTest);
  CPPUNIT_TEST(Policy);
  CPPUNIT_TEST(FirstFit);
  CPPUNIT_TEST(BestFit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Policy() {
    const auto make = [](const DomainId& domain) {
      policy::PolicySettings settings;
      settings.m_domain = domain;
      return policy::MakePolicy(settings);
    };
    ReplayAll(make, true);
  }
  void FirstFit() { ReplayAll(&bench::MakeFirstFit, false); }
  void BestFit() { ReplayAll(&bench::MakeBestFit, false); }

 private:
  static void ReplayAll(const SchedulerFactory& make, bool guarantees) {
    for (const FoundCase& found : FoundCases()) {
      DomainSimulation simulation(make, guarantees);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(found.m_name, std::string(), RunAndCheck(&simulation, guarantees, found.m_commands));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FoundCasesTest);

}  // namespace
}  // namespace hickoryquay::test
