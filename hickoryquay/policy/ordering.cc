#include "hickoryquay/policy/ordering.h"

#include <algorithm>
#include <cmath>

namespace hickoryquay::policy {
namespace {

constexpr Millis kAgePerLevel{60 * 60 * 1000};        // Wait that raises a job's urgency by one level.
constexpr Millis kAgeToTopLevel{4 * 60 * 60 * 1000};  // Wait after which a job reaches the most urgent level.
constexpr Millis kDefaultDue{12 * 60 * 60 * 1000};    // Jobs without a deadline are due this long after acceptance.
constexpr double kOverShareFactor = 2.0;              // Times the fair share of an account; jobs above it rank later.
constexpr double kDeadlineSafetyFactor = 1.5;  // Times the expected run time; less time to the deadline raises a job.
constexpr int kDeadlineLevel = 1;              // Level of a job that must start now to meet its deadline.

}  // namespace

std::int64_t WaitingQueues::DueOf(const JobEntry& job) const {
  return job.m_deadline.m_ms != 0 ? job.m_deadline.m_ms : (job.m_accepted + kDefaultDue).m_ms;
}

void WaitingQueues::Insert(JobIndex index) {
  JobEntry& job = m_cluster->Job(index);
  const Key key{job.m_account, job.m_class, job.Accelerators(), job.m_shape.m_adjacency};
  const auto [at, added] = m_queue_by_key.try_emplace(key, static_cast<int>(m_queues.size()));
  if (added) m_queues.emplace_back();
  job.m_queue = at->second;
  m_queues[job.m_queue].emplace(DueOf(job), index);
  ++m_cluster->Account(job.m_account).m_waiting;
  ++m_size;
}

void WaitingQueues::Remove(JobIndex index) {
  JobEntry& job = m_cluster->Job(index);
  if (job.m_queue == kNone) return;
  m_queues[job.m_queue].erase({DueOf(job), index});
  job.m_queue = kNone;
  --m_cluster->Account(job.m_account).m_waiting;
  --m_size;
}

std::vector<JobIndex> WaitingQueues::Heads(int queue, int count) const {
  std::vector<JobIndex> heads;
  for (const auto& [due, job] : m_queues[queue]) {
    if (count-- == 0) break;
    heads.push_back(job);
  }
  return heads;
}

JobIndex WaitingQueues::Head(int queue) const {
  return m_queues[queue].empty() ? kNone : m_queues[queue].begin()->second;
}

Rank WaitingQueues::RankOf(JobIndex index, Instant now) const {
  const JobEntry& job = m_cluster->Job(index);
  const AccountEntry& account = m_cluster->Account(job.m_account);
  const Millis waited = now - job.m_queued;
  const int urgency = m_cluster->Class(job.m_class).m_work.m_urgency;
  const auto raised = static_cast<int>(waited / kAgePerLevel);
  const int top = waited >= kAgeToTopLevel ? 0 : std::min(urgency, 1);
  Rank rank;
  rank.m_level = std::max(top, urgency - raised);
  if (job.m_deadline.m_ms != 0 && now < job.m_deadline) {
    const Millis slack = job.m_deadline - now;
    const auto needed =
        static_cast<double>((m_estimator->ExpectedRun(job) - job.m_attained).count()) * kDeadlineSafetyFactor;
    if (static_cast<double>(slack.count()) < needed) rank.m_level = std::min(rank.m_level, kDeadlineLevel);
  }
  const int accounts = std::max<int>(1, static_cast<int>(m_cluster->Accounts().size()));
  const double fair = account.m_guaranteed + 1.0 + static_cast<double>(m_cluster->Capacity()) / accounts;
  rank.m_over_share = account.m_held > kOverShareFactor * fair;
  const double left_s = static_cast<double>(m_estimator->ExpectedRemaining(job, now).count()) / 1000.0;
  rank.m_work = static_cast<int>(std::log2(1.0 + left_s * std::max(1, job.Accelerators())));
  rank.m_due_ms = DueOf(job);
  rank.m_job = Raw(job.m_id);
  return rank;
}

JobIndex WaitingQueues::LargestJob() const {
  JobIndex largest = kNone;
  int most = 0;
  for (const auto& [key, queue] : m_queue_by_key) {
    if (m_queues[queue].empty() || std::get<2>(key) <= most) continue;
    most = std::get<2>(key);
    largest = m_queues[queue].begin()->second;
  }
  return largest;
}

std::vector<JobId> WaitingQueues::JobsAhead(JobIndex job, Instant now, int count) const {
  const Rank own = RankOf(job, now);
  std::vector<std::pair<Rank, JobId>> found;
  for (const Queue& queue : m_queues) {
    if (queue.empty()) continue;
    const JobIndex head = queue.begin()->second;
    const Rank rank = RankOf(head, now);
    if (rank < own) found.emplace_back(rank, m_cluster->Job(head).m_id);
  }
  std::sort(found.begin(), found.end());
  std::vector<JobId> ahead;
  for (const auto& [rank, id] : found) {
    if (static_cast<int>(ahead.size()) < count) ahead.push_back(id);
  }
  return ahead;
}

}  // namespace hickoryquay::policy
