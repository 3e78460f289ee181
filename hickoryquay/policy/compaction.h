// Compaction: moves small checkpointable jobs out of workers, so that whole workers become free close together.
#pragma once

#include <vector>

#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

// The jobs to move so that one more gang of this shape finds whole free workers, at the least work moved. Empty where
// the free accelerators serve as many such gangs as their number allows, or where nothing can be done: too few are
// free, or the jobs in the way can't be checkpointed, were moved lately, or would find no room elsewhere.
std::vector<JobIndex> ChooseJobsToMove(const Cluster& cluster, const GangShape& shape, Instant now);

}  // namespace hickoryquay::policy
