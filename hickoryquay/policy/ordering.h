// Ordering: which waiting job is tried next.
//
// Jobs of one client account, class, size and adjacency wait in one queue, so that a gang that does not fit blocks
// neither smaller jobs nor other accounts. Queues are compared by the rank of their heads: first by urgency (raised by
// age and by a near deadline), then by whether the account holds far more than its fair share, then by the remaining
// work, smallest first, then by due time.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "hickoryquay/policy/estimator.h"

namespace hickoryquay::policy {

// Order of waiting jobs; the lowest is tried first.
struct Rank {
  int m_level = 0;
  bool m_over_share = false;  // The account holds more than twice its fair share.
  int m_work = 0;             // Remaining work in accelerator-seconds, as a power of two.
  std::int64_t m_due_ms = 0;
  std::uint64_t m_job = 0;

  auto operator<=>(const Rank&) const = default;
};

class WaitingQueues {
 public:
  WaitingQueues(Cluster* cluster, const Estimator* estimator) : m_cluster(cluster), m_estimator(estimator) {}

  // O(log n).
  void Insert(JobIndex job);
  void Remove(JobIndex job);  // No effect where the job does not wait.

  // The first `count` jobs of a queue.
  std::vector<JobIndex> Heads(int queue, int count) const;
  JobIndex Head(int queue) const;  // kNone where the queue is empty.
  int Queues() const { return static_cast<int>(m_queues.size()); }
  std::size_t Size() const { return m_size; }

  Rank RankOf(JobIndex job, Instant now) const;

  // The waiting job with the most accelerators; kNone where there is none.
  JobIndex LargestJob() const;

  // Heads of other queues that are tried before this job, in order; at most `count`.
  std::vector<JobId> JobsAhead(JobIndex job, Instant now, int count) const;

 private:
  using Key = std::tuple<AccountIndex, ClassIndex, int, Adjacency>;
  using Queue = std::set<std::pair<std::int64_t, JobIndex>>;  // Due time in ms, and job.

  std::int64_t DueOf(const JobEntry& job) const;

  Cluster* m_cluster;
  const Estimator* m_estimator;
  std::map<Key, int> m_queue_by_key;
  std::vector<Queue> m_queues;
  std::size_t m_size = 0;
};

}  // namespace hickoryquay::policy
