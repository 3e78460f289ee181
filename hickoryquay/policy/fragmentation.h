// Fragmentation of the free accelerators, computed from their numbers per worker.
#pragma once

#include <vector>

#include "hickoryquay/model/model.h"

namespace hickoryquay::policy {

// Free accelerators of one worker that may take work.
struct FreeWorker {
  int m_rack_position = 0;
  int m_rack = 0;  // Any number, unique per rack.
  int m_free = 0;
};

struct Fragmentation {
  double m_share = 0.0;               // Of the free accelerators, that can't serve the shape; 0 if none is free.
  double m_largest_gang_share = 1.0;  // Free accelerators of the largest run of neighbouring racks, over all free ones.
};

// `shape` is the largest one that waits or is guaranteed; one without accelerators if there is none.
// Ignores processors and memory. O(n log n).
Fragmentation MeasureFragmentation(std::vector<FreeWorker> workers, const GangShape& shape);

}  // namespace hickoryquay::policy
