#include "hickoryquay/policy/certificate.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hickoryquay::policy {
namespace {

// Workers visited by the searches of one ImprovePacking.
constexpr std::size_t kWorkersPerImprovement = 1000;
// Pins may exceed their share of the processors or memory by 1/16 of the worker without withholding accelerators.
constexpr int kToleratedShare = 16;

}  // namespace

//-------------------------------------------------------------------------------------------------
// Bookkeeping
//-------------------------------------------------------------------------------------------------

void Certificate::SetRackOrder(std::vector<RackIndex> order, std::vector<bool> adjoins_previous) {
  m_rack_order = std::move(order);
  m_adjoins_previous = std::move(adjoins_previous);
}

Certificate::WorkerState& Certificate::StateAt(WorkerIndex worker) {
  if (static_cast<std::size_t>(worker) >= m_worker_states.size()) m_worker_states.resize(worker + 1);
  return m_worker_states[worker];
}

Certificate::Claim& Certificate::ClaimOf(WorkerState& state, AccountIndex account) {
  for (Claim& claim : state.m_claims) {
    if (claim.m_account == account) return claim;
  }
  state.m_claims.push_back({account, 0, 0, 0, 0});
  return state.m_claims.back();
}

void Certificate::AddToClaim(WorkerIndex worker, AccountIndex account, int certified, int pinned) {
  WorkerState& state = StateAt(worker);
  Claim& claim = ClaimOf(state, account);
  const int before = std::max(claim.m_certified, claim.m_pinned);
  claim.m_certified += certified;
  claim.m_pinned += pinned;
  const int change = std::max(claim.m_certified, claim.m_pinned) - before;
  state.m_committed += change;
  if (claim.m_certified == 0 && claim.m_pinned == 0 && claim.m_held == 0 && claim.m_costly == 0) {
    claim = state.m_claims.back();
    state.m_claims.pop_back();
  }
  if (state.m_info.m_rack == kNone) return;
  m_racks[state.m_info.m_rack].m_spare -= change;
  m_racks[state.m_info.m_rack].m_pinned += pinned;
}

void Certificate::UpdateWithheld(WorkerIndex worker) {
  WorkerState& state = StateAt(worker);
  const int before = std::exchange(state.m_withheld, WithheldOf(state));
  state.m_committed += state.m_withheld - before;
  if (state.m_info.m_rack != kNone) m_racks[state.m_info.m_rack].m_spare -= state.m_withheld - before;
}

// Sums what each pin takes beyond the share that belongs to its accelerators. A pin that uses less than its share does
// not offset the others, so removing a pin never increases the result.
int Certificate::WithheldOf(const WorkerState& state) {
  const Resources& whole = state.m_info.m_total;
  const auto withheld = [&state, &whole](std::int64_t Resources::*what) {
    const std::int64_t all = whole.*what;
    if (all == 0 || whole.m_accelerators == 0) return std::int64_t{0};
    std::int64_t excess = 0;
    for (const Resources& pin : state.m_pins) {
      excess += std::max<std::int64_t>(0, pin.*what - all * pin.m_accelerators / whole.m_accelerators);
    }
    const std::int64_t counted = std::max<std::int64_t>(0, excess - all / kToleratedShare);
    return (counted * whole.m_accelerators + all - 1) / all;
  };
  return static_cast<int>(std::max(withheld(&Resources::m_millicores), withheld(&Resources::m_memory_mb)));
}

int Certificate::Certified(WorkerIndex worker, AccountIndex account) const {
  for (const Claim& claim : Claims(worker)) {
    if (claim.m_account == account) return claim.m_certified;
  }
  return 0;
}

const std::vector<Certificate::Claim>& Certificate::Claims(WorkerIndex worker) const {
  static const std::vector<Claim> no_claims;
  return static_cast<std::size_t>(worker) < m_worker_states.size() ? m_worker_states[worker].m_claims : no_claims;
}

int Certificate::UncertifiedPinned(WorkerIndex worker, AccountIndex account) const {
  for (const Claim& claim : m_worker_states[worker].m_claims) {
    if (claim.m_account == account) return RoundDownToUnit(std::max(0, claim.m_pinned - claim.m_certified));
  }
  return 0;
}

