#include "hickoryquay/policy/certificate.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hickoryquay::policy {
namespace {

constexpr std::size_t kImprovedWorkers = 1000;  // Workers looked at for better places in one call of Improve.
constexpr int kTolerated = 16;  // One part in so many of the processors or memory is not counted as withheld.

}  // namespace

//-------------------------------------------------------------------------------------------------
// Bookkeeping
//-------------------------------------------------------------------------------------------------

void Certificate::SetRackOrder(std::vector<RackIndex> order, std::vector<bool> joins_previous) {
  m_order = std::move(order);
  m_joins_previous = std::move(joins_previous);
}

Certificate::Room& Certificate::RoomAt(WorkerIndex worker) {
  if (static_cast<std::size_t>(worker) >= m_rooms.size()) m_rooms.resize(worker + 1);
  return m_rooms[worker];
}

Certificate::Claim& Certificate::ClaimOf(Room& room, AccountIndex account) {
  for (Claim& claim : room.m_claims) {
    if (claim.m_account == account) return claim;
  }
  room.m_claims.push_back({account, 0, 0, 0, 0});
  return room.m_claims.back();
}

void Certificate::Adjust(WorkerIndex worker, AccountIndex account, int certified, int pinned) {
  Room& room = RoomAt(worker);
  Claim& claim = ClaimOf(room, account);
  const int before = std::max(claim.m_certified, claim.m_pinned);
  claim.m_certified += certified;
  claim.m_pinned += pinned;
  const int change = std::max(claim.m_certified, claim.m_pinned) - before;
  room.m_committed += change;
  if (claim.m_certified == 0 && claim.m_pinned == 0 && claim.m_held == 0 && claim.m_costly == 0) {
    claim = room.m_claims.back();
    room.m_claims.pop_back();
  }
  if (room.m_site.m_rack == kNone) return;
  m_racks[room.m_site.m_rack].m_spare -= change;
  m_racks[room.m_site.m_rack].m_pinned += pinned;
}

void Certificate::UpdateWithheld(WorkerIndex worker) {
  Room& room = RoomAt(worker);
  const int before = std::exchange(room.m_withheld, WithheldOf(room));
  room.m_committed += room.m_withheld - before;
  if (room.m_site.m_rack != kNone) m_racks[room.m_site.m_rack].m_spare -= room.m_withheld - before;
}

