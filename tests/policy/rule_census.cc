// rule_census RUNS: counts, by rule, how many of RUNS random sequences break it. Used by scripts/mutate-policy.sh.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "hickoryquay/policy/policy.h"
#include "tests/policy/fuzz.h"

namespace hickoryquay::test {
namespace {

constexpr int kDefaultRuns = 1'000;
constexpr int kMaxCommands = 80;

std::unique_ptr<policy::Scheduler> MakeDefaultPolicy(const DomainId& domain) {
  policy::PolicySettings settings;
  settings.m_domain = domain;
  return policy::MakePolicy(settings);
}

int CountViolations(int runs) {
  std::map<std::string, int> broken;
  for (int run = 0; run < runs; ++run) {
    DomainSimulation simulation(&MakeDefaultPolicy, true);
    simulation.CountWrongAdmissions();
    const std::string verdict = RunAndCheck(&simulation, true, GenerateCommands(run, 1 + run % kMaxCommands));
    if (!verdict.empty()) {
      ++broken[verdict.substr(0, verdict.find(':'))];
      std::cerr << "seed " << run << ": " << verdict << '\n';
    }
    if (simulation.WrongAdmissions() > 0) ++broken["admission"];
  }
  for (const auto& [rule, count] : broken) std::cout << rule << ' ' << count << '\n';
  return 0;
}

}  // namespace
}  // namespace hickoryquay::test

int main(int argc, char** argv) {
  return hickoryquay::test::CountViolations(argc > 1 ? std::atoi(argv[1]) : hickoryquay::test::kDefaultRuns);
}