int Certificate::RoomForBlock(WorkerIndex worker, AccountIndex account) const {
  int pinned = 0;
  for (const Claim& claim : m_worker_states[worker].m_claims) {
    if (claim.m_account == account) pinned = std::max(0, claim.m_pinned - claim.m_certified);
  }
  return RoundDownToUnit(std::max(0, Spare(m_worker_states[worker]) + pinned));
}

int Certificate::RoomForPin(WorkerIndex worker, AccountIndex account) const {
  if (static_cast<std::size_t>(worker) >= m_worker_states.size()) return 0;
  int own = 0;
  for (const Claim& claim : m_worker_states[worker].m_claims) {
    if (claim.m_account == account) own = std::max(0, claim.m_certified - claim.m_pinned);
  }
  return std::max(0, Spare(m_worker_states[worker])) + own;
}

int Certificate::RackRoomFor(RackIndex rack, AccountIndex account, int enough) const {
  const Rack& entry = m_racks[rack];
  int room = 0;
  for (const WorkerIndex worker : entry.m_workers) {
    room += RoomForBlock(worker, account);
    if (room >= enough) return room;
  }
  return room;
}

bool Certificate::Overcommitted(WorkerIndex worker) const {
  return m_worker_states[worker].m_committed > m_worker_states[worker].m_info.m_capacity;
}

void Certificate::SetShares(Block* block, Shares shares) {
  int placed = 0;
  for (const Share& share : shares) {
    AddToClaim(share.m_worker, block->m_spec.m_account, share.m_accelerators, 0);
    placed += share.m_accelerators;
  }
  block->m_shares = std::move(shares);
  m_missing -= block->m_missing;
  block->m_missing = block->m_spec.m_accelerators - placed;
  m_missing += block->m_missing;
}

void Certificate::ClearShares(Block* block) {
  for (const Share& share : block->m_shares) {
    AddToClaim(share.m_worker, block->m_spec.m_account, -share.m_accelerators, 0);
  }
  block->m_shares.clear();
  m_missing += block->m_spec.m_accelerators - block->m_missing;
  block->m_missing = block->m_spec.m_accelerators;
}

void Certificate::Restore(const std::vector<SavedBlock>& saved) {
  for (const SavedBlock& entry : saved) ClearShares(&m_blocks[entry.m_block]);
  for (const SavedBlock& entry : saved) SetShares(&m_blocks[entry.m_block], entry.m_shares);
}

//-------------------------------------------------------------------------------------------------
// Changes
//-------------------------------------------------------------------------------------------------

void Certificate::SetWorker(WorkerIndex worker, const WorkerInfo& info) {
  WorkerState& state = StateAt(worker);
  if (info.m_rack != kNone && static_cast<std::size_t>(info.m_rack) >= m_racks.size()) m_racks.resize(info.m_rack + 1);
  int pinned = 0;
  for (const Claim& claim : state.m_claims) pinned += claim.m_pinned;
  if (state.m_info.m_rack != kNone) {
    Rack& old = m_racks[state.m_info.m_rack];
    old.m_spare -= Spare(state);
    old.m_pinned -= pinned;
    std::erase(old.m_workers, worker);
  }
  const int whole = info.m_total.m_accelerators;
  while (whole > 0 && m_max_share_unit > whole) m_max_share_unit /= 2;
  const bool moved = state.m_info.m_rack != kNone && state.m_info.m_rack != info.m_rack;
  state.m_info = WorkerInfo{kNone, info.m_capacity, info.m_total};
  UpdateWithheld(worker);
  state.m_info = info;
  if (info.m_rack != kNone) {
    Rack& rack = m_racks[info.m_rack];
    rack.m_spare += Spare(state);
    rack.m_pinned += pinned;
    rack.m_workers.insert(std::lower_bound(rack.m_workers.begin(), rack.m_workers.end(), worker), worker);
  }
  if (moved) {
    for (Block& block : m_blocks) {
      const auto on_worker = [worker](const Share& share) { return share.m_worker == worker; };
      if (std::any_of(block.m_shares.begin(), block.m_shares.end(), on_worker)) ClearShares(&block);
    }
  }
  m_unchecked.push_back(worker);
  m_search_failed = false;
}

