// Packing: exhaustive search whether all guaranteed blocks fit at the same time. For a few workers and blocks.
#pragma once

#include <string>
#include <vector>

#include "hickoryquay/model/model.h"

namespace hickoryquay::test {

struct PackWorker {
  std::string m_rack;
  int m_position = 0;
  int m_accelerators = 0;
  std::vector<int> m_pinned;  // Accelerators held by work that can't be stopped, by account.
};

struct PackBlock {
  int m_account = 0;
  int m_accelerators = 0;
  Adjacency m_adjacency = Adjacency::kRack;
};

// A block may overlap pinned work of its own account, but not of other accounts. Caches its results.
bool CanPackAll(const std::vector<PackWorker>& workers, const std::vector<PackBlock>& blocks);

}  // namespace hickoryquay::test
