#include "hickoryquay/policy/placement.h"

#include <algorithm>

namespace hickoryquay::policy {
namespace {

// Weights of AvailableRoom's cost, on a common scale without unit.
constexpr double kUseWorker = 1.0;            // Using a worker that is entirely free.
constexpr double kBreakWorker = 5.0;          // Using only a part of a worker that is entirely free.
constexpr double kBreakRack = 6.0;            // Using a rack that is entirely free.
constexpr double kLeftOver = 0.25;            // Each accelerator of the worker that remains free.
constexpr double kEmptierRack = 4.0;          // A rack that is entirely free; 0 for a full one, linear between.
constexpr double kBorrowedAccelerator = 3.0;  // Each accelerator on an idle guarantee of another account.

struct WorkerOption {
  WorkerIndex m_worker = kNone;
  int m_tasks = 0;      // Number that fits.
  double m_cost = 0.0;  // Per task.
};

struct Candidate {
  GangPlacement m_placement;
  double m_cost = 0.0;
};

void KeepCheaper(Candidate candidate, Candidate* best) {
  if (best->m_placement.empty() || candidate.m_cost < best->m_cost) *best = std::move(candidate);
}

class PlacementSearch {
 public:
  PlacementSearch(const Cluster& cluster, const RoomRule& rule, const GangShape& shape)
      : m_cluster(cluster), m_rule(rule), m_shape(shape) {}

  GangPlacement Run() {
    Candidate best;
    if (m_shape.m_tasks == 1 || m_shape.m_adjacency == Adjacency::kWorker) {
      SearchWorkers(&best);
      return best.m_placement;
    }
    if (m_shape.m_adjacency == Adjacency::kAny) {
      SearchDomain(&best);
      return best.m_placement;
    }
    SearchRacks(&best);
    if (best.m_placement.empty() && m_shape.m_adjacency == Adjacency::kNeighbourRacks) SearchNeighbourRacks(&best);
    return best.m_placement;
  }

 private:
  void SearchWorkers(Candidate* best) {
    for (std::size_t i = 0; i < m_cluster.Racks().size(); ++i) {
      const auto rack = static_cast<RackIndex>(i);
      if (!m_rule.RackMayFit(rack)) continue;
      const double rack_cost = m_rule.RackCost(rack);
      for (const WorkerIndex worker : m_cluster.Racks()[rack].m_workers) {
        if (m_rule.Tasks(worker, m_shape.m_tasks) < m_shape.m_tasks) continue;
        const double cost = rack_cost + m_rule.Cost(worker, m_shape.m_tasks);
        if (best->m_placement.empty() || cost < best->m_cost) *best = Candidate{{{worker, m_shape.m_tasks}}, cost};
      }
    }
  }

  // Appends the workers of the rack that fit at least one task. Returns the number of tasks that fit in total.
  int CollectOptions(RackIndex rack, std::vector<WorkerOption>* options) const {
    if (!m_rule.RackMayFit(rack)) return 0;
    int fit = 0;
    for (const WorkerIndex worker : m_cluster.Racks()[rack].m_workers) {
      const int tasks = m_rule.Tasks(worker, m_shape.m_tasks);
      if (tasks == 0) continue;
      fit += tasks;
      options->push_back({worker, tasks, m_rule.Cost(worker, tasks) / tasks});
    }
    return fit;
  }

  // Chooses a worker that fits exactly `wanted` tasks. Without one, the cheapest, or the tightest fit if the cheapest
  // has room for all remaining tasks.
  static std::size_t ChooseOption(const std::vector<WorkerOption>& options, std::size_t from, int wanted) {
    std::size_t pick = from;
    const bool last = options[from].m_tasks >= wanted;
    for (std::size_t i = from; i < options.size(); ++i) {
      if (options[i].m_tasks == wanted) return i;
      if (last && options[i].m_tasks >= wanted && options[i].m_tasks < options[pick].m_tasks) pick = i;
    }
    return pick;
  }