void Certificate::AddPin(AccountIndex account, const Pin& pin) {
  AddToClaim(pin.m_worker, account, 0, pin.m_allocated.m_accelerators);
  StateAt(pin.m_worker).m_pins.push_back(pin.m_allocated);
  UpdateWithheld(pin.m_worker);
  if (Overcommitted(pin.m_worker)) m_unchecked.push_back(pin.m_worker);
}

void Certificate::RemovePin(AccountIndex account, const Pin& pin) {
  AddToClaim(pin.m_worker, account, 0, -pin.m_allocated.m_accelerators);
  std::vector<Resources>& pins = StateAt(pin.m_worker).m_pins;
  const auto at = std::find(pins.begin(), pins.end(), pin.m_allocated);
  if (at != pins.end()) pins.erase(at);
  UpdateWithheld(pin.m_worker);
  m_search_failed = false;
}

void Certificate::AddHeld(AccountIndex account, WorkerIndex worker, int held, int costly) {
  Claim& claim = ClaimOf(StateAt(worker), account);
  claim.m_held += held;
  claim.m_costly += costly;
  AddToClaim(worker, account, 0, 0);
}

int Certificate::UncertifiedHeld(WorkerIndex worker, AccountIndex account) const {
  for (const Claim& claim : m_worker_states[worker].m_claims) {
    if (claim.m_account == account) return RoundDownToUnit(std::max(0, claim.m_held - claim.m_certified));
  }
  return 0;
}

int Certificate::CostlyOfOthers(WorkerIndex worker, AccountIndex account) const {
  int costly = 0;
  for (const Claim& claim : m_worker_states[worker].m_claims) {
    if (claim.m_account != account) costly += claim.m_costly;
  }
  return costly;
}

int Certificate::CheapRoomFor(WorkerIndex worker, AccountIndex account) const {
  return RoundDownToUnit(std::max(0, RoomForBlock(worker, account) - CostlyOfOthers(worker, account)));
}

// The block itself must have no shares in the packing.
Certificate::Penalty Certificate::PenaltyOf(const BlockSpec& block, const Shares& shares) const {
  int unit = m_max_share_unit;
  while (block.m_accelerators % unit != 0) unit /= 2;
  Penalty penalty;
  for (const Share& share : shares) {
    penalty.m_unaligned += share.m_accelerators % unit;
    penalty.m_costly += std::max(0, share.m_accelerators - CheapRoomFor(share.m_worker, block.m_account));
    penalty.m_idle += std::max(0, share.m_accelerators - UncertifiedHeld(share.m_worker, block.m_account));
  }
  return penalty;
}

bool Certificate::IsIdle(const Block& block) const {
  const auto idle = [this, &block](const Share& share) {
    for (const Claim& claim : m_worker_states[share.m_worker].m_claims) {
      if (claim.m_account == block.m_spec.m_account) return claim.m_held == 0;
    }
    return true;
  };
  return std::all_of(block.m_shares.begin(), block.m_shares.end(), idle);
}

void Certificate::ImprovePacking() {
  std::size_t searches =
      std::max<std::size_t>(1, kWorkersPerImprovement / std::max<std::size_t>(1, m_worker_states.size()));
  for (std::size_t visited = 0; visited < m_blocks.size(); ++visited) {
    Block& block = m_blocks[m_next_to_improve++ % m_blocks.size()];
    if (block.m_missing > 0 || !IsIdle(block)) continue;
    Shares before = block.m_shares;
    Shares after;
    ClearShares(&block);
    const Penalty penalty = PenaltyOf(block.m_spec, before);
    const bool bad = penalty.m_unaligned > 0 || penalty.m_costly > 0;
    const bool better = bad && FindPlace(block.m_spec, &after) && PenaltyOf(block.m_spec, after) < penalty;
    SetShares(&block, better ? std::move(after) : std::move(before));
    if (bad && --searches == 0) return;
  }
}

