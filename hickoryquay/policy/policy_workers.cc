// Workers: joined, lost, leaving, quarantined; and the guarantees that depend on them.
#include <algorithm>
#include <utility>

#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {

void PolicyImpl::On(const WorkerJoined& event) {
  const Worker& worker = event.m_worker;
  if (worker.m_domain != m_settings.m_domain) return;
  const WorkerIndex known = m_cluster.FindWorker(worker.m_id);
  const std::size_t racks = m_cluster.Racks().size();
  const bool moved = known != kNone && m_cluster.At(known).m_worker.m_rack_position != worker.m_rack_position;
  m_cluster.Join(worker);
  if (m_cluster.Racks().size() != racks || moved) {
    std::vector<bool> joins;
    const std::vector<RackIndex>& order = m_cluster.RacksByPosition();
    for (std::size_t i = 0; i < order.size(); ++i) {
      joins.push_back(i > 0 && m_cluster.AreNeighbours(order[i - 1], order[i]));
    }
    m_certificate.SetRackOrder(order, std::move(joins));
  }
  UpdateWorkerCapacity(m_cluster.FindWorker(worker.m_id));
}

void PolicyImpl::On(const WorkerLost& event) {
  const WorkerIndex index = m_cluster.FindWorker(event.m_worker);
  if (index == kNone) return;
  m_cluster.At(index).m_present = false;
  m_cluster.At(index).m_leaving = false;
  const std::vector<JobIndex> jobs = m_cluster.At(index).m_jobs;
  for (const JobIndex job : jobs) {
    JobEntry& entry = m_cluster.Job(job);
    ReleasePartOn(job, index);
    const std::string why = "Worker " + event.m_worker.m_value + " was lost while it may have run there.";
    const bool stopping = entry.m_phase == Phase::kStopping;
    if (!stopping) {
      entry.m_after_stop = entry.m_once ? AfterStop::kUncertain : AfterStop::kRequeue;
      entry.m_why = entry.m_once ? why : "";
    }
    if (!entry.m_parts.empty()) {
      if (!stopping) Stop(job, StopReason::kPartLost, false);
      continue;
    }
    entry.m_may_have_run = true;
    HandleStopped(job);
  }
  UpdateWorkerCapacity(index);
}

void PolicyImpl::On(const WorkerLeaving& event) {
  const WorkerIndex index = m_cluster.FindWorker(event.m_worker);
  if (index == kNone || !m_cluster.At(index).m_present || m_cluster.At(index).m_leaving) return;
  m_cluster.At(index).m_leaving = true;
  const std::vector<JobIndex> jobs = m_cluster.At(index).m_jobs;
  for (const JobIndex job : jobs) {  // Checkpointable work moves to other workers; other work may finish here.
    const JobEntry& entry = m_cluster.Job(job);
    const bool checkpointable = m_cluster.Class(entry.m_class).m_work.m_checkpointable;
    if (entry.m_phase != Phase::kRunning || entry.m_pinned || !checkpointable) continue;
    StopFor(job, StopReason::kWorkerLeaving, AfterStop::kRequeue, "");
  }
  UpdateWorkerCapacity(index);
}

void PolicyImpl::On(const WorkerQuarantineSet& event) {
  const WorkerIndex index = m_cluster.FindWorker(event.m_worker);
  if (index == kNone) return;
  const bool before = m_cluster.At(index).m_quarantined;
  if (event.m_quarantined) {
    m_health.QuarantineByOperator(index);
    if (!before) m_decisions.push_back(QuarantineWorker{event.m_worker, "Set by an operator."});
  } else {
    m_health.Release(index, false);
    if (before) m_decisions.push_back(ReleaseWorker{event.m_worker});
  }
  UpdateWorkerCapacity(index);
}

void PolicyImpl::QuarantineFailing(WorkerIndex worker, const std::string& why) {
  m_health.Quarantine(worker, m_now);
  m_decisions.push_back(QuarantineWorker{m_cluster.At(worker).m_worker.m_id, why});
  UpdateWorkerCapacity(worker);
}

void PolicyImpl::UpdateWorkerCapacity(WorkerIndex index) {
  m_cluster.UpdateSums(index);
  const WorkerEntry& worker = m_cluster.At(index);
  if (worker.m_rack == kNone) return;
  if (!worker.Usable()) m_plans.DropOn(index);
  const int capacity = worker.Usable() ? worker.m_worker.m_capacity.m_accelerators : 0;
  m_certificate.SetWorker(index, {worker.m_rack, capacity, worker.m_worker.m_capacity});
  m_repair_due = true;
  OnRoomFreed();
}

//-------------------------------------------------------------------------------------------------
// Guarantees
//-------------------------------------------------------------------------------------------------

void PolicyImpl::UpdateGuarantees() {
  constexpr int kSearchNodes = 2000;
  if (!m_repair_due) return;
  m_repair_due = false;
  m_idle_domain.reset();
  m_certificate.Repair(kSearchNodes);
  ReportGuarantees();
}

void PolicyImpl::ReportGuarantees() {
  if (m_certificate.Missing() == 0 && m_reported_broken.empty()) return;
  std::map<std::pair<AccountIndex, std::string>, const Block*> broken;
  for (const Block& block : m_certificate.Blocks()) {
    if (block.m_missing > 0) broken.try_emplace({block.m_spec.m_account, block.m_spec.m_shape}, &block);
  }
  for (auto at = m_reported_broken.begin(); at != m_reported_broken.end();) {
    if (broken.contains(*at)) {
      ++at;
      continue;
    }
    const AccountEntry& account = m_cluster.Account(at->first);
    m_decisions.push_back(GuaranteeRestored{account.m_market, account.m_id, at->second});
    at = m_reported_broken.erase(at);
    m_recheck_waiting = true;
  }
  for (const auto& [key, block] : broken) {
    if (!m_reported_broken.insert(key).second) continue;
    const AccountEntry& account = m_cluster.Account(key.first);
    m_decisions.push_back(GuaranteeBroken{account.m_market, account.m_id, key.second, RemedyFor(*block)});
  }
}

std::string PolicyImpl::RemedyFor(const Block& block) const {
  constexpr int kMaxNamed = 3;
  static constexpr const char* kWithin[] = {"on one worker", "in one rack", "in neighbouring racks", "in the domain"};
  std::string absent;
  int count = 0;
  for (const WorkerEntry& worker : m_cluster.Workers()) {
    if (!worker.m_ever_joined || worker.Usable()) continue;
    if (++count > kMaxNamed) continue;
    const char* state = !worker.m_present ? " (lost)" : worker.m_quarantined ? " (quarantined)" : " (leaving)";
    absent += (absent.empty() ? "" : ", ") + worker.m_worker.m_id.m_value + state;
  }
  if (count > kMaxNamed) absent += " and " + std::to_string(count - kMaxNamed) + " more";
  std::string text = "A block of " + std::to_string(block.m_spec.m_accelerators) + " accelerators " +
                     kWithin[static_cast<int>(block.m_spec.m_adjacency)] + " lacks " + std::to_string(block.m_missing) +
                     ". It is mended by ";
  if (!absent.empty()) text += "the return of " + absent + ", ";
  return text + "the end of work there that can't be stopped, more workers, or fewer or smaller guaranteed blocks.";
}

}  // namespace hickoryquay::policy
