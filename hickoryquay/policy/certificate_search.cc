// The packing search of Certificate: a greedy one for a single block and an exhaustive one over all blocks.
#include <algorithm>
#include <numeric>
#include <tuple>

#include "hickoryquay/policy/certificate.h"

namespace hickoryquay::policy {

//-------------------------------------------------------------------------------------------------
// One block
//-------------------------------------------------------------------------------------------------

// Tries large share units first, up to whole workers, so that tasks of several accelerators fit into the shares.
bool Certificate::FindPlace(const BlockSpec& block, Shares* shares, int min_unit) {
  using Finder = bool (Certificate::*)(const BlockSpec&, Shares*) const;
  static constexpr Finder kFinders[] = {&Certificate::FindWorker, &Certificate::FindRack,
                                        &Certificate::FindNeighbourRacks, &Certificate::FindAnywhere};
  const Finder find = kFinders[static_cast<int>(block.m_adjacency)];
  bool found = false;
  for (int unit = m_max_share_unit; unit > 0; unit /= 2) {
    if (found || block.m_accelerators % unit != 0 || unit < min_unit) continue;
    m_share_unit = unit;
    shares->clear();
    found = (this->*find)(block, shares);
  }
  m_share_unit = 1;
  return found;
}

// Prefers the worker with the least costly work to stop, then with the most work of the account, then the tightest fit.
bool Certificate::FindWorker(const BlockSpec& block, Shares* shares) const {
  WorkerIndex best = kNone;
  std::tuple<int, int, int, int> best_cost;
  for (const Rack& rack : m_racks) {
    if (rack.m_spare + rack.m_pinned < block.m_accelerators) continue;
    for (const WorkerIndex worker : rack.m_workers) {
      const int room = RoomForBlock(worker, block.m_account);
      if (room < block.m_accelerators) continue;
      const int pinned = UncertifiedPinned(worker, block.m_account);
      const int covered = std::min(std::max(pinned, UncertifiedHeld(worker, block.m_account)), block.m_accelerators);
      const int penalty = std::max(0, block.m_accelerators - CheapRoomFor(worker, block.m_account));
      const std::tuple<int, int, int, int> cost{penalty, -covered, room, rack.m_spare};
      if (best != kNone && cost >= best_cost) continue;
      best = worker;
      best_cost = cost;
    }
  }
  if (best == kNone) return false;
  shares->push_back({best, block.m_accelerators});
  return true;
}

// Prefers the rack with the least costly work to stop, then with the most work of the account, then the tightest fit.
bool Certificate::FindRack(const BlockSpec& block, Shares* shares) const {
  RackIndex best = kNone;
  std::tuple<int, int, int> best_cost;
  for (std::size_t rack = 0; rack < m_racks.size(); ++rack) {
    if (m_racks[rack].m_spare + m_racks[rack].m_pinned < block.m_accelerators) continue;
    int room = 0;
    int cheap = 0;
    int held = 0;
    for (const WorkerIndex worker : m_racks[rack].m_workers) {
      room += RoomForBlock(worker, block.m_account);
      cheap += CheapRoomFor(worker, block.m_account);
      held += UncertifiedHeld(worker, block.m_account);
    }
    const int covered = std::min(held, block.m_accelerators);
    const std::tuple<int, int, int> cost{std::max(0, block.m_accelerators - cheap), -covered, room};
    if (room < block.m_accelerators || (best != kNone && cost >= best_cost)) continue;
    best = static_cast<RackIndex>(rack);
    best_cost = cost;
  }
  if (best == kNone) return false;
  FillRack(best, block.m_account, block.m_accelerators, shares);
  return true;
}

// One rack if it is enough, else the shortest run of adjacent racks in which every rack is used.
bool Certificate::FindNeighbourRacks(const BlockSpec& block, Shares* shares) const {
  if (FindRack(block, shares)) return true;
  std::size_t best_first = 0;
  std::size_t best_length = 0;
  int best_room = 0;
  for (std::size_t first = 0; first < m_rack_order.size(); ++first) {
    int room = 0;
    for (std::size_t length = 1; length <= kMaxNeighbourRacks && first + length <= m_rack_order.size(); ++length) {
      const std::size_t at = first + length - 1;
      if (length > 1 && !m_adjoins_previous[at]) break;
      const int here = RackRoomFor(m_rack_order[at], block.m_account, INT32_MAX);
      if (here == 0) break;
      room += here;
      if (room < block.m_accelerators) continue;
      const bool better = best_length == 0 || length < best_length || (length == best_length && room < best_room);
      if (better) std::tie(best_first, best_length, best_room) = std::tuple{first, length, room};
      break;
    }
  }
  if (best_length == 0) return false;
  int left = block.m_accelerators;
  for (std::size_t i = 0; i < best_length; ++i)
    left -= FillRack(m_rack_order[best_first + i], block.m_account, left, shares);
  return true;
}

// Fills the racks with the least spare capacity first.
bool Certificate::FindAnywhere(const BlockSpec& block, Shares* shares) const {
  std::vector<RackIndex> racks(m_racks.size());
  std::iota(racks.begin(), racks.end(), 0);
  std::stable_sort(racks.begin(), racks.end(),
                   [this](RackIndex a, RackIndex b) { return m_racks[a].m_spare < m_racks[b].m_spare; });
  int left = block.m_accelerators;
  for (const RackIndex rack : racks) {
    if (left > 0) left -= FillRack(rack, block.m_account, left, shares);
  }
  return left == 0;
}

// Adds shares of up to `wanted` accelerators and returns their sum. Uses accelerators where the account already has
// work first, then those that stop no costly work, then the rest, each on as few workers as possible.
int Certificate::FillRack(RackIndex rack, AccountIndex account, int wanted, Shares* shares) const {
  struct Option {
    WorkerIndex m_worker;
    int m_covered;
    int m_cheap;
    int m_room;
    int m_allocated;
  };
  std::vector<Option> options;
  for (const WorkerIndex worker : m_racks[rack].m_workers) {
    const int room = RoomForBlock(worker, account);
    const int covered = std::min(room, std::max(UncertifiedPinned(worker, account), UncertifiedHeld(worker, account)));
    if (room > 0) options.push_back({worker, covered, std::max(covered, CheapRoomFor(worker, account)), room, 0});
  }
  int left = wanted;
  for (Option& option : options) {
    option.m_allocated = std::min(left, option.m_covered);
    left -= option.m_allocated;
  }
  const auto fill = [&](int Option::*limit) {
    while (left > 0) {
      Option* best = nullptr;
      int best_room = 0;
      for (Option& option : options) {
        const int room = option.*limit - option.m_allocated;
        const bool tighter = room >= left && (best_room < left || room < best_room);
        if (room <= 0 || !(tighter || (best_room < left && room > best_room))) continue;
        best = &option;
        best_room = room;
      }
      if (best == nullptr) return;
      const int more = std::min(left, best_room);
      best->m_allocated += more;
      left -= more;
    }
  };
  fill(&Option::m_cheap);
  fill(&Option::m_room);
  for (const Option& option : options) {
    if (option.m_allocated > 0) shares->push_back({option.m_worker, option.m_allocated});
  }
  return wanted - left;
}

//-------------------------------------------------------------------------------------------------
// All blocks
//-------------------------------------------------------------------------------------------------

bool Certificate::Equivalent(const WorkerState& left, const WorkerState& right) const {
  return Spare(left) == Spare(right) && left.m_claims == right.m_claims;
}

// Computes a new packing of all blocks. On failure returns false and leaves all of them where they were.
bool Certificate::PackAll(int search_nodes) {
  if (m_search_failed || LacksAccelerators()) return false;
  std::vector<SavedBlock> saved;
  std::vector<std::size_t> order(m_blocks.size());
  std::iota(order.begin(), order.end(), 0);
  for (const std::size_t index : order) saved.push_back({index, m_blocks[index].m_shares, m_blocks[index].m_missing});
  for (Block& block : m_blocks) ClearShares(&block);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const BlockSpec& left = m_blocks[a].m_spec;
    const BlockSpec& right = m_blocks[b].m_spec;
    if (left.m_adjacency != right.m_adjacency) return left.m_adjacency < right.m_adjacency;
    return left.m_accelerators > right.m_accelerators;
  });
  if (Search(order, 0, &search_nodes)) return true;
  Restore(saved);
  return false;
}

