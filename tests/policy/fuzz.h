// Fuzz: runs random sequences of commands on a DomainSimulation, checked by the oracle.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/policy/domain_simulation.h"

namespace hickoryquay::test {

// Runs random sequences of commands, each followed by the checks of RunAndCheck. Fails the running test with the shrunk
// sequence and the first broken rule.
void Fuzz(const std::string& name, const SchedulerFactory& make, bool guarantees);

// Returns one such sequence of at most `size` commands.
std::vector<Command> GenerateCommands(std::uint64_t seed, int size);

// Runs one sequence and checks that at its end all guarantees can be called on at once (where `guarantees`), and that
// every accepted job ends. Returns the first broken rule, or an empty text.
std::string RunAndCheck(DomainSimulation* simulation, bool guarantees, const std::vector<Command>& commands);

}  // namespace hickoryquay::test
