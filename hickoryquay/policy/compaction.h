// Compaction: moves small checkpointable jobs off workers, so that whole workers close together become free.
#pragma once

#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

// Returns the jobs to move so that one more gang of this shape fits on entirely free workers, with the fewest
// accelerators moved. Empty if as many such gangs fit as the number of free accelerators allows, or if nothing can be
// done: too few accelerators are free, or the jobs to move are within their account's guarantee, can't be checkpointed,
// were moved recently, or have no room elsewhere.
std::vector<JobIndex> ChooseJobsToMove(const Cluster& cluster, const Certificate& certificate, const GangShape& shape,
                                       Instant now);

}  // namespace hickoryquay::policy
