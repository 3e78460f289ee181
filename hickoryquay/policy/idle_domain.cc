#include "hickoryquay/policy/idle_domain.h"

#include <algorithm>

namespace hickoryquay::policy {
namespace {

constexpr std::size_t kMaxSmallWorkers = 12;
constexpr int kSearchNodes = 2000;

}  // namespace

// Room that the current packing of the blocks leaves free.
class IdleDomain::Room final : public RoomRule {
 public:
  Room(const Cluster& cluster, const Certificate& certificate, AccountIndex account, const Resources& task)
      : m_cluster(cluster), m_certificate(certificate), m_account(account), m_task(task) {}

  int Tasks(WorkerIndex worker, int limit) const override {
    const WorkerEntry& entry = m_cluster.At(worker);
    if (!entry.m_ever_joined) return 0;
    Resources room = entry.m_worker.m_capacity;
    room.m_accelerators = m_certificate.RoomForPin(worker, m_account);
    return TasksThatFit(room, m_task, limit);
  }
  double Cost(WorkerIndex, int) const override { return 0.0; }
  double RackCost(RackIndex) const override { return 0.0; }
  bool RackMayFit(RackIndex) const override { return true; }

 private:
  const Cluster& m_cluster;
  const Certificate& m_certificate;
  AccountIndex m_account;
  const Resources& m_task;
};

IdleDomain::IdleDomain(const Cluster& cluster, const std::vector<Block>& blocks) : m_cluster(cluster) {
  std::vector<bool> joins;
  const std::vector<RackIndex>& order = cluster.RacksByPosition();
  for (std::size_t i = 0; i < order.size(); ++i)
    joins.push_back(i > 0 && cluster.AreNeighbours(order[i - 1], order[i]));
  m_certificate.SetRackOrder(order, std::move(joins));
  for (std::size_t i = 0; i < cluster.Workers().size(); ++i) {
    const WorkerEntry& worker = cluster.Workers()[i];
    const Resources& capacity = worker.m_worker.m_capacity;
    if (!worker.m_ever_joined) continue;
    m_certificate.SetWorker(static_cast<WorkerIndex>(i), {worker.m_rack, capacity.m_accelerators, capacity});
  }
  std::vector<BlockSpec> specs;
  for (const Block& block : blocks) specs.push_back(block.m_spec);
  m_certificate.ReplaceBlocks({}, specs);
  m_certificate.Repair(kSearchNodes);
}

bool IdleDomain::IsSmall() const {
  return m_cluster.Workers().size() <= kMaxSmallWorkers;
}

bool IdleDomain::HasRoomFor(AccountIndex account, const GangShape& shape) {
  if (shape.m_task.m_accelerators == 0) return true;  // Guarantees cover accelerators only.
  const Room room(m_cluster, m_certificate, account, shape.m_task);
  if (!FindPlacement(m_cluster, room, shape).empty()) return true;
  if (!IsSmall()) return FitsAsBlock(shape);
  m_account = account;
  m_shape = shape;
  const std::vector<std::vector<WorkerIndex>> groups = Groups();
  return std::any_of(groups.begin(), groups.end(),
                     [this](const std::vector<WorkerIndex>& group) { return TryGroup(group, 0, m_shape.m_tasks); });
}

// Tries to pack the gang as one more block.
bool IdleDomain::FitsAsBlock(const GangShape& shape) const {
  constexpr AccountIndex kNoAccount = kNone - 1;
  Certificate trial = m_certificate;
  trial.ReplaceBlocks({}, {BlockSpec{kNoAccount, "", shape.Accelerators(), shape.m_adjacency}});
  trial.Repair(kSearchNodes);
  if (trial.Missing() > 0) return false;
  int tasks = 0;
  for (const Share& share : trial.Blocks().back().m_shares) tasks += share.m_accelerators / shape.m_task.m_accelerators;
  return tasks >= shape.m_tasks;
}

// Tries every distribution of `left` tasks over the workers of the group from index `at` on.
bool IdleDomain::TryGroup(const std::vector<WorkerIndex>& group, std::size_t at, int left) {
  if (left == 0) return m_certificate.MakeRoom(m_account, m_pins);
  if (at == group.size()) return false;
  const Resources& capacity = m_cluster.At(group[at]).m_worker.m_capacity;
  for (int tasks = TasksThatFit(capacity, m_shape.m_task, left); tasks >= 0; --tasks) {
    if (tasks > 0) m_pins.push_back({group[at], {tasks * m_shape.m_task.m_accelerators, 0, 0}});
    const bool found = TryGroup(group, at + 1, left - tasks);
    if (tasks > 0) m_pins.pop_back();
    if (found) return true;
  }
  return false;
}

// Sets of workers within which the gang satisfies its adjacency.
std::vector<std::vector<WorkerIndex>> IdleDomain::Groups() const {
  std::vector<std::vector<WorkerIndex>> groups;
  const std::vector<RackIndex>& order = m_cluster.RacksByPosition();
  const bool one_worker = m_shape.m_adjacency == Adjacency::kWorker;
  std::size_t most = 1;
  if (m_shape.m_adjacency == Adjacency::kNeighbourRacks) most = kMaxNeighbourRacks;
  if (m_shape.m_adjacency == Adjacency::kAny) most = order.size();
  for (std::size_t first = 0; first < order.size(); ++first) {
    std::vector<WorkerIndex> group;
    for (std::size_t at = first; at < order.size() && at < first + most; ++at) {
      const bool apart = at > first && !m_cluster.AreNeighbours(order[at - 1], order[at]);
      if (apart && m_shape.m_adjacency != Adjacency::kAny) break;
      for (const WorkerIndex worker : m_cluster.Racks()[order[at]].m_workers) {
        if (one_worker) groups.push_back({worker});
        group.push_back(worker);
      }
    }
    if (!one_worker) groups.push_back(std::move(group));
  }
  return groups;
}

}  // namespace hickoryquay::policy