  // Fills the cheapest workers first; the last tasks go to the worker with the tightest fit. Returns the cost.
  double Fill(std::vector<WorkerOption>* options, int wanted, GangPlacement* place) const {
    std::stable_sort(options->begin(), options->end(),
                     [](const WorkerOption& a, const WorkerOption& b) { return a.m_cost < b.m_cost; });
    double cost = 0.0;
    for (std::size_t i = 0; i < options->size() && wanted > 0; ++i) {
      const std::size_t pick = ChooseOption(*options, i, wanted);
      const WorkerOption& option = (*options)[pick];
      const int tasks = std::min(wanted, option.m_tasks);
      place->push_back({option.m_worker, tasks});
      cost += m_rule.Cost(option.m_worker, tasks);
      wanted -= tasks;
    }
    return cost;
  }

  void SearchRacks(Candidate* best) {
    std::vector<WorkerOption> options;
    for (std::size_t i = 0; i < m_cluster.Racks().size(); ++i) {
      const auto rack = static_cast<RackIndex>(i);
      options.clear();
      if (CollectOptions(rack, &options) < m_shape.m_tasks) continue;
      Candidate candidate;
      candidate.m_cost = m_rule.RackCost(rack) + Fill(&options, m_shape.m_tasks, &candidate.m_placement);
      KeepCheaper(std::move(candidate), best);
    }
  }

  // Considers only the shortest runs of adjacent racks that fit the gang and in which every rack is used.
  void SearchNeighbourRacks(Candidate* best) {
    const std::vector<RackIndex>& order = m_cluster.RacksByPosition();
    std::vector<std::vector<WorkerOption>> options(order.size());
    std::vector<int> fit(order.size());
    for (std::size_t i = 0; i < order.size(); ++i) fit[i] = CollectOptions(order[i], &options[i]);
    std::size_t best_length = kMaxNeighbourRacks + 1;
    for (std::size_t first = 0; first < order.size(); ++first) {
      int sum = 0;
      for (std::size_t length = 1; length <= kMaxNeighbourRacks && first + length <= order.size(); ++length) {
        const std::size_t last = first + length - 1;
        if (fit[last] == 0 || (length > 1 && !m_cluster.AreNeighbours(order[last - 1], order[last]))) break;
        sum += fit[last];
        if (sum < m_shape.m_tasks) continue;
        if (length > best_length) break;
        if (length < best_length) *best = Candidate{};
        best_length = length;
        KeepCheaper(FillRun(order, options, fit, first, length), best);
        break;
      }
    }
  }

  Candidate FillRun(const std::vector<RackIndex>& order, const std::vector<std::vector<WorkerOption>>& options,
                    const std::vector<int>& fit, std::size_t first, std::size_t length) const {
    Candidate candidate;
    int left = m_shape.m_tasks;
    for (std::size_t at = first; at < first + length; ++at) {
      const int here = std::min(left, fit[at]);
      std::vector<WorkerOption> copy = options[at];
      candidate.m_cost += m_rule.RackCost(order[at]) + Fill(&copy, here, &candidate.m_placement);
      left -= here;
    }
    return candidate;
  }

  // Takes the cheapest workers of the whole failure domain.
  void SearchDomain(Candidate* best) {
    std::vector<WorkerOption> options;
    int fit = 0;
    for (std::size_t i = 0; i < m_cluster.Racks().size(); ++i) {
      const auto rack = static_cast<RackIndex>(i);
      const std::size_t before = options.size();
      fit += CollectOptions(rack, &options);
      for (std::size_t at = before; at < options.size(); ++at) options[at].m_cost += m_rule.RackCost(rack);
    }
    if (fit < m_shape.m_tasks) return;
    best->m_cost = Fill(&options, m_shape.m_tasks, &best->m_placement);
  }

