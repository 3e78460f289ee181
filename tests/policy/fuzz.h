// Fuzz: arbitrary interleavings of commands for the World, judged by the oracle.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/policy/domain_simulation.h"

namespace hickoryquay::test {

// Runs random command sequences, then what must hold at their end: every guarantee can be called on at once, and every
// accepted job ends. Fails the running test with the shrunk sequence and the first broken rule.
void Fuzz(const std::string& name, const SchedulerFactory& make, bool guarantees);

// One of those sequences, of at most `size` commands.
std::vector<Command> GenerateCommands(std::uint64_t seed, int size);

// Runs one sequence and what must hold at its end. Empty, or the first broken rule.
std::string RunAndCheck(DomainSimulation* simulation, bool guarantees, const std::vector<Command>& commands);

}  // namespace hickoryquay::test
