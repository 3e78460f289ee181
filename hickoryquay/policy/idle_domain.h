// IdleDomain: whether work that can't be stopped would fit beside all guarantees if nothing else ran.
#pragma once

#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/placement.h"

namespace hickoryquay::policy {

// All workers that ever joined, idle, with the guaranteed blocks packed onto them. Rebuilt when either changes.
class IdleDomain {
 public:
  IdleDomain(const Cluster& cluster, const std::vector<Block>& blocks);

  // Whether the guaranteed blocks themselves fit.
  bool FitsBlocks() const { return m_certificate.Missing() == 0; }

  // Exact in small domains. In large ones the search is bounded and may return false although there is room.
  bool HasRoomFor(AccountIndex account, const GangShape& shape);

 private:
  class Room;

  bool FitsAsBlock(const GangShape& shape) const;
  bool TryGroup(const std::vector<WorkerIndex>& group, std::size_t at, int left);
  std::vector<std::vector<WorkerIndex>> Groups() const;
  bool IsSmall() const;

  const Cluster& m_cluster;
  Certificate m_certificate;

  // State of the current search.
  AccountIndex m_account = kNone;
  GangShape m_shape;
  std::vector<Pin> m_pins;
};

}  // namespace hickoryquay::policy
