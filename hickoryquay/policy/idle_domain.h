// IdleDomain: whether work that can't be stopped would ever find room beside all guarantees, with nothing else running.
#pragma once

#include <vector>

#include "hickoryquay/policy/certificate.h"
#include "hickoryquay/policy/placement.h"

namespace hickoryquay::policy {

// All workers that ever joined, empty, with the guaranteed blocks packed into them. Made anew when either changes.
class IdleDomain {
 public:
  IdleDomain(const Cluster& cluster, const std::vector<Block>& blocks);

  // Whether the blocks themselves find room, with nothing else running.
  bool FitsBlocks() const { return m_certificate.Missing() == 0; }

  // Exhaustive in small domains; in large ones a bounded search, which errs on the side of no.
  bool HasRoomFor(AccountIndex account, const GangShape& shape);

 private:
  class Room;

  bool FitsAsBlock(const GangShape& shape) const;
  bool TryGroup(const std::vector<WorkerIndex>& group, std::size_t at, int left);
  std::vector<std::vector<WorkerIndex>> Groups() const;
  bool IsSmall() const;

  const Cluster& m_cluster;
  Certificate m_certificate;

  // Of the search under way.
  AccountIndex m_account = kNone;
  GangShape m_shape;
  std::vector<Pin> m_pins;
};

}  // namespace hickoryquay::policy
