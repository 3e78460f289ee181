#include "tests/policy/fuzz.h"

#include <rapidcheck.h>

#include <vector>

#include "tests/property.h"

namespace hickoryquay::test {

namespace {

rc::Gen<Command> GenCommand() {
  using Kind = Command::Kind;
  const auto kind = rc::gen::weightedElement<Kind>(
      {{12, Kind::kSubmit},      {4, Kind::kSubmitMany},    {6, Kind::kStarted},  {5, Kind::kAllStarted},
       {3, Kind::kStartFailed},  {3, Kind::kTaskFailed},    {4, Kind::kFinished}, {6, Kind::kStopped},
       {3, Kind::kCancel},       {1, Kind::kCancelAccount}, {2, Kind::kLose},     {2, Kind::kRejoin},
       {1, Kind::kLeave},        {2, Kind::kQuarantine},    {3, Kind::kUsage},    {6, Kind::kTick},
       {2, Kind::kChangeMarket}, {1, Kind::kDropMarket},    {3, Kind::kRepeat},   {1, Kind::kRebuild}});
  const auto number = rc::gen::inRange(0U, 60U);
  return rc::gen::build<Command>(rc::gen::set(&Command::m_kind, kind), rc::gen::set(&Command::m_a, number),
                                 rc::gen::set(&Command::m_b, number), rc::gen::set(&Command::m_c, number));
}

// The length is bounded by RapidCheck's size.
rc::Gen<std::vector<Command>> GenCommands() {
  return rc::gen::container<std::vector<Command>>(GenCommand());
}

}  // namespace

std::vector<Command> GenerateCommands(std::uint64_t seed, int size) {
  return GenCommands()(rc::Random(seed), size).value();
}

std::string RunAndCheck(DomainSimulation* simulation, bool guarantees, const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    std::string verdict = simulation->Run(command);
    if (!verdict.empty()) return verdict;
  }
  std::string verdict = simulation->RestoreWorkers();
  if (verdict.empty() && guarantees) verdict = simulation->CallAllGuarantees();
  return verdict.empty() ? simulation->RunToCompletion() : verdict;
}

void Fuzz(const std::string& name, const SchedulerFactory& make, bool guarantees) {
  CheckProperty(name, [&] {
    const auto commands = *GenCommands();
    DomainSimulation simulation(make, guarantees);
    const std::string verdict = RunAndCheck(&simulation, guarantees, commands);
    if (!verdict.empty()) RC_FAIL(verdict);
  });
}

}  // namespace hickoryquay::test