bool Certificate::LacksAccelerators() const {
  int room = 0;
  for (const Rack& rack : m_racks) room += rack.m_spare + rack.m_pinned;
  return room < m_missing;
}

bool Certificate::Search(const std::vector<std::size_t>& order, std::size_t at, int* nodes) {
  if (at == order.size()) return true;
  if (--*nodes < 0) return false;
  Block& block = m_blocks[order[at]];
  for (Shares& shares : Candidates(block.m_spec)) {
    SetShares(&block, std::move(shares));
    if (Search(order, at + 1, nodes)) return true;
    ClearShares(&block);
    if (*nodes < 0) return false;
  }
  return false;
}

// All places that leave different capacity to later blocks, the tightest first. PackAll orders the blocks by adjacency,
// the strictest first: once all single-worker blocks are placed, only the free sums per rack matter.
std::vector<Certificate::Shares> Certificate::Candidates(const BlockSpec& block) const {
  std::vector<std::pair<int, Shares>> found;
  const auto add_run = [&](std::size_t first, std::size_t length, bool from_left) {
    Shares shares;
    int left = block.m_accelerators;
    for (std::size_t i = 0; i < length && left > 0; ++i) {
      const std::size_t at = from_left ? first + i : first + length - 1 - i;
      const int keep = static_cast<int>(length - 1 - i);  // Reserves one accelerator for each later rack of the run.
      const int filled = FillRack(m_rack_order[at], block.m_account, std::max(0, left - keep), &shares);
      if (filled == 0) return;
      left -= filled;
    }
    if (left == 0) found.emplace_back(static_cast<int>(length) * 1000000, std::move(shares));
  };
  if (block.m_adjacency == Adjacency::kAny) {
    Shares shares;
    if (FindAnywhere(block, &shares)) found.emplace_back(0, std::move(shares));
  }
  for (std::size_t rack = 0; rack < m_racks.size() && block.m_adjacency == Adjacency::kWorker; ++rack) {
    std::vector<WorkerIndex> seen;
    for (const WorkerIndex worker : m_racks[rack].m_workers) {
      const int room = RoomForBlock(worker, block.m_account);
      const auto equivalent = [this, worker](WorkerIndex other) {
        return Equivalent(m_worker_states[worker], m_worker_states[other]);
      };
      if (room < block.m_accelerators || std::any_of(seen.begin(), seen.end(), equivalent)) continue;
      seen.push_back(worker);
      found.emplace_back(room * 1000 + std::max(0, m_racks[rack].m_spare), Shares{{worker, block.m_accelerators}});
    }
  }
  const bool in_racks = block.m_adjacency == Adjacency::kRack || block.m_adjacency == Adjacency::kNeighbourRacks;
  for (std::size_t rack = 0; rack < m_racks.size() && in_racks; ++rack) {
    const int room = RackRoomFor(static_cast<RackIndex>(rack), block.m_account, INT32_MAX);
    if (room < block.m_accelerators) continue;
    Shares shares;
    FillRack(static_cast<RackIndex>(rack), block.m_account, block.m_accelerators, &shares);
    found.emplace_back(room, std::move(shares));
  }
  for (std::size_t first = 0; first < m_rack_order.size() && block.m_adjacency == Adjacency::kNeighbourRacks; ++first) {
    for (std::size_t length = 2; length <= kMaxNeighbourRacks && first + length <= m_rack_order.size(); ++length) {
      if (!m_adjoins_previous[first + length - 1]) break;
      add_run(first, length, true);
      add_run(first, length, false);
    }
  }
  std::stable_sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Shares> shares;
  shares.reserve(found.size());
  for (auto& entry : found) shares.push_back(std::move(entry.second));
  return shares;
}

}  // namespace hickoryquay::policy
