// Certificate: proof that all guaranteed shapes of this failure domain can be packed at the same time.
//
// One explicit packing: every guaranteed block has its shares of accelerators on named workers. On each worker, with
// C(a) accelerators certified to client account a and P(a) held by work of a that can't be stopped ("pinned"),
//
//   sum over a of max(C(a), P(a)) + X <= capacity
//
// holds, where X is what pinned work withholds beyond its accelerators: those whose share of the processors and the
// memory it takes. So every block can be had by stopping work that may be stopped. Only pinned work and the loss of
// workers can break it; work that can be stopped needs no check. The packing is changed incrementally: a pin that is in
// the way of a block moves that block, or is refused.
#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

struct BlockSpec {
  AccountIndex m_account = kNone;
  std::string m_shape;
  int m_accelerators = 0;
  Adjacency m_adjacency = Adjacency::kRack;

  bool operator==(const BlockSpec&) const = default;
};

struct Share {
  WorkerIndex m_worker = kNone;
  int m_accelerators = 0;
};

struct Block {
  BlockSpec m_spec;
  std::vector<Share> m_shares;
  int m_missing = 0;  // Accelerators that could not be certified; the shares of the rest are kept for it.
};

// Where the workers stand; shared with the cluster's racks.
struct WorkerInfo {
  RackIndex m_rack = kNone;
  int m_capacity = 0;  // Accelerators; 0 where nothing new may run.
  Resources m_total;   // Of the worker, whether it may take work or not.
};

// Work that can't be stopped.
struct Pin {
  WorkerIndex m_worker = kNone;
  Resources m_allocated;
};

// Copyable, so that a change can be tried on a copy.
class Certificate {
 public:
  // Racks in the order of their positions, with a flag each whether it is the neighbour of the one before.
  void SetRackOrder(std::vector<RackIndex> order, std::vector<bool> adjoins_previous);

  // New capacity of a worker. Blocks that lose their place are moved, or are left with a part missing.
  void SetWorker(WorkerIndex worker, const WorkerInfo& site);

  // Replaces the blocks of these accounts, keeps the places of those that stay as they were.
  void ReplaceBlocks(const std::vector<AccountIndex>& accounts, const std::vector<BlockSpec>& blocks);

  // Whether the pin can be added without taking any block's place; moves blocks where that helps. Changes no pin.
  // False leaves everything as it was.
  bool MakeRoom(AccountIndex account, const std::vector<Pin>& pins);

  // Adds or takes away pinned work. Repair() must follow where MakeRoom has not promised the room.
  void AddPin(AccountIndex account, const Pin& pin);
  void RemovePin(AccountIndex account, const Pin& pin);

  // Moves blocks off places that pins or losses have taken, and completes broken blocks where that is possible now.
  // `search_nodes` bounds the exhaustive search behind the quick one.
  void Repair(int search_nodes);

  // Adds or takes away what work of an account holds, and how much of it is costly to stop. Blocks are placed where
  // their account has work already, and where little costly work of others lies in the way.
  void AddHeld(AccountIndex account, WorkerIndex worker, int held, int costly);

  // Moves idle blocks that lie badly, on costly work of others or in fragments, to better places where there are any.
  // One after the other: each call does a bounded part of the work.
  void ImprovePacking();

  // Moves idle blocks of the account so that tasks of this many accelerators fit into their shares. True where at least
  // one was moved.
  bool AlignShares(AccountIndex account, int task);

  // Accelerators of this worker that a block of the account has.
  int Certified(WorkerIndex worker, AccountIndex account) const;

  // Accelerators that pinned work of the account may still take here without moving any block.
  int RoomForPin(WorkerIndex worker, AccountIndex account) const;

  // Certified accelerators of one worker, by account.
  struct Claim {
    AccountIndex m_account = kNone;
    int m_certified = 0;
    int m_pinned = 0;
    int m_held = 0;    // By any work.
    int m_costly = 0;  // By work that can be stopped, but would lose what it has done.

    bool operator==(const Claim&) const = default;
  };
  const std::vector<Claim>& Claims(WorkerIndex worker) const;

  const std::vector<Block>& Blocks() const { return m_blocks; }
  bool NeedsRepair() const { return !m_unchecked.empty(); }  // Pins or losses may have taken a block's place.
  int Missing() const { return m_missing; }                  // Accelerators, of all blocks.

  // Empty where the packing is sound; else what is wrong with it. O(workers + blocks).
  std::string Check() const;