bool Certificate::AlignShares(AccountIndex account, int task) {
  bool moved = false;
  for (std::size_t i = 0; i < m_blocks.size(); ++i) {
    const Block& block = m_blocks[i];
    const auto unaligned = [task](const Share& share) { return share.m_accelerators % task != 0; };
    const bool wanted = block.m_spec.m_account == account && block.m_missing == 0 && IsIdle(block);
    if (!wanted || block.m_spec.m_accelerators % task != 0) continue;
    if (std::any_of(block.m_shares.begin(), block.m_shares.end(), unaligned)) moved = AlignBlock(i, task) || moved;
  }
  return moved;
}

// Smaller idle blocks are moved away where needed. Without effect on failure.
bool Certificate::AlignBlock(std::size_t index, int task) {
  std::vector<SavedBlock> saved{{index, m_blocks[index].m_shares, 0}};
  for (std::size_t i = 0; i < m_blocks.size(); ++i) {
    const Block& other = m_blocks[i];
    const bool smaller = other.m_spec.m_accelerators < m_blocks[index].m_spec.m_accelerators;
    if (i != index && smaller && other.m_missing == 0 && IsIdle(other)) saved.push_back({i, other.m_shares, 0});
  }
  for (const SavedBlock& entry : saved) ClearShares(&m_blocks[entry.m_block]);
  Shares shares;
  bool possible = FindPlace(m_blocks[index].m_spec, &shares, task);
  if (possible) SetShares(&m_blocks[index], std::move(shares));
  possible = possible && RelocateBlocks({saved.begin() + 1, saved.end()});
  if (!possible) Restore(saved);
  return possible;
}

void Certificate::ReplaceBlocks(const std::vector<AccountIndex>& accounts, const std::vector<BlockSpec>& blocks) {
  std::vector<BlockSpec> wanted = blocks;
  std::vector<Block> kept;
  for (Block& block : m_blocks) {
    const bool affected = std::find(accounts.begin(), accounts.end(), block.m_spec.m_account) != accounts.end();
    const auto same = affected ? std::find(wanted.begin(), wanted.end(), block.m_spec) : wanted.end();
    if (!affected || same != wanted.end()) {
      if (affected) wanted.erase(same);
      kept.push_back(std::move(block));
      continue;
    }
    ClearShares(&block);
    m_missing -= block.m_missing;
  }
  for (BlockSpec& spec : wanted) {
    m_missing += spec.m_accelerators;
    const int missing = spec.m_accelerators;
    kept.push_back(Block{std::move(spec), {}, missing});
  }
  m_blocks = std::move(kept);
  m_search_failed = false;
}

bool Certificate::MakeRoom(AccountIndex account, const std::vector<Pin>& pins) {
  const std::vector<WorkerIndex> unchecked = m_unchecked;
  for (const Pin& pin : pins) AddPin(account, pin);
  std::vector<SavedBlock> saved;
  bool possible = true;
  for (const Pin& pin : pins) {
    if (Overcommitted(pin.m_worker)) possible = possible && VacateWorker(pin.m_worker, &saved);
  }
  possible = possible && RelocateBlocks(saved);
  if (!possible) {
    Restore(saved);
    if (IsSmall() && m_missing == 0) possible = PackAll(kSmallSearchNodes);
  }
  const bool search_failed = m_search_failed;
  for (const Pin& pin : pins) RemovePin(account, pin);
  m_search_failed = search_failed;
  m_unchecked = unchecked;
  return possible;
}

// Clears the shares of blocks on an overcommitted worker until it fits. False if the pins alone exceed its capacity.
bool Certificate::VacateWorker(WorkerIndex worker, std::vector<SavedBlock>* saved) {
  const bool unusable = m_worker_states[worker].m_info.m_capacity == 0;
  for (std::size_t i = 0; i < m_blocks.size() && Overcommitted(worker); ++i) {
    Block& block = m_blocks[i];
    const auto on_worker = [worker](const Share& share) { return share.m_worker == worker; };
    if (std::none_of(block.m_shares.begin(), block.m_shares.end(), on_worker)) continue;
    const int before = m_worker_states[worker].m_committed;
    const SavedBlock entry{i, block.m_shares, block.m_missing};
    ClearShares(&block);
    if (!unusable &&
        m_worker_states[worker].m_committed == before) {  // The account's own pins cover it: moving it frees nothing.
      SetShares(&block, entry.m_shares);
      continue;
    }
    saved->push_back(entry);
  }
  return !Overcommitted(worker);
}

