#include "hickoryquay/policy/fragmentation.h"

#include <algorithm>
#include <tuple>

namespace hickoryquay::policy {
namespace {

// Free accelerators of one rack, and the tasks that fit on them.
struct Rack {
  int m_position = 0;
  int m_tasks = 0;
  int m_free = 0;
};

std::vector<Rack> RacksOf(const std::vector<FreeWorker>& workers, int task) {
  std::vector<Rack> racks;
  int last = -1;
  for (const FreeWorker& worker : workers) {
    if (racks.empty() || worker.m_rack != last) racks.push_back({worker.m_rack_position, 0, 0});
    last = worker.m_rack;
    racks.back().m_tasks += worker.m_free / task;
    racks.back().m_free += worker.m_free;
  }
  return racks;
}

// Number of gangs that fit, filling runs of neighbouring racks greedily in the order of positions.
int GangsInRuns(std::vector<Rack> racks, int tasks) {
  int gangs = 0;
  for (std::size_t first = 0; first < racks.size(); ++first) {
    gangs += racks[first].m_tasks / tasks;
    racks[first].m_tasks %= tasks;
    int sum = 0;
    for (std::size_t length = 1; length <= kMaxNeighbourRacks && first + length <= racks.size(); ++length) {
      const std::size_t last = first + length - 1;
      const bool joins = length == 1 || racks[last].m_position == racks[last - 1].m_position + 1;
      if (!joins || racks[last].m_tasks == 0) break;
      sum += racks[last].m_tasks;
      if (sum < tasks) continue;
      for (std::size_t i = first; i < last; ++i) racks[i].m_tasks = 0;
      racks[last].m_tasks = sum - tasks;
      ++gangs;
      break;
    }
  }
  return gangs;
}

int GangsThatFit(const std::vector<FreeWorker>& workers, const GangShape& shape) {
  const int task = std::max(1, shape.m_task.m_accelerators);
  int gangs = 0;
  int tasks = 0;
  for (const FreeWorker& worker : workers) {
    tasks += worker.m_free / task;
    gangs += worker.m_free / task / shape.m_tasks;
  }
  if (shape.m_adjacency == Adjacency::kWorker) return gangs;
  if (shape.m_adjacency == Adjacency::kAny) return tasks / shape.m_tasks;
  const std::vector<Rack> racks = RacksOf(workers, task);
  if (shape.m_adjacency == Adjacency::kNeighbourRacks) return GangsInRuns(racks, shape.m_tasks);
  gangs = 0;
  for (const Rack& rack : racks) gangs += rack.m_tasks / shape.m_tasks;
  return gangs;
}

int LargestRun(const std::vector<Rack>& racks) {
  int largest = 0;
  for (std::size_t first = 0; first < racks.size(); ++first) {
    int sum = 0;
    for (std::size_t length = 1; length <= kMaxNeighbourRacks && first + length <= racks.size(); ++length) {
      const std::size_t last = first + length - 1;
      if (length > 1 && racks[last].m_position != racks[last - 1].m_position + 1) break;
      sum += racks[last].m_free;
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

}  // namespace

Fragmentation MeasureFragmentation(std::vector<FreeWorker> workers, const GangShape& shape) {
  std::sort(workers.begin(), workers.end(), [](const FreeWorker& a, const FreeWorker& b) {
    return std::tie(a.m_rack_position, a.m_rack) < std::tie(b.m_rack_position, b.m_rack);
  });
  int free = 0;
  for (const FreeWorker& worker : workers) free += worker.m_free;
  Fragmentation result;
  if (free == 0) return result;
  result.m_largest_gang_share = static_cast<double>(LargestRun(RacksOf(workers, 1))) / free;
  if (shape.Accelerators() == 0) return result;
  const int served = GangsThatFit(workers, shape) * shape.Accelerators();
  result.m_share = 1.0 - static_cast<double>(served) / free;
  return result;
}

}  // namespace hickoryquay::policy