 private:
  struct WorkerState {
    WorkerInfo m_info;
    int m_committed = 0;            // Sum over accounts of max(certified, pinned), and what is withheld.
    std::vector<Resources> m_pins;  // By all accounts.
    int m_withheld = 0;             // Accelerators that lack processors or memory because of pinned work.
    std::vector<Claim> m_claims;
  };
  struct Rack {
    std::vector<WorkerIndex> m_workers;
    int m_spare = 0;   // Sum over workers of capacity less what is committed.
    int m_pinned = 0;  // Sum of pins, a bound on what an account's own pins can cover.
  };
  using Shares = std::vector<Share>;
  struct SavedBlock {
    std::size_t m_block;
    Shares m_shares;
    int m_missing;
  };

  WorkerState& StateAt(WorkerIndex worker);
  Claim& ClaimOf(WorkerState& state, AccountIndex account);
  void UpdateWithheld(WorkerIndex worker);
  static int WithheldOf(const WorkerState& state);
  void AddToClaim(WorkerIndex worker, AccountIndex account, int certified, int pinned);
  int Spare(const WorkerState& state) const { return state.m_info.m_capacity - state.m_committed; }
  int RoomForBlock(WorkerIndex worker, AccountIndex account) const;       // For more of its blocks.
  int UncertifiedPinned(WorkerIndex worker, AccountIndex account) const;  // Pinned by it, and not certified to it yet.
  int UncertifiedHeld(WorkerIndex worker, AccountIndex account) const;    // Held by it, and not certified to it yet.
  int CostlyOfOthers(WorkerIndex worker, AccountIndex account) const;     // Of other accounts.
  struct Penalty {
    int m_unaligned = 0;  // Accelerators in shares too small for large tasks.
    int m_costly = 0;     // Accelerators that a call would have to take from costly work.
    int m_idle = 0;       // Accelerators on which the account has no work.
    auto operator<=>(const Penalty&) const = default;
  };
  Penalty PenaltyOf(const BlockSpec& block, const Shares& shares) const;
  bool IsIdle(const Block& block) const;  // Its account has no work there.
  bool AlignBlock(std::size_t index, int task);
  int RackRoomFor(RackIndex rack, AccountIndex account, int enough) const;
  bool Overcommitted(WorkerIndex worker) const;

  void SetShares(Block* block, Shares shares);
  void ClearShares(Block* block);
  void Restore(const std::vector<SavedBlock>& saved);

  bool FindPlace(const BlockSpec& block, Shares* shares, int min_unit = 1);
  int RoundDownToUnit(int accelerators) const { return accelerators - accelerators % m_share_unit; }
  bool FindWorker(const BlockSpec& block, Shares* shares) const;
  bool FindRack(const BlockSpec& block, Shares* shares) const;
  bool FindNeighbourRacks(const BlockSpec& block, Shares* shares) const;
  bool FindAnywhere(const BlockSpec& block, Shares* shares) const;
  int FillRack(RackIndex rack, AccountIndex account, int wanted, Shares* shares) const;
  int CheapRoomFor(WorkerIndex worker, AccountIndex account) const;  // Without stopping costly work.

  bool VacateWorker(WorkerIndex worker, std::vector<SavedBlock>* saved);
  bool RelocateBlocks(const std::vector<SavedBlock>& saved);
  bool CompleteGreedily();
  bool PackAll(int search_nodes);
  bool LacksAccelerators() const;  // Fewer accelerators left than are missing.
  bool Equivalent(const WorkerState& left, const WorkerState& right) const;
  bool Search(const std::vector<std::size_t>& order, std::size_t at, int* nodes);
  std::vector<Shares> Candidates(const BlockSpec& block) const;
  bool IsSmall() const { return m_blocks.size() * m_worker_states.size() <= kMaxSmallSize; }

  static constexpr std::size_t kMaxSmallSize = 512;  // Blocks times workers up to which every search is exhaustive.
  static constexpr int kSmallSearchNodes = 1000;     // Of such a search.

  std::vector<WorkerState> m_worker_states;  // By worker.
  std::vector<Rack> m_racks;
  std::vector<RackIndex> m_rack_order;
  std::vector<bool> m_adjoins_previous;
  std::vector<Block> m_blocks;
  int m_missing = 0;
  int m_max_share_unit = 8;              // Shares of whole workers are worth looking for up to this.
  std::size_t m_next_to_improve = 0;     // Block that Improve looks at next.
  int m_share_unit = 1;                  // Shares are multiples of it, during a search.
  bool m_search_failed = false;          // And nothing has become free since.
  std::vector<WorkerIndex> m_unchecked;  // Workers that may be overcommitted.
};

}  // namespace hickoryquay::policy
