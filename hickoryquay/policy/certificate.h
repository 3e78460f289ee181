// Certificate: proof that all guaranteed blocks of this failure domain can be satisfied at the same time.
//
// It stores one explicit packing: every guaranteed block has shares of accelerators on specific workers. Let C(a) be
// the accelerators of a worker certified to client account a, that is, part of its blocks' shares, and P(a) those held
// by pinned work of a, which is work that can't be stopped. On each worker
//
//   sum over a of max(C(a), P(a)) + X <= capacity
//
// holds, where X is the number of further accelerators that pinned work makes unusable by taking their share of the
// processors or the memory. So every block can be provided by stopping work that may be stopped. Only pinned work and
// the loss of workers can violate this; starting work that can be stopped needs no check. The packing changes
// incrementally: a pin that conflicts with a block moves that block, or is refused.
//
// A call is an account's demand for certified accelerators that borrowers, jobs of other accounts, use at present.
#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

// One block of a guarantee.
struct BlockSpec {
  AccountIndex m_account = kNone;
  std::string m_shape;  // Name of the guarantee.
  int m_accelerators = 0;
  Adjacency m_adjacency = Adjacency::kRack;

  bool operator==(const BlockSpec&) const = default;
};

// Accelerators of one worker that belong to a block.
struct Share {
  WorkerIndex m_worker = kNone;
  int m_accelerators = 0;
};

struct Block {
  BlockSpec m_spec;
  std::vector<Share> m_shares;
  int m_missing = 0;  // Accelerators that no worker could provide; the shares cover the rest.
};

// Rack and capacity of a worker. Racks have the indices of the cluster.
struct WorkerInfo {
  RackIndex m_rack = kNone;
  int m_capacity = 0;  // Accelerators; 0 if the worker takes no new work.
  Resources m_total;   // Capacity of the worker, whether it takes new work or not.
};

// Pinned work, that is work that can't be stopped, on one worker.
struct Pin {
  WorkerIndex m_worker = kNone;
  Resources m_allocated;
};

// Copyable, so that changes can be tried on a copy.
class Certificate {
 public:
  // Racks in the order of their positions; the flag of each tells whether it is adjacent to the previous one.
  void SetRackOrder(std::vector<RackIndex> order, std::vector<bool> adjoins_previous);

  // Adds a worker or changes its rack or capacity. Blocks with shares on a worker that changes its rack lose all their
  // shares. The next Repair() moves blocks that no longer fit, or leaves them with a part missing.
  void SetWorker(WorkerIndex worker, const WorkerInfo& info);

  // Replaces the blocks of these accounts. Blocks whose spec is unchanged keep their shares;
  // new ones have none until Repair().
  void ReplaceBlocks(const std::vector<AccountIndex>& accounts, const std::vector<BlockSpec>& blocks);

  // Moves blocks so that the pins can be added without making any block incomplete. Does not add the pins. Returns
  // false, with all blocks where they were, if that is impossible.
  bool MakeRoom(AccountIndex account, const std::vector<Pin>& pins);

  // Adds or removes pinned work. Unless MakeRoom() returned true for an added pin, Repair() must follow.
  void AddPin(AccountIndex account, const Pin& pin);
  void RemovePin(AccountIndex account, const Pin& pin);

  // Moves blocks off overcommitted workers and completes incomplete blocks where possible. `search_nodes` limits the
  // exhaustive search that runs if the greedy one fails.
  void Repair(int search_nodes);

  // Adds to, or with negative values subtracts from, the accelerators that work of an account holds, and those of them
  // that are costly to stop. Blocks are preferably placed where their account already runs work and where a call would
  // stop little costly work of others.
  void AddHeld(AccountIndex account, WorkerIndex worker, int held, int costly);

  // Moves idle blocks that overlap costly work of others, or that are split into small shares, to better places. Each
  // invocation looks at a limited number of blocks and continues after the last one.
  void ImprovePacking();

  // Moves idle blocks of the account so that their shares are multiples of `task` accelerators and such tasks fit in.
  // True if at least one was moved.
  bool AlignShares(AccountIndex account, int task);

  // Accelerators of this worker in the shares of the account's blocks.
  int Certified(WorkerIndex worker, AccountIndex account) const;

  // Accelerators of this worker that further pinned work of the account may take without moving any block.
  int RoomForPin(WorkerIndex worker, AccountIndex account) const;