// What each pin takes beyond the share of its own accelerators adds up; what it leaves of that share is nobody's gain,
// so that a pin that ends never withholds more than before.
int Certificate::WithheldOf(const Room& room) {
  const Resources& whole = room.m_site.m_whole;
  const auto withheld = [&room, &whole](std::int64_t Resources::*what) {
    const std::int64_t all = whole.*what;
    if (all == 0 || whole.m_accelerators == 0) return std::int64_t{0};
    std::int64_t excess = 0;
    for (const Resources& pin : room.m_pins) {
      excess += std::max<std::int64_t>(0, pin.*what - all * pin.m_accelerators / whole.m_accelerators);
    }
    const std::int64_t counted = std::max<std::int64_t>(0, excess - all / kTolerated);
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
  return static_cast<std::size_t>(worker) < m_rooms.size() ? m_rooms[worker].m_claims : no_claims;
}

int Certificate::CoveredBy(WorkerIndex worker, AccountIndex account) const {
  for (const Claim& claim : m_rooms[worker].m_claims) {
    if (claim.m_account == account) return WholeGrains(std::max(0, claim.m_pinned - claim.m_certified));
  }
  return 0;
}

int Certificate::RoomFor(WorkerIndex worker, AccountIndex account) const {
  int pinned = 0;
  for (const Claim& claim : m_rooms[worker].m_claims) {
    if (claim.m_account == account) pinned = std::max(0, claim.m_pinned - claim.m_certified);
  }
  return WholeGrains(std::max(0, Spare(m_rooms[worker]) + pinned));
}

int Certificate::RoomForPin(WorkerIndex worker, AccountIndex account) const {
  if (static_cast<std::size_t>(worker) >= m_rooms.size()) return 0;
  int own = 0;
  for (const Claim& claim : m_rooms[worker].m_claims) {
    if (claim.m_account == account) own = std::max(0, claim.m_certified - claim.m_pinned);
  }
  return std::max(0, Spare(m_rooms[worker])) + own;
}

int Certificate::RackRoomFor(RackIndex rack, AccountIndex account, int enough) const {
  const Rack& entry = m_racks[rack];
  int room = 0;
  for (const WorkerIndex worker : entry.m_workers) {
    room += RoomFor(worker, account);
    if (room >= enough) return room;
  }
  return room;
}

bool Certificate::Overcommitted(WorkerIndex worker) const {
  return m_rooms[worker].m_committed > m_rooms[worker].m_site.m_capacity;
}

void Certificate::Put(Block* block, Shares shares) {
  int placed = 0;
  for (const Share& share : shares) {
    Adjust(share.m_worker, block->m_spec.m_account, share.m_accelerators, 0);
    placed += share.m_accelerators;
  }
  block->m_shares = std::move(shares);
  m_missing -= block->m_missing;
  block->m_missing = block->m_spec.m_accelerators - placed;
  m_missing += block->m_missing;
}

void Certificate::Lift(Block* block) {
  for (const Share& share : block->m_shares) {
    Adjust(share.m_worker, block->m_spec.m_account, -share.m_accelerators, 0);
  }
  block->m_shares.clear();
  m_missing += block->m_spec.m_accelerators - block->m_missing;
  block->m_missing = block->m_spec.m_accelerators;
}

void Certificate::Restore(const std::vector<Saved>& saved) {
  for (const Saved& entry : saved) Lift(&m_blocks[entry.m_block]);
  for (const Saved& entry : saved) Put(&m_blocks[entry.m_block], entry.m_shares);
}

//-------------------------------------------------------------------------------------------------
// Changes
//-------------------------------------------------------------------------------------------------

void Certificate::SetWorker(WorkerIndex worker, const Site& site) {
  Room& room = RoomAt(worker);
  if (site.m_rack != kNone && static_cast<std::size_t>(site.m_rack) >= m_racks.size()) m_racks.resize(site.m_rack + 1);
  int pinned = 0;
  for (const Claim& claim : room.m_claims) pinned += claim.m_pinned;
  if (room.m_site.m_rack != kNone) {
    Rack& old = m_racks[room.m_site.m_rack];
    old.m_spare -= Spare(room);
    old.m_pinned -= pinned;
    std::erase(old.m_workers, worker);
  }
  const int whole = site.m_whole.m_accelerators;
  while (whole > 0 && m_largest_grain > whole) m_largest_grain /= 2;
  const bool moved = room.m_site.m_rack != kNone && room.m_site.m_rack != site.m_rack;
  room.m_site = Site{kNone, site.m_capacity, site.m_whole};
  UpdateWithheld(worker);
  room.m_site = site;
  if (site.m_rack != kNone) {
    Rack& rack = m_racks[site.m_rack];
    rack.m_spare += Spare(room);
    rack.m_pinned += pinned;
    rack.m_workers.insert(std::lower_bound(rack.m_workers.begin(), rack.m_workers.end(), worker), worker);
  }
  if (moved) {
    for (Block& block : m_blocks) {
      const auto here = [worker](const Share& share) { return share.m_worker == worker; };
      if (std::any_of(block.m_shares.begin(), block.m_shares.end(), here)) Lift(&block);
    }
  }
  m_suspects.push_back(worker);
  m_search_failed = false;
}

void Certificate::AddPin(AccountIndex account, const Pin& pin) {
  Adjust(pin.m_worker, account, 0, pin.m_allocated.m_accelerators);
  RoomAt(pin.m_worker).m_pins.push_back(pin.m_allocated);
  UpdateWithheld(pin.m_worker);
  if (Overcommitted(pin.m_worker)) m_suspects.push_back(pin.m_worker);
}

void Certificate::RemovePin(AccountIndex account, const Pin& pin) {
  Adjust(pin.m_worker, account, 0, -pin.m_allocated.m_accelerators);
  std::vector<Resources>& pins = RoomAt(pin.m_worker).m_pins;
  const auto at = std::find(pins.begin(), pins.end(), pin.m_allocated);
  if (at != pins.end()) pins.erase(at);
  UpdateWithheld(pin.m_worker);
  m_search_failed = false;
}

void Certificate::AddHeld(AccountIndex account, WorkerIndex worker, int held, int costly) {
  Claim& claim = ClaimOf(RoomAt(worker), account);
  claim.m_held += held;
  claim.m_costly += costly;
  Adjust(worker, account, 0, 0);
}

int Certificate::HeldFor(WorkerIndex worker, AccountIndex account) const {
  for (const Claim& claim : m_rooms[worker].m_claims) {
    if (claim.m_account == account) return WholeGrains(std::max(0, claim.m_held - claim.m_certified));
  }
  return 0;
}

int Certificate::CostlyFor(WorkerIndex worker, AccountIndex account) const {
  int costly = 0;
  for (const Claim& claim : m_rooms[worker].m_claims) {
    if (claim.m_account != account) costly += claim.m_costly;
  }
  return costly;
}

int Certificate::CheapRoomFor(WorkerIndex worker, AccountIndex account) const {
  return WholeGrains(std::max(0, RoomFor(worker, account) - CostlyFor(worker, account)));
}

// What speaks against these shares; with the block lifted.
Certificate::Regret Certificate::RegretOf(const BlockSpec& block, const Shares& shares) const {
  int grain = m_largest_grain;
  while (block.m_accelerators % grain != 0) grain /= 2;
  Regret regret;
  for (const Share& share : shares) {
    regret.m_odd += share.m_accelerators % grain;
    regret.m_costly += std::max(0, share.m_accelerators - CheapRoomFor(share.m_worker, block.m_account));
    regret.m_idle += std::max(0, share.m_accelerators - HeldFor(share.m_worker, block.m_account));
  }
  return regret;
}

bool Certificate::Idle(const Block& block) const {
  const auto idle = [this, &block](const Share& share) {
    for (const Claim& claim : m_rooms[share.m_worker].m_claims) {
      if (claim.m_account == block.m_spec.m_account) return claim.m_held == 0;
    }
    return true;
  };
  return std::all_of(block.m_shares.begin(), block.m_shares.end(), idle);
}

void Certificate::ImprovePacking() {
  std::size_t searches = std::max<std::size_t>(1, kImprovedWorkers / std::max<std::size_t>(1, m_rooms.size()));
  for (std::size_t looked = 0; looked < m_blocks.size(); ++looked) {
    Block& block = m_blocks[m_next_improved++ % m_blocks.size()];
    if (block.m_missing > 0 || !Idle(block)) continue;
    Shares before = block.m_shares;
    Shares after;
    Lift(&block);
    const Regret regret = RegretOf(block.m_spec, before);
    const bool bad = regret.m_odd > 0 || regret.m_costly > 0;
    const bool better = bad && FindPlace(block.m_spec, &after) && RegretOf(block.m_spec, after) < regret;
    Put(&block, better ? std::move(after) : std::move(before));
    if (bad && --searches == 0) return;
  }
}

bool Certificate::AlignShares(AccountIndex account, int task) {
  bool moved = false;
  for (std::size_t i = 0; i < m_blocks.size(); ++i) {
    const Block& block = m_blocks[i];
    const auto odd = [task](const Share& share) { return share.m_accelerators % task != 0; };
    const bool wanted = block.m_spec.m_account == account && block.m_missing == 0 && Idle(block);
    if (!wanted || block.m_spec.m_accelerators % task != 0) continue;
    if (std::any_of(block.m_shares.begin(), block.m_shares.end(), odd)) moved = RegroupBlock(i, task) || moved;
  }
  return moved;
}

// Smaller idle blocks make way for it.
bool Certificate::RegroupBlock(std::size_t index, int task) {
  std::vector<Saved> saved{{index, m_blocks[index].m_shares, 0}};
  for (std::size_t i = 0; i < m_blocks.size(); ++i) {
    const Block& other = m_blocks[i];
    const bool smaller = other.m_spec.m_accelerators < m_blocks[index].m_spec.m_accelerators;
    if (i != index && smaller && other.m_missing == 0 && Idle(other)) saved.push_back({i, other.m_shares, 0});
  }
  for (const Saved& entry : saved) Lift(&m_blocks[entry.m_block]);
  Shares shares;
  bool possible = FindPlace(m_blocks[index].m_spec, &shares, task);
  if (possible) Put(&m_blocks[index], std::move(shares));
  possible = possible && Replace({saved.begin() + 1, saved.end()});
  if (!possible) Restore(saved);
  return possible;
}

void Certificate::ReplaceBlocks(const std::vector<AccountIndex>& accounts, const std::vector<BlockSpec>& blocks) {
  std::vector<BlockSpec> wanted = blocks;
  std::vector<Block> kept;
  for (Block& block : m_blocks) {
    const bool ours = std::find(accounts.begin(), accounts.end(), block.m_spec.m_account) != accounts.end();
    const auto same = ours ? std::find(wanted.begin(), wanted.end(), block.m_spec) : wanted.end();
    if (!ours || same != wanted.end()) {
      if (ours) wanted.erase(same);
      kept.push_back(std::move(block));
      continue;
    }
    Lift(&block);
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
  const std::vector<WorkerIndex> suspects = m_suspects;
  for (const Pin& pin : pins) AddPin(account, pin);
  std::vector<Saved> saved;
  bool possible = true;
  for (const Pin& pin : pins) {
    if (Overcommitted(pin.m_worker)) possible = possible && Clear(pin.m_worker, &saved);
  }
  possible = possible && Replace(saved);
  if (!possible) {
    Restore(saved);
    if (Small() && m_missing == 0) possible = PackAll(kSmallSearchNodes);
  }
  const bool searched = m_search_failed;
  for (const Pin& pin : pins) RemovePin(account, pin);
  m_search_failed = searched;
  m_suspects = suspects;
  return possible;
}

// Lifts blocks off an overcommitted worker until it is none any more. False where pins alone are too many.
bool Certificate::Clear(WorkerIndex worker, std::vector<Saved>* saved) {
  const bool gone = m_rooms[worker].m_site.m_capacity == 0;
  for (std::size_t i = 0; i < m_blocks.size() && Overcommitted(worker); ++i) {
    Block& block = m_blocks[i];
    const auto here = [worker](const Share& share) { return share.m_worker == worker; };
    if (std::none_of(block.m_shares.begin(), block.m_shares.end(), here)) continue;
    const int before = m_rooms[worker].m_committed;
    const Saved entry{i, block.m_shares, block.m_missing};
    Lift(&block);
    if (!gone &&
        m_rooms[worker].m_committed == before) {  // Covered by the account's own pins: moving it gains nothing.
      Put(&block, entry.m_shares);
      continue;
    }
    saved->push_back(entry);
  }
  return !Overcommitted(worker);
}

// Finds new places for lifted blocks, the largest first. Those that had a part missing need no more than they had.
bool Certificate::Replace(const std::vector<Saved>& saved) {
  std::vector<std::size_t> order;
  for (const Saved& entry : saved) {
    if (entry.m_missing > 0) return false;
    order.push_back(entry.m_block);
  }
  std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    return m_blocks[a].m_spec.m_accelerators > m_blocks[b].m_spec.m_accelerators;
  });
  for (const std::size_t index : order) {
    Shares shares;
    if (!FindPlace(m_blocks[index].m_spec, &shares)) return false;
    Put(&m_blocks[index], std::move(shares));
  }
  return true;
}

