// Invariants: checks the consistency of the policy's state, for tests.
#pragma once

#include <string>

#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::policy {

// Empty where a scheduler made by MakePolicy is consistent; else one sentence on what is wrong. Checks that no
// accelerator is given twice, that sums agree with the parts, that no gang is held in part, and that the reclaim
// certificate packs all blocks that have not been reported as broken. Empty for any other scheduler.
// O(workers + jobs + blocks).
std::string CheckInvariants(const Scheduler& scheduler);

}  // namespace hickoryquay::policy