// Finds new places for blocks whose shares were cleared, the largest first. Fails if one of them was incomplete before:
// such blocks are not moved to make room.
bool Certificate::RelocateBlocks(const std::vector<SavedBlock>& saved) {
  std::vector<std::size_t> order;
  for (const SavedBlock& entry : saved) {
    if (entry.m_missing > 0) return false;
    order.push_back(entry.m_block);
  }
  std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    return m_blocks[a].m_spec.m_accelerators > m_blocks[b].m_spec.m_accelerators;
  });
  for (const std::size_t index : order) {
    Shares shares;
    if (!FindPlace(m_blocks[index].m_spec, &shares)) return false;
    SetShares(&m_blocks[index], std::move(shares));
  }
  return true;
}

void Certificate::Repair(int search_nodes) {
  const std::vector<WorkerIndex> unchecked = std::move(m_unchecked);
  m_unchecked.clear();
  for (const WorkerIndex worker : unchecked) {
    std::vector<SavedBlock> saved;
    VacateWorker(worker, &saved);
    for (const SavedBlock& entry : saved) {
      Shares shares;
      Block& block = m_blocks[entry.m_block];
      if (FindPlace(block.m_spec, &shares)) SetShares(&block, std::move(shares));
    }
    for (const SavedBlock& entry : saved) {  // A block without a new place keeps the shares that still fit.
      Block& block = m_blocks[entry.m_block];
      if (block.m_missing == 0) continue;
      Shares rest;
      for (const Share& share : entry.m_shares) {
        const int room = RoomForBlock(share.m_worker, block.m_spec.m_account);
        if (room > 0) rest.push_back({share.m_worker, std::min(room, share.m_accelerators)});
      }
      SetShares(&block, std::move(rest));
    }
  }
  if (m_missing == 0 || CompleteGreedily()) return;
  m_search_failed = !PackAll(IsSmall() ? kSmallSearchNodes : search_nodes);
}

bool Certificate::CompleteGreedily() {
  for (Block& block : m_blocks) {
    if (block.m_missing == 0) continue;
    Shares before = block.m_shares;
    Shares shares;
    ClearShares(&block);
    const bool found = FindPlace(block.m_spec, &shares);
    SetShares(&block, found ? std::move(shares) : std::move(before));
  }
  return m_missing == 0;
}

std::string Certificate::Check() const {
  std::vector<std::vector<Claim>> sums(m_worker_states.size());
  for (const Block& block : m_blocks) {
    int placed = 0;
    for (const Share& share : block.m_shares) {
      placed += share.m_accelerators;
      sums[share.m_worker].push_back({block.m_spec.m_account, share.m_accelerators, 0, 0, 0});
    }
    if (placed + block.m_missing != block.m_spec.m_accelerators) return "a block's shares don't add up";
  }
  for (std::size_t worker = 0; worker < m_worker_states.size(); ++worker) {
    const WorkerState& state = m_worker_states[worker];
    int committed = state.m_withheld;
    int certified = 0;
    for (const Claim& claim : state.m_claims) {
      int sum = 0;
      for (const Claim& part : sums[worker]) sum += part.m_account == claim.m_account ? part.m_certified : 0;
      if (sum != claim.m_certified || claim.m_pinned < 0) return "a claim differs from the blocks' shares";
      committed += std::max(claim.m_certified, claim.m_pinned);
      certified += claim.m_certified;
    }
    if (committed != state.m_committed) return "what is committed on a worker doesn't add up";
    if (certified > 0 && committed > state.m_info.m_capacity) return "a worker has more committed than its capacity";
  }
  return "";
}

}  // namespace hickoryquay::policy