  // Accelerators of one worker that are certified to, or held by, one account.
  struct Claim {
    AccountIndex m_account = kNone;
    int m_certified = 0;
    int m_pinned = 0;
    int m_held = 0;    // By any work.
    int m_costly = 0;  // Held by work that can be stopped, but would lose its progress.

    bool operator==(const Claim&) const = default;
  };
  const std::vector<Claim>& Claims(WorkerIndex worker) const;

  const std::vector<Block>& Blocks() const { return m_blocks; }
  bool NeedsRepair() const { return !m_unchecked.empty(); }  // Workers may be overcommitted.
  int Missing() const { return m_missing; }                  // Accelerators, over all blocks.

  // Empty if the packing is consistent, else a description of the fault. O(workers + blocks).
  std::string Check() const;

 private:
  struct WorkerState {
    WorkerInfo m_info;
    int m_committed = 0;            // Sum over accounts of max(certified, pinned), plus m_withheld.
    std::vector<Resources> m_pins;  // Of all accounts.
    int m_withheld = 0;             // Accelerators left without processors or memory by pinned work.
    std::vector<Claim> m_claims;
  };
  struct Rack {
    std::vector<WorkerIndex> m_workers;
    int m_spare = 0;   // Sum over workers of capacity minus committed.
    int m_pinned = 0;  // Sum of pins; an account's own pins can't cover more of its blocks.
  };
  using Shares = std::vector<Share>;

  // Shares of a block before a tentative change.
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
  int RoomForBlock(WorkerIndex worker, AccountIndex account) const;  // Accelerators for further blocks of the account.
  int UncertifiedPinned(WorkerIndex worker,
                        AccountIndex account) const;  // Pinned by the account beyond what is certified to it.
  int UncertifiedHeld(WorkerIndex worker,
                      AccountIndex account) const;  // Held by the account beyond what is certified to it.
  int CostlyOfOthers(WorkerIndex worker, AccountIndex account) const;  // Costly work of other accounts.
  // Drawbacks of a set of shares, the most important first.
  struct Penalty {
    int m_unaligned = 0;  // Accelerators in remainders of shares that large tasks can't use.
    int m_costly = 0;     // Accelerators where a call would stop costly work.
    int m_idle = 0;       // Accelerators where the account has no work.
    auto operator<=>(const Penalty&) const = default;
  };
  Penalty PenaltyOf(const BlockSpec& block, const Shares& shares) const;
  bool IsIdle(const Block& block) const;  // The account holds nothing on the workers of the block.
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
  int CheapRoomFor(WorkerIndex worker, AccountIndex account) const;  // As RoomForBlock, without stopping costly work.

  bool VacateWorker(WorkerIndex worker, std::vector<SavedBlock>* saved);
  bool RelocateBlocks(const std::vector<SavedBlock>& saved);
  bool CompleteGreedily();
  bool PackAll(int search_nodes);
  bool LacksAccelerators() const;  // Fewer accelerators are left than are missing.
  bool Equivalent(const WorkerState& left, const WorkerState& right) const;
  bool Search(const std::vector<std::size_t>& order, std::size_t at, int* nodes);
  std::vector<Shares> Candidates(const BlockSpec& block) const;
  bool IsSmall() const { return m_blocks.size() * m_worker_states.size() <= kMaxSmallSize; }

  static constexpr std::size_t kMaxSmallSize = 512;  // Blocks times workers; every search up to it is exhaustive.
  static constexpr int kSmallSearchNodes = 1000;     // Limit of such a search.

  std::vector<WorkerState> m_worker_states;  // Indexed by worker.
  std::vector<Rack> m_racks;
  std::vector<RackIndex> m_rack_order;
  std::vector<bool> m_adjoins_previous;
  std::vector<Block> m_blocks;
  int m_missing = 0;
  int m_max_share_unit = 8;              // Largest m_share_unit tried; not above the smallest worker's accelerators.
  std::size_t m_next_to_improve = 0;     // Block that ImprovePacking looks at next.
  int m_share_unit = 1;                  // During a search, shares are multiples of this many accelerators.
  bool m_search_failed = false;          // PackAll found nothing, and no capacity was freed since.
  std::vector<WorkerIndex> m_unchecked;  // Workers that may be overcommitted.
};

}  // namespace hickoryquay::policy
