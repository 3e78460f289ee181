#include "hickoryquay/policy/compaction.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::policy {
namespace {

constexpr Millis kMoveCooldown{10 * 60'000};  // Minimum time between two moves of a job.
constexpr int kMaxMovedAtOnce = 24;           // Accelerators, over all jobs moved together.
constexpr int kMaxMovedJob = 4;               // Accelerators.

// An account's work is within its guarantee where its blocks lie, and anywhere while it holds no more than they do in
// all: such work may be the answer to a call, and would have to call again.
bool WithinGuarantee(const Cluster& cluster, const Certificate& certificate, const JobEntry& job, WorkerIndex worker) {
  const AccountEntry& account = cluster.Account(job.m_account);
  if (account.m_guaranteed == 0 || job.Accelerators() == 0) return false;
  return account.m_held <= account.m_guaranteed ||
         cluster.At(worker).AcceleratorsUsedBy(job.m_account) <= certificate.Certified(worker, job.m_account);
}

bool Movable(const Cluster& cluster, const Certificate& certificate, const JobEntry& job, Instant now) {
  if (job.m_pinned || job.m_phase != Phase::kRunning || job.m_parts.size() != 1) return false;
  if (WithinGuarantee(cluster, certificate, job, job.m_parts.front().m_worker)) return false;
  if (!cluster.Class(job.m_class).m_work.m_checkpointable || job.Accelerators() > kMaxMovedJob) return false;
  return now - job.m_last_moved >= kMoveCooldown;
}

// A worker that is free, or becomes free if the jobs on it are moved.
struct Vacancy {
  WorkerIndex m_worker = kNone;
  int m_accelerators = 0;  // Of the whole worker.
  int m_moved = 0;         // Accelerators to be moved.
};

// Workers of neighbouring racks on which a gang is to be placed.
struct Region {
  std::vector<Vacancy> m_vacancies;
  int m_moved = 0;
  int m_free = 0;  // Accelerators of these workers that are free already.
};

class Compactor {
 public:
  Compactor(const Cluster& cluster, const Certificate& certificate, const GangShape& shape, Instant now)
      : m_cluster(cluster),
        m_certificate(certificate),
        m_gang_accelerators(shape.Accelerators()),
        m_adjacency(shape.m_adjacency),
        m_now(now) {}

  std::vector<JobIndex> Run() {
    if (m_gang_accelerators == 0 || m_gang_accelerators > m_cluster.Available() || m_adjacency == Adjacency::kAny)
      return {};
    const std::size_t most = m_adjacency == Adjacency::kNeighbourRacks ? kMaxNeighbourRacks : 1;
    const std::vector<RackIndex>& order = m_cluster.RacksByPosition();
    Region best;
    int served = 0;  // Gangs that fit on entirely free workers now.
    for (std::size_t first = 0; first < order.size(); ++first) {
      std::vector<Vacancy> vacancies;
      for (std::size_t length = 1; length <= most && first + length <= order.size(); ++length) {
        const std::size_t last = first + length - 1;
        if (length > 1 && !m_cluster.AreNeighbours(order[last - 1], order[last])) break;
        AddVacancies(order[last], &vacancies);
      }
      served += GangsThatFitNow(vacancies);
      KeepCheaper(Cheapest(std::move(vacancies)), &best);
    }
    const bool enough = served >= m_cluster.Available() / m_gang_accelerators;
    if (enough || best.m_vacancies.empty() || best.m_moved == 0 || best.m_moved > kMaxMovedAtOnce) return {};
    if (best.m_moved > m_cluster.Available() - best.m_free) return {};  // No room elsewhere for the jobs moved.
    return JobsOf(best);
  }

 private:
  void AddVacancies(RackIndex rack, std::vector<Vacancy>* vacancies) const {
    for (const WorkerIndex index : m_cluster.Racks()[rack].m_workers) {
      const WorkerEntry& worker = m_cluster.At(index);
      const auto movable = [this](JobIndex job) {
        return Movable(m_cluster, m_certificate, m_cluster.Job(job), m_now);
      };
      if (!worker.Usable() || worker.m_trial || worker.m_reserved.m_accelerators > 0) continue;
      if (!std::all_of(worker.m_jobs.begin(), worker.m_jobs.end(), movable)) continue;
      vacancies->push_back({index, worker.m_worker.m_capacity.m_accelerators, worker.m_allocated.m_accelerators});
    }
  }

  int GangsThatFitNow(const std::vector<Vacancy>& vacancies) const {
    int free = 0;
    for (const Vacancy& vacancy : vacancies) free += vacancy.m_moved == 0 ? vacancy.m_accelerators : 0;
    return free / m_gang_accelerators;
  }

  // The vacancies with the fewest moved accelerators that fit one gang more than the entirely free workers do.
  Region Cheapest(std::vector<Vacancy> vacancies) const {
    std::stable_sort(vacancies.begin(), vacancies.end(),
                     [](const Vacancy& a, const Vacancy& b) { return a.m_moved < b.m_moved; });
    const int wanted = (GangsThatFitNow(vacancies) + 1) * m_gang_accelerators;
    Region region;
    int sum = 0;
    for (const Vacancy& vacancy : vacancies) {
      if (sum >= wanted) break;
      sum += vacancy.m_accelerators;
      region.m_moved += vacancy.m_moved;
      region.m_free += vacancy.m_accelerators - vacancy.m_moved;
      region.m_vacancies.push_back(vacancy);
    }
    return sum >= wanted ? region : Region{};
  }

  static void KeepCheaper(Region region, Region* best) {
    if (region.m_vacancies.empty()) return;
    if (best->m_vacancies.empty() || region.m_moved < best->m_moved) *best = std::move(region);
  }

  std::vector<JobIndex> JobsOf(const Region& region) const {
    std::vector<JobIndex> jobs;
    for (const Vacancy& vacancy : region.m_vacancies) {
      const std::vector<JobIndex>& here = m_cluster.At(vacancy.m_worker).m_jobs;
      jobs.insert(jobs.end(), here.begin(), here.end());
    }
    return jobs;
  }

  const Cluster& m_cluster;
  const Certificate& m_certificate;
  int m_gang_accelerators;
  Adjacency m_adjacency;
  Instant m_now;
};

}  // namespace

std::vector<JobIndex> ChooseJobsToMove(const Cluster& cluster, const Certificate& certificate, const GangShape& shape,
                                       Instant now) {
  return Compactor(cluster, certificate, shape, now).Run();
}

}  // namespace hickoryquay::policy
