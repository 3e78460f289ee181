// Measures: fragmentation of the free accelerators, from sums alone.
#pragma once

#include <vector>

#include "hickoryquay/model/model.h"

namespace hickoryquay::policy {

// Free accelerators of one worker that may take work.
struct FreeWorker {
  int m_rack_position = 0;
  int m_rack = 0;  // Any number, one a rack.
  int m_free = 0;
};

struct Fragmentation {
  double m_share = 0.0;               // Of the free, that can't serve the shape; 0 where none is free.
  double m_largest_gang_share = 1.0;  // Accelerators of the largest gang of neighbouring racks, over the free ones.
};

// `shape` is the largest one that waits or is guaranteed; one of no accelerators where there is none.
// Accelerators alone count. O(n log n).
Fragmentation MeasureFragmentation(std::vector<FreeWorker> workers, const GangShape& shape);

}  // namespace hickoryquay::policy
