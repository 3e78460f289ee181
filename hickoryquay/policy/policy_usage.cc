// Overuse: evaluates usage reports, and limits jobs that use more than they were given.
//
// Workers don't enforce a task's declared size, and reports lag behind. While the worker as a whole is not overloaded,
// overuse only feeds the estimator and reduces the worker's available room. On an overloaded worker, the job with the
// largest excess is throttled; if a later report still shows an excess, the job is checkpointed or stopped, and
// restarted with more resources. Pinned jobs are only throttled.
#include <algorithm>
#include <utility>

#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {
namespace {

constexpr Millis kThrottleGrace{15'000};  // Time after a throttle in which further reports of overuse are ignored.

Resources Excess(const Resources& used, const Resources& taken) {
  return {std::max(0, used.m_accelerators - taken.m_accelerators),
          std::max<std::int64_t>(0, used.m_millicores - taken.m_millicores),
          std::max<std::int64_t>(0, used.m_memory_mb - taken.m_memory_mb)};
}

double LargestShare(const Resources& part, const Resources& whole) {
  double share = 0.0;
  const auto add = [&share](double a, double b) {
    if (b > 0.0) share = std::max(share, a / b);
  };
  add(part.m_accelerators, whole.m_accelerators);
  add(static_cast<double>(part.m_millicores), static_cast<double>(whole.m_millicores));
  add(static_cast<double>(part.m_memory_mb), static_cast<double>(whole.m_memory_mb));
  return share;
}

Resources PerTask(const Resources& used, int tasks) {
  return {used.m_accelerators / tasks, used.m_millicores / tasks, used.m_memory_mb / tasks};
}

}  // namespace

std::vector<PolicyImpl::Load> PolicyImpl::MeasureLoads(WorkerIndex worker, const std::vector<TaskUsage>& tasks) {
  std::vector<Load> loads;
  for (const JobIndex index : m_cluster.At(worker).m_jobs) {
    JobEntry& job = m_cluster.Job(index);
    const auto part =
        std::find_if(job.m_parts.begin(), job.m_parts.end(), [worker](const Part& p) { return p.m_worker == worker; });
    const auto report =
        std::find_if(tasks.begin(), tasks.end(), [&job](const TaskUsage& t) { return t.m_job == job.m_id; });
    Load load{index, &*part, part->m_allocated, 0.0};
    if (report != tasks.end()) load.m_used = report->m_used;
    load.m_excess = LargestShare(Excess(load.m_used, part->m_allocated), m_cluster.At(worker).m_worker.m_capacity);
    loads.push_back(load);
    if (report == tasks.end() || part->m_tasks == 0) continue;
    const Resources per_task = PerTask(load.m_used, part->m_tasks);
    m_estimator.ObserveTask(job, per_task);
    job.m_observed_task.m_millicores = std::max(job.m_observed_task.m_millicores, per_task.m_millicores);
    job.m_observed_task.m_memory_mb = std::max(job.m_observed_task.m_memory_mb, per_task.m_memory_mb);
  }
  return loads;
}

void PolicyImpl::On(const UsageReported& event) {
  const WorkerIndex index = m_cluster.FindWorker(event.m_worker);
  if (index == kNone) return;
  const std::vector<Load> loads = MeasureLoads(index, event.m_tasks);
  Resources used;
  Resources excess;
  const Load* worst = nullptr;
  for (const Load& load : loads) {
    used += load.m_used;
    excess += Excess(load.m_used, load.m_part->m_allocated);
    if (load.m_excess > 0.0 && (worst == nullptr || load.m_excess > worst->m_excess)) worst = &load;
  }
  WorkerEntry& worker = m_cluster.At(index);
  const bool overloaded = !used.FitsIn(worker.m_worker.m_capacity);
  if (excess != worker.m_overuse) {
    const bool eased = !worker.m_overuse.FitsIn(excess);
    worker.m_overuse = excess;
    m_cluster.UpdateSums(index);
    if (eased) OnRoomFreed();
  }
  if (overloaded && worst != nullptr) HandleOveruse(index, *worst);
}

void PolicyImpl::HandleOveruse(WorkerIndex worker, const Load& load) {
  const JobEntry& job = m_cluster.Job(load.m_job);
  if (job.m_phase != Phase::kRunning) return;
  const Instant throttled = load.m_part->m_throttled;
  const bool throttled_before = throttled.m_ms != 0;
  if (throttled_before && m_now - throttled < kThrottleGrace) return;
  if (!throttled_before || job.m_pinned) {
    load.m_part->m_throttled = m_now;
    m_decisions.push_back(ThrottleTask{job.m_id, job.m_attempt, m_cluster.At(worker).m_worker.m_id});
    return;
  }
  StopFor(load.m_job, StopReason::kOveruse, AfterStop::kRequeue, "");
}

}  // namespace hickoryquay::policy