void Certificate::Repair(int search_nodes) {
  const std::vector<WorkerIndex> suspects = std::move(m_suspects);
  m_suspects.clear();
  for (const WorkerIndex worker : suspects) {
    std::vector<Saved> saved;
    Clear(worker, &saved);
    for (const Saved& entry : saved) {
      Shares shares;
      Block& block = m_blocks[entry.m_block];
      if (FindPlace(block.m_spec, &shares)) Put(&block, std::move(shares));
    }
    for (const Saved& entry : saved) {  // What could not be moved keeps its other shares.
      Block& block = m_blocks[entry.m_block];
      if (block.m_missing == 0) continue;
      Shares rest;
      for (const Share& share : entry.m_shares) {
        const int room = RoomFor(share.m_worker, block.m_spec.m_account);
        if (room > 0) rest.push_back({share.m_worker, std::min(room, share.m_accelerators)});
      }
      Put(&block, std::move(rest));
    }
  }
  if (m_missing == 0 || CompleteQuickly()) return;
  m_search_failed = !PackAll(Small() ? kSmallSearchNodes : search_nodes);
}

bool Certificate::CompleteQuickly() {
  for (Block& block : m_blocks) {
    if (block.m_missing == 0) continue;
    Shares before = block.m_shares;
    Shares shares;
    Lift(&block);
    const bool found = FindPlace(block.m_spec, &shares);
    Put(&block, found ? std::move(shares) : std::move(before));
  }
  return m_missing == 0;
}

