// Reports of the policy: statistics, explanations of jobs, and the check of invariants.
#include <algorithm>
#include <utility>

#include "hickoryquay/policy/fragmentation.h"
#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {
namespace {

constexpr std::size_t kMaxNamed = 5;  // Jobs or guarantees listed in one explanation.

std::string Number(int count, const std::string& what) {
  return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

std::string ShapeText(const GangShape& shape) {
  std::string text = Number(shape.m_tasks, "task") + " of " + Number(shape.m_task.m_accelerators, "accelerator");
  if (shape.m_tasks > 1) text += std::string(" with adjacency ") + ToString(shape.m_adjacency);
  return text;
}

std::string Seconds(Millis duration) {
  return std::to_string(std::max<std::int64_t>(0, duration.count()) / 1000) + " s";
}

const char* ReasonText(StopReason reason) {
  static constexpr const char* kTexts[] = {"a guarantee or more urgent work needs its accelerators",
                                           "it was cancelled",
                                           "it uses more than it was given on an overloaded worker",
                                           "room is made for a large gang",
                                           "a part of it was lost or failed",
                                           "its market was dropped",
                                           "its worker is leaving"};
  return kTexts[static_cast<int>(reason)];
}

const char* PlanText(PlanKind kind) {
  static constexpr const char* kTexts[] = {
      "Its client account has called on its guarantee; it starts once borrowers have given back its accelerators",
      "Much less urgent work is being stopped for it", "Checkpointable work is being moved to make room for it",
      "Room is kept for it as other work ends"};
  return kTexts[static_cast<int>(kind)];
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// Statistics
//-------------------------------------------------------------------------------------------------

SchedulerStats PolicyImpl::CollectStats() const {
  SchedulerStats stats;
  std::vector<FreeWorker> free;
  for (const WorkerEntry& worker : m_cluster.Workers()) {
    if (worker.m_quarantined) ++stats.m_quarantined_workers;
    if (!worker.Usable()) continue;
    const int untaken = std::max(0, worker.Unallocated().m_accelerators);
    stats.m_accelerators += worker.m_worker.m_capacity.m_accelerators;
    stats.m_free += untaken;
    free.push_back({m_cluster.Racks()[worker.m_rack].m_position, worker.m_rack, untaken});
  }
  stats.m_waiting_jobs = static_cast<int>(m_waiting.Size());
  for (const auto& [id, job] : m_cluster.Jobs()) {
    if (m_cluster.Job(job).m_phase == Phase::kRunning) ++stats.m_running_jobs;
  }
  const Fragmentation fragmentation = MeasureFragmentation(std::move(free), LargestShape());
  stats.m_fragmentation = fragmentation.m_share;
  stats.m_largest_gang_share = fragmentation.m_largest_gang_share;
  stats.m_broken_guarantees = static_cast<int>(m_reported_broken.size());
  return stats;
}

GangShape PolicyImpl::LargestShape() const {
  GangShape largest{1, {}, Adjacency::kAny};
  const JobIndex waiting = m_waiting.LargestJob();
  if (waiting != kNone) largest = m_cluster.Job(waiting).m_shape;
  for (const Block& block : m_certificate.Blocks()) {
    if (block.m_spec.m_accelerators <= largest.Accelerators()) continue;
    largest = GangShape{block.m_spec.m_accelerators, {1, 0, 0}, block.m_spec.m_adjacency};
  }
  return largest;
}

//-------------------------------------------------------------------------------------------------
// Explanations
//-------------------------------------------------------------------------------------------------

Explanation PolicyImpl::Explain(JobId id, Instant now) const {
  const JobIndex index = m_cluster.FindJob(id);
  if (index == kNone)
    return {"unknown", "This failure domain's scheduler has no such job: it ended or never came.", {}, {}};
  const JobEntry& job = m_cluster.Job(index);
  switch (job.m_phase) {
    case Phase::kWaiting:
      return ExplainWaiting(index, now);
    case Phase::kStarting:
      return {"starting",
              "Its start on " + Number(static_cast<int>(job.m_parts.size()), "worker") + " is under way.",
              {},
              GuaranteesBorrowedBy(job)};
    case Phase::kRunning: {
      const std::vector<std::string> borrows = GuaranteesBorrowedBy(job);
      std::string why = "It runs on " + Number(static_cast<int>(job.m_parts.size()), "worker") + " since " +
                        Seconds(now - job.m_started) + " ago";
      if (!borrows.empty()) why += ", partly on idle accelerators of guarantees, which may call them back";
      return {"running", why + ".", {}, borrows};
    }
    case Phase::kStopping:
      return {"stopping", std::string("It is being stopped because ") + ReasonText(job.m_stop_reason) + ".", {}, {}};
  }
  return {};
}

Explanation PolicyImpl::ExplainWaiting(JobIndex index, Instant now) const {
  const JobEntry& job = m_cluster.Job(index);
  const AccountEntry& account = m_cluster.Account(job.m_account);
  const std::string name = account.m_market.m_value + "/" + account.m_id.m_value;
  if (!account.m_configured) return {"waiting", "Client account " + name + " is not in the configuration yet.", {}, {}};
  const int limit = account.m_max_accelerators;
  if (limit > 0 && account.m_held + job.Accelerators() > limit) {
    return {"waiting",
            "Client account " + name + " holds " + std::to_string(account.m_held) + " of the " + std::to_string(limit) +
                " accelerators that it may hold at one time, and this job takes " + std::to_string(job.Accelerators()) +
                ".",
            HoldersOf(job.m_account),
            {}};
  }
  if (now < job.m_not_before) {
    return {"waiting", "Its last start failed; it is tried again in " + Seconds(job.m_not_before - now) + ".", {}, {}};
  }
  if (const Plan* plan = m_plans.Find(index); plan != nullptr) {
    std::vector<JobId> awaited = AwaitedBy(*plan);
    std::string why = std::string(PlanText(plan->m_kind)) + ": " +
                      Number(static_cast<int>(plan->m_parts.size()), "worker") + ", since " +
                      Seconds(now - plan->m_since) + " ago.";
    return {"waiting", std::move(why), std::move(awaited), {}};
  }
  return ExplainNoRoom(index, now);
}

Explanation PolicyImpl::ExplainNoRoom(JobIndex index, Instant now) const {
  const JobEntry& job = m_cluster.Job(index);
  const std::string shape = ShapeText(job.m_shape);
  std::vector<JobId> ahead = m_waiting.JobsAhead(index, now, static_cast<int>(kMaxNamed));
  if (job.Accelerators() > m_cluster.Capacity()) {
    return {"waiting",
            "It needs " + shape + "; workers that may take work have " + std::to_string(m_cluster.Capacity()) +
                " accelerators in all, the others are lost, leaving or quarantined.",
            {},
            {}};
  }
  AvailableRoom::Request request;
  request.m_account = job.m_account;
  request.m_task = job.m_shape.m_task;
  request.m_trial = !job.m_pinned && job.m_shape.m_tasks == 1;
  const bool open = !FindPlacement(m_cluster, AvailableRoom(m_cluster, m_certificate, request), job.m_shape).empty();
  if (open && job.m_pinned) {
    return {"waiting",
            "There is room for " + shape +
                ", but work that can't be stopped would take the last place of a guarantee there.",
            {},
            {}};
  }
  if (open)
    return {"waiting", "There is room for " + shape + "; it is tried next, after jobs that come before it.", ahead, {}};
  std::string why = "It needs " + shape + "; ";
  if (m_cluster.Available() < job.Accelerators()) {
    why += std::to_string(m_cluster.Available()) + " accelerators are free and not promised to others.";
  } else {
    why += std::to_string(m_cluster.Available()) + " accelerators are free, but not together like that.";
  }
  return {"waiting", std::move(why), std::move(ahead), {}};
}

std::vector<JobId> PolicyImpl::HoldersOf(AccountIndex account) const {
  std::vector<JobId> holders;
  for (const auto& [id, index] : m_cluster.Jobs()) {
    if (m_cluster.Job(index).m_account == account && m_cluster.Job(index).Holds()) holders.push_back(id);
  }
  std::sort(holders.begin(), holders.end());
  if (holders.size() > kMaxNamed) holders.resize(kMaxNamed);
  return holders;
}

// Jobs that hold the resources a plan waits for.
std::vector<JobId> PolicyImpl::AwaitedBy(const Plan& plan) const {
  std::vector<JobId> awaited;
  for (const JobId id : plan.m_stopped_jobs) {
    const JobIndex job = m_cluster.FindJob(id);
    if (job != kNone && m_cluster.Job(job).m_phase == Phase::kStopping) awaited.push_back(id);
  }
  for (const Part& part : plan.m_parts) {
    if (!awaited.empty() || part.m_allocated.FitsIn(m_cluster.At(part.m_worker).Unallocated())) continue;
    for (const JobIndex job : m_cluster.At(part.m_worker).m_jobs) awaited.push_back(m_cluster.Job(job).m_id);
  }
  std::sort(awaited.begin(), awaited.end());
  if (awaited.size() > kMaxNamed) awaited.resize(kMaxNamed);
  return awaited;
}

// Idle guarantees of other accounts on whose accelerators this job runs.
std::vector<std::string> PolicyImpl::GuaranteesBorrowedBy(const JobEntry& job) const {
  std::vector<std::string> borrows;
  for (const Part& part : job.m_parts) {
    const WorkerEntry& worker = m_cluster.At(part.m_worker);
    if (worker.AcceleratorsUsedBy(job.m_account) <= m_certificate.Certified(part.m_worker, job.m_account)) continue;
    for (const Block& block : m_certificate.Blocks()) {
      const AccountIndex lender = block.m_spec.m_account;
      const auto here = [&part](const Share& share) { return share.m_worker == part.m_worker; };
      if (lender == job.m_account || std::none_of(block.m_shares.begin(), block.m_shares.end(), here)) continue;
      if (worker.AcceleratorsUsedBy(lender) >= m_certificate.Certified(part.m_worker, lender)) continue;
      const std::string name = m_cluster.Account(lender).m_id.m_value + "/" + block.m_spec.m_shape;
      if (std::find(borrows.begin(), borrows.end(), name) == borrows.end()) borrows.push_back(name);
    }
  }
  if (borrows.size() > kMaxNamed) borrows.resize(kMaxNamed);
  return borrows;
}

//-------------------------------------------------------------------------------------------------
// Invariants
//-------------------------------------------------------------------------------------------------

std::string PolicyImpl::CheckInvariants() const {
  std::vector<Resources> taken(m_cluster.Workers().size());
  std::vector<std::map<AccountIndex, int>> pinned(m_cluster.Workers().size());
  for (const auto& [id, index] : m_cluster.Jobs()) {
    const JobEntry& job = m_cluster.Job(index);
    int tasks = 0;
    for (const Part& part : job.m_parts) {
      taken[part.m_worker] += part.m_allocated;
      if (job.m_pinned) pinned[part.m_worker][job.m_account] += part.m_allocated.m_accelerators;
      tasks += part.m_tasks;
    }
    const bool whole = job.m_phase == Phase::kStarting || job.m_phase == Phase::kRunning;
    if (whole && tasks != job.m_shape.m_tasks) return ToString(id) + " holds a part of its gang only";
    if (!job.Holds() && tasks > 0) return ToString(id) + " waits and holds accelerators";
    if (!job.Holds() && job.m_queue == kNone) return ToString(id) + " waits in no queue";
  }
  for (std::size_t i = 0; i < taken.size(); ++i) {
    const WorkerEntry& worker = m_cluster.Workers()[i];
    const std::string& name = worker.m_worker.m_id.m_value;
    if (taken[i] != worker.m_allocated) return "what is taken on " + name + " doesn't add up";
    if (worker.m_ever_joined && worker.m_present &&
        worker.m_worker.m_capacity.m_accelerators < taken[i].m_accelerators) {
      return "more accelerators are taken on " + name + " than it has";
    }
    for (const Certificate::Claim& claim : m_certificate.Claims(static_cast<WorkerIndex>(i))) {
      const auto at = pinned[i].find(claim.m_account);
      if (claim.m_pinned != (at == pinned[i].end() ? 0 : at->second)) return "pins on " + name + " don't add up";
    }
  }
  for (const Block& block : m_certificate.Blocks()) {
    const bool reported = m_reported_broken.contains({block.m_spec.m_account, block.m_spec.m_shape});
    if (block.m_missing > 0 && !reported && !m_repair_due) return "a broken block was not reported";
  }
  return m_repair_due ? "" : m_certificate.Check();
}

}  // namespace hickoryquay::policy