  const Cluster& m_cluster;
  const RoomRule& m_rule;
  const GangShape& m_shape;
};

}  // namespace

GangPlacement FindPlacement(const Cluster& cluster, const RoomRule& rule, const GangShape& shape) {
  return PlacementSearch(cluster, rule, shape).Run();
}

//-------------------------------------------------------------------------------------------------
// AvailableRoom
//-------------------------------------------------------------------------------------------------

int BorrowingRule::Excluded(const Cluster& cluster, const Certificate& certificate, WorkerIndex index) const {
  if (m_max_risk >= 1.0) return 0;
  const WorkerEntry& worker = cluster.At(index);
  int idle = 0;
  for (const Certificate::Claim& claim : certificate.Claims(index)) {
    const int unused = claim.m_certified - worker.AcceleratorsUsedBy(claim.m_account);
    if (claim.m_account == m_borrower || unused <= 0) continue;
    if (m_estimator->CallProbability(claim.m_account, m_run, m_now) > m_max_risk) idle += unused;
  }
  return idle;
}

AvailableRoom::AvailableRoom(const Cluster& cluster, const Certificate& certificate, const Request& request)
    : m_cluster(cluster), m_certificate(certificate), m_request(request) {}

bool AvailableRoom::RackMayFit(RackIndex rack) const {
  return m_cluster.Racks()[rack].m_available >= m_request.m_task.m_accelerators;
}

int AvailableRoom::Tasks(WorkerIndex index, int limit) const {
  const WorkerEntry& worker = m_cluster.At(index);
  const int accelerators = m_request.m_task.m_accelerators;
  if (!worker.Usable() || worker.m_available < accelerators) return 0;
  if (worker.m_trial && (!m_request.m_trial || !worker.m_jobs.empty())) return 0;
  if (m_request.m_avoid != nullptr) {
    const std::vector<WorkerIndex>& avoid = *m_request.m_avoid;
    if (std::find(avoid.begin(), avoid.end(), index) != avoid.end()) return 0;
  }
  int tasks = TasksThatFit(worker.Available(), m_request.m_task, limit);
  if (m_request.m_pinned && accelerators > 0) {
    tasks = std::min(tasks, m_certificate.RoomForPin(index, m_request.m_account) / accelerators);
  }
  if (accelerators > 0 && tasks > 0) {
    const int allowed = worker.m_available - m_request.m_borrowing.Excluded(m_cluster, m_certificate, index);
    tasks = std::min(tasks, std::max(0, allowed) / accelerators);
  }
  return tasks;
}

// How many of these accelerators would lie on idle guarantees of other accounts, which may call them at any time.
int AvailableRoom::Borrowed(WorkerIndex index, int accelerators) const {
  const WorkerEntry& worker = m_cluster.At(index);
  int idle = 0;
  for (const Certificate::Claim& claim : m_certificate.Claims(index)) {
    if (claim.m_account == m_request.m_account) continue;
    idle += std::max(0, claim.m_certified - worker.AcceleratorsUsedBy(claim.m_account));
  }
  return std::clamp(accelerators - (worker.m_available - idle), 0, accelerators);
}

double AvailableRoom::Cost(WorkerIndex index, int tasks) const {
  const WorkerEntry& worker = m_cluster.At(index);
  const RackEntry& rack = m_cluster.Racks()[worker.m_rack];
  const int accelerators = tasks * m_request.m_task.m_accelerators;
  const int left = worker.m_available - accelerators;
  const bool whole_worker = worker.m_available == worker.m_worker.m_capacity.m_accelerators;
  const bool whole_rack = rack.m_available == rack.m_capacity;
  double fragmentation = kLeftOver * left;
  if (whole_worker && accelerators > 0) fragmentation += kUseWorker;
  if (whole_worker && left > 0 && accelerators > 0) fragmentation += kBreakWorker;
  if (whole_rack && accelerators > 0) fragmentation += kBreakRack;
  const double borrowed = kBorrowedAccelerator * m_request.m_loss_weight * Borrowed(index, accelerators);
  return (1.0 - m_request.m_completion_weight / 2) * fragmentation + borrowed;
}

double AvailableRoom::RackCost(RackIndex index) const {
  const RackEntry& rack = m_cluster.Racks()[index];
  if (rack.m_capacity == 0) return 0.0;
  return (1.0 - m_request.m_completion_weight / 2) * kEmptierRack * rack.m_available / rack.m_capacity;
}

}  // namespace hickoryquay::policy
