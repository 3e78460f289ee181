#include "hickoryquay/policy/health.h"

#include <algorithm>

namespace hickoryquay::policy {
namespace {

constexpr std::size_t kClassSuspectAfter = 4;  // Workers on which a class failed, with no success in between.
constexpr int kMaxQuarantineDoublings = 6;
constexpr int kHardLimitFactor = 3;  // Times m_max_failures: limit on all failures of a job, whoever is at fault.

template <typename T>
bool Contains(const std::vector<T>& all, const T& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

std::uint64_t WorkerHealth::KeyOf(const JobEntry& job) {
  return (static_cast<std::uint64_t>(job.m_account) << 32) | static_cast<std::uint32_t>(job.m_class);
}

bool WorkerHealth::JobIsSuspect(const JobEntry& job, WorkerIndex worker) const {
  const auto healthy_elsewhere = [this, worker](WorkerIndex other) {
    return other != worker && !m_cluster->At(other).m_quarantined;
  };
  if (std::any_of(job.m_failed_on.begin(), job.m_failed_on.end(), healthy_elsewhere)) return true;
  const auto at = m_failing_classes.find(KeyOf(job));
  return at != m_failing_classes.end() && at->second.size() >= kClassSuspectAfter;
}

bool WorkerHealth::RecordFailure(JobIndex index, WorkerIndex worker) {
  JobEntry& job = m_cluster->Job(index);
  const bool suspect = JobIsSuspect(job, worker);
  ++job.m_failures;
  ++job.m_all_failures;
  if (!Contains(job.m_failed_on, worker)) job.m_failed_on.push_back(worker);
  std::vector<WorkerIndex>& failing = m_failing_classes[KeyOf(job)];
  if (!Contains(failing, worker) && failing.size() < kClassSuspectAfter) failing.push_back(worker);
  const WorkerEntry& entry = m_cluster->At(worker);
  if (entry.m_quarantined) {  // The worker is at fault: the failure doesn't count against the job.
    --job.m_failures;
    std::erase(job.m_failed_on, worker);
    return false;
  }
  Record& record = m_records[worker];
  if (!Contains(record.m_failed_jobs, job.m_id) && !suspect) record.m_failed_jobs.push_back(job.m_id);
  const int limit = entry.m_trial ? 1 : m_settings.m_quarantine_after;
  return static_cast<int>(record.m_failed_jobs.size()) >= limit;
}

void WorkerHealth::RecordSuccess(const JobEntry& job) {
  m_failing_classes.erase(KeyOf(job));
  for (const Part& part : job.m_parts) {
    const auto at = m_records.find(part.m_worker);
    if (at == m_records.end()) continue;
    at->second.m_failed_jobs.clear();
    at->second.m_consecutive = 0;
    m_cluster->At(part.m_worker).m_trial = false;
  }
}

void WorkerHealth::Quarantine(WorkerIndex worker, Instant now) {
  Record& record = m_records[worker];
  for (const JobId id : record.m_failed_jobs) {
    const JobIndex job = m_cluster->FindJob(id);
    if (job == kNone || !Contains(m_cluster->Job(job).m_failed_on, worker)) continue;
    m_cluster->Job(job).m_failures = std::max(0, m_cluster->Job(job).m_failures - 1);
    std::erase(m_cluster->Job(job).m_failed_on, worker);
  }
  record.m_failed_jobs.clear();
  record.m_quarantined_until =
      now + m_settings.m_quarantine_for * (1 << std::min(record.m_consecutive, kMaxQuarantineDoublings));
  ++record.m_consecutive;
  m_cluster->At(worker).m_quarantined = true;
  m_cluster->At(worker).m_trial = false;
  m_cluster->UpdateSums(worker);
}

void WorkerHealth::QuarantineByOperator(WorkerIndex worker) {
  m_records[worker].m_by_operator = true;
  m_cluster->At(worker).m_quarantined = true;
  m_cluster->At(worker).m_trial = false;
  m_cluster->UpdateSums(worker);
}

void WorkerHealth::Release(WorkerIndex worker, bool trial) {
  Record& record = m_records[worker];
  record.m_by_operator = false;
  record.m_failed_jobs.clear();
  if (!trial) record.m_consecutive = 0;
  m_cluster->At(worker).m_quarantined = false;
  m_cluster->At(worker).m_trial = trial;
  m_cluster->UpdateSums(worker);
}

std::vector<WorkerIndex> WorkerHealth::ExpiredQuarantines(Instant now) const {
  std::vector<WorkerIndex> expired;
  for (const auto& [worker, record] : m_records) {
    if (m_cluster->At(worker).m_quarantined && !record.m_by_operator && now >= record.m_quarantined_until)
      expired.push_back(worker);
  }
  std::sort(expired.begin(), expired.end());
  return expired;
}

bool WorkerHealth::FailsEverywhere(const JobEntry& job) const {
  if (job.m_all_failures >= m_settings.m_max_failures * kHardLimitFactor) return true;
  if (job.m_failures < m_settings.m_max_failures) return false;
  // While other jobs also failed lately on one of these workers, the worker may still prove to be at fault.
  return std::none_of(job.m_failed_on.begin(), job.m_failed_on.end(), [this, &job](WorkerIndex worker) {
    const auto at = m_records.find(worker);
    if (at == m_records.end()) return false;
    const auto other = [&job](JobId id) { return id != job.m_id; };
    return std::any_of(at->second.m_failed_jobs.begin(), at->second.m_failed_jobs.end(), other);
  });
}

int WorkerHealth::Quarantined() const {
  const std::vector<WorkerEntry>& workers = m_cluster->Workers();
  return static_cast<int>(
      std::count_if(workers.begin(), workers.end(), [](const WorkerEntry& worker) { return worker.m_quarantined; }));
}

bool WorkerHealth::ByOperator(WorkerIndex worker) const {
  const auto at = m_records.find(worker);
  return at != m_records.end() && at->second.m_by_operator;
}

Instant WorkerHealth::Until(WorkerIndex worker) const {
  const auto at = m_records.find(worker);
  return at == m_records.end() ? Instant{} : at->second.m_quarantined_until;
}

}  // namespace hickoryquay::policy