std::string Certificate::Check() const {
  std::vector<std::vector<Claim>> sums(m_rooms.size());
  for (const Block& block : m_blocks) {
    int placed = 0;
    for (const Share& share : block.m_shares) {
      placed += share.m_accelerators;
      sums[share.m_worker].push_back({block.m_spec.m_account, share.m_accelerators, 0, 0, 0});
    }
    if (placed + block.m_missing != block.m_spec.m_accelerators) return "a block's shares don't add up";
  }
  for (std::size_t worker = 0; worker < m_rooms.size(); ++worker) {
    const Room& room = m_rooms[worker];
    int committed = room.m_withheld;
    int certified = 0;
    for (const Claim& claim : room.m_claims) {
      int sum = 0;
      for (const Claim& part : sums[worker]) sum += part.m_account == claim.m_account ? part.m_certified : 0;
      if (sum != claim.m_certified || claim.m_pinned < 0) return "a claim differs from the blocks' shares";
      committed += std::max(claim.m_certified, claim.m_pinned);
      certified += claim.m_certified;
    }
    if (committed != room.m_committed) return "what is committed on a worker doesn't add up";
    if (certified > 0 && committed > room.m_site.m_capacity) return "a worker has more committed than its capacity";
  }
  return "";
}

}  // namespace hickoryquay::policy
