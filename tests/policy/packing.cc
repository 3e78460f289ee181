#include "tests/policy/packing.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <unordered_map>
#include <utility>

namespace hickoryquay::test {

namespace {

class PackingSearch {
 public:
  PackingSearch(const std::vector<PackWorker>& workers, const std::vector<PackBlock>& blocks)
      : m_workers(workers), m_blocks(blocks), m_given(workers.size()) {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      m_given[i].resize(workers[i].m_pinned.size());
      m_racks[{workers[i].m_position, workers[i].m_rack}].push_back(i);
    }
  }

  bool Run() { return Place(0); }

 private:
  bool Place(std::size_t block) {
    if (block == m_blocks.size()) return true;
    if (!m_tried.emplace(block, Canonical()).second) return false;
    for (const std::vector<std::size_t>& group : Groups(m_blocks[block].m_adjacency)) {
      if (Spread(block, group, 0, m_blocks[block].m_accelerators)) return true;
    }
    return false;
  }

  // The accelerators given to blocks, with the workers of each rack sorted. Equal workers of a rack are interchangeable
  // under every adjacency, so one of the equivalent distributions is enough. The order of the racks matters.
  std::vector<std::vector<int>> Canonical() const {
    std::vector<std::vector<int>> all;
    for (const auto& [rack, members] : m_racks) {
      const std::size_t begin = all.size();
      for (const std::size_t i : members) {
        std::vector<int>& worker = all.emplace_back(m_given[i]);
        worker.push_back(m_workers[i].m_accelerators);
        worker.insert(worker.end(), m_workers[i].m_pinned.begin(), m_workers[i].m_pinned.end());
      }
      std::sort(all.begin() + static_cast<std::ptrdiff_t>(begin), all.end());
    }
    return all;
  }

  // Tries every way to take `left` accelerators from the workers of the group from index `at` on.
  bool Spread(std::size_t block, const std::vector<std::size_t>& group, std::size_t at, int left) {
    if (left == 0) return Place(block + 1);
    if (at == group.size()) return false;
    const std::size_t worker = group[at];
    int& given = m_given[worker][m_blocks[block].m_account];
    for (int part = std::min(left, m_workers[worker].m_accelerators); part >= 0; --part) {
      given += part;
      if (Fits(worker) && Spread(block, group, at + 1, left - part)) return true;
      given -= part;
    }
    return false;
  }

  bool Fits(std::size_t worker) const {
    int used = 0;
    for (std::size_t account = 0; account < m_given[worker].size(); ++account) {
      used += std::max(m_given[worker][account], m_workers[worker].m_pinned[account]);
    }
    return used <= m_workers[worker].m_accelerators;
  }

  std::vector<std::vector<std::size_t>> Groups(Adjacency adjacency) const {
    std::vector<std::vector<std::size_t>> groups;
    for (std::size_t first = 0; first < m_workers.size(); ++first) {
      std::vector<std::size_t> group;
      for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (InGroup(m_workers[first], m_workers[i], adjacency, i == first)) group.push_back(i);
      }
      groups.push_back(std::move(group));
    }
    return groups;
  }

  // Whether `other` belongs to the group that starts with `first`.
  bool InGroup(const PackWorker& first, const PackWorker& other, Adjacency adjacency, bool same) const {
    switch (adjacency) {
      case Adjacency::kWorker:
        return same;
      case Adjacency::kRack:
        return first.m_rack == other.m_rack;
      case Adjacency::kNeighbourRacks: {
        const int distance = other.m_position - first.m_position;
        if (distance < 0 || distance >= kMaxNeighbourRacks) return false;
        for (int position = first.m_position; position < other.m_position; ++position) {
          if (!HasRackAt(position)) return false;
        }
        return true;
      }
      case Adjacency::kAny:
        break;
    }
    return true;
  }

  bool HasRackAt(int position) const {
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [position](const PackWorker& worker) { return worker.m_position == position; });
  }

  const std::vector<PackWorker>& m_workers;
  const std::vector<PackBlock>& m_blocks;
  std::vector<std::vector<int>> m_given;                                    // By worker and account.
  std::map<std::pair<int, std::string>, std::vector<std::size_t>> m_racks;  // By position and name.
  std::set<std::pair<std::size_t, std::vector<std::vector<int>>>> m_tried;
};

}  // namespace

namespace {

std::string KeyOf(const std::vector<PackWorker>& workers, const std::vector<PackBlock>& blocks) {
  std::ostringstream key;
  for (const PackWorker& worker : workers) {
    key << worker.m_rack << '@' << worker.m_position << '=' << worker.m_accelerators;
    for (const int pinned : worker.m_pinned) key << ',' << pinned;
    key << ';';
  }
  for (const PackBlock& block : blocks) {
    key << block.m_account << ':' << block.m_accelerators << ToString(block.m_adjacency) << ';';
  }
  return key.str();
}

// A quick check that avoids most failing searches: at best, an account's blocks overlap its own pins entirely.
bool ExceedsCapacity(const std::vector<PackWorker>& workers, const std::vector<PackBlock>& blocks) {
  std::map<int, int> blocks_of;
  std::map<int, int> pinned_of;
  int accelerators = 0;
  for (const PackBlock& block : blocks) blocks_of[block.m_account] += block.m_accelerators;
  for (const PackWorker& worker : workers) {
    accelerators += worker.m_accelerators;
    for (std::size_t i = 0; i < worker.m_pinned.size(); ++i) pinned_of[static_cast<int>(i)] += worker.m_pinned[i];
  }
  for (const auto& [account, pinned] : pinned_of) blocks_of[account] = std::max(blocks_of[account], pinned);
  int needed = 0;
  for (const auto& [account, of_account] : blocks_of) needed += of_account;
  return needed > accelerators;
}

}  // namespace

bool CanPackAll(const std::vector<PackWorker>& workers, const std::vector<PackBlock>& blocks) {
  if (ExceedsCapacity(workers, blocks)) return false;
  static std::unordered_map<std::string, bool> results;
  const auto [entry, added] = results.try_emplace(KeyOf(workers, blocks), false);
  if (added) entry->second = PackingSearch(workers, blocks).Run();
  return entry->second;
}

}  // namespace hickoryquay::test
