#include "hickoryquay/policy/cluster.h"

#include <algorithm>

namespace hickoryquay::policy {
namespace {

std::string FullName(const MarketId& market, const std::string& name) {
  return market.m_value + '/' + name;
}

}  // namespace

int TasksThatFit(const Resources& room, const Resources& task, int limit) {
  std::int64_t fit = limit;
  if (task.m_accelerators > 0) fit = std::min<std::int64_t>(fit, room.m_accelerators / task.m_accelerators);
  if (task.m_millicores > 0) fit = std::min(fit, room.m_millicores / task.m_millicores);
  if (task.m_memory_mb > 0) fit = std::min(fit, room.m_memory_mb / task.m_memory_mb);
  return static_cast<int>(std::max<std::int64_t>(fit, 0));
}

int WorkerEntry::AcceleratorsUsedBy(AccountIndex account) const {
  for (const AccountUse& use : m_uses) {
    if (use.m_account == account) return use.Used();
  }
  return 0;
}

Resources WorkerEntry::Unallocated() const {
  return m_worker.m_capacity - m_allocated;
}

Resources WorkerEntry::Available() const {
  return Unallocated() - m_overuse - m_reserved;
}

//-------------------------------------------------------------------------------------------------
// Workers
//-------------------------------------------------------------------------------------------------

WorkerIndex Cluster::InternWorker(const WorkerId& id) {
  const auto [at, added] = m_worker_by_id.try_emplace(id, static_cast<WorkerIndex>(m_workers.size()));
  if (added) {
    m_workers.emplace_back();
    m_workers.back().m_worker.m_id = id;
  }
  return at->second;
}

WorkerIndex Cluster::FindWorker(const WorkerId& id) const {
  const auto at = m_worker_by_id.find(id);
  return at == m_worker_by_id.end() ? kNone : at->second;
}

void Cluster::Join(const Worker& worker) {
  const WorkerIndex index = InternWorker(worker.m_id);
  const RackIndex rack = InternRack(worker.m_rack, worker.m_rack_position);
  WorkerEntry& entry = m_workers[index];
  if (entry.m_rack != rack) {
    if (entry.m_rack != kNone) {
      RackEntry& old = m_racks[entry.m_rack];
      std::erase(old.m_workers, index);
      old.m_available -= entry.m_available;
      old.m_capacity -= entry.m_counted_capacity;
      m_racks[rack].m_available += entry.m_available;
      m_racks[rack].m_capacity += entry.m_counted_capacity;
    }
    entry.m_rack = rack;
    m_racks[rack].m_workers.push_back(index);
  }
  m_ever_joined_capacity += worker.m_capacity.m_accelerators - entry.m_worker.m_capacity.m_accelerators;
  entry.m_worker = worker;
  m_largest.m_accelerators = std::max(m_largest.m_accelerators, worker.m_capacity.m_accelerators);
  m_largest.m_millicores = std::max(m_largest.m_millicores, worker.m_capacity.m_millicores);
  m_largest.m_memory_mb = std::max(m_largest.m_memory_mb, worker.m_capacity.m_memory_mb);
  entry.m_present = true;
  entry.m_ever_joined = true;
  entry.m_leaving = false;
  UpdateSums(index);
}

void Cluster::UpdateSums(WorkerIndex index) {
  WorkerEntry& worker = m_workers[index];
  int open = 0;
  if (worker.Usable()) open = std::max(0, worker.Available().m_accelerators);
  if (worker.m_rack != kNone) {
    RackEntry& rack = m_racks[worker.m_rack];
    const int capacity = worker.Usable() ? worker.m_worker.m_capacity.m_accelerators : 0;
    rack.m_available += open - worker.m_available;
    rack.m_capacity += capacity - worker.m_counted_capacity;
    m_capacity += capacity - worker.m_counted_capacity;
    worker.m_counted_capacity = capacity;
  }
  m_available += open - worker.m_available;
  worker.m_available = open;
}

RackIndex Cluster::InternRack(const RackId& id, int position) {
  const auto [at, added] = m_rack_by_id.try_emplace(id, static_cast<RackIndex>(m_racks.size()));
  if (added) {
    m_racks.emplace_back();
    m_racks.back().m_id = id;
    m_rack_order.push_back(at->second);
  }
  if (added || m_racks[at->second].m_position != position) {
    m_racks[at->second].m_position = position;
    SortRacks();
  }
  return at->second;
}

void Cluster::SortRacks() {
  const auto before = [this](RackIndex a, RackIndex b) {
    if (m_racks[a].m_position != m_racks[b].m_position) return m_racks[a].m_position < m_racks[b].m_position;
    return m_racks[a].m_id < m_racks[b].m_id;
  };
  std::sort(m_rack_order.begin(), m_rack_order.end(), before);
}

bool Cluster::AreNeighbours(RackIndex left, RackIndex right) const {
  return m_racks[left].m_position + 1 == m_racks[right].m_position;
}

//-------------------------------------------------------------------------------------------------
// Accounts and classes
//-------------------------------------------------------------------------------------------------

AccountIndex Cluster::InternAccount(const MarketId& market, const AccountId& account) {
  const auto [at, added] =
      m_account_by_name.try_emplace(FullName(market, account.m_value), static_cast<AccountIndex>(m_accounts.size()));
  if (added) {
    m_accounts.emplace_back();
    m_accounts.back().m_market = market;
    m_accounts.back().m_id = account;
  }
  return at->second;
}

AccountIndex Cluster::FindAccount(const MarketId& market, const AccountId& account) const {
  const auto at = m_account_by_name.find(FullName(market, account.m_value));
  return at == m_account_by_name.end() ? kNone : at->second;
}

ClassIndex Cluster::InternClass(const MarketId& market, const ClassId& id) {
  const auto [at, added] =
      m_class_by_name.try_emplace(FullName(market, id.m_value), static_cast<ClassIndex>(m_classes.size()));
  if (added) {
    m_classes.emplace_back();
    m_classes.back().m_market = market;
    m_classes.back().m_work.m_id = id;
  }
  return at->second;
}

ClassIndex Cluster::FindClass(const MarketId& market, const ClassId& id) const {
  const auto at = m_class_by_name.find(FullName(market, id.m_value));
  return at == m_class_by_name.end() ? kNone : at->second;
}

//-------------------------------------------------------------------------------------------------
// Jobs
//-------------------------------------------------------------------------------------------------

JobIndex Cluster::AddJob(JobId id) {
  JobIndex index = kNone;
  if (m_free_jobs.empty()) {
    index = static_cast<JobIndex>(m_jobs.size());
    m_jobs.emplace_back();
  } else {
    index = m_free_jobs.back();
    m_free_jobs.pop_back();
  }
  m_jobs[index].m_id = id;
  m_job_by_id[id] = index;
  return index;
}

JobIndex Cluster::FindJob(JobId id) const {
  const auto at = m_job_by_id.find(id);
  return at == m_job_by_id.end() ? kNone : at->second;
}

void Cluster::RemoveJob(JobIndex job) {
  m_job_by_id.erase(m_jobs[job].m_id);
  m_jobs[job] = JobEntry{};
  m_free_jobs.push_back(job);
}

//-------------------------------------------------------------------------------------------------
// Accelerators
//-------------------------------------------------------------------------------------------------

AccountUse& Cluster::UseOf(WorkerEntry& worker, AccountIndex account) {
  for (AccountUse& use : worker.m_uses) {
    if (use.m_account == account) return use;
  }
  worker.m_uses.push_back({account, 0, 0, 0});
  return worker.m_uses.back();
}

void Cluster::EraseIfEmpty(WorkerEntry& worker, AccountIndex account) {
  std::erase_if(worker.m_uses, [account](const AccountUse& use) {
    return use.m_account == account && use.m_held == 0 && use.m_stopping == 0 && use.m_reserved_for_calls == 0;
  });
}

void Cluster::Allocate(JobIndex index, std::vector<Part> parts) {
  JobEntry& job = m_jobs[index];
  job.m_parts = std::move(parts);
  for (const Part& part : job.m_parts) {
    WorkerEntry& worker = m_workers[part.m_worker];
    worker.m_allocated += part.m_allocated;
    worker.m_jobs.push_back(index);
    UseOf(worker, job.m_account).m_held += part.m_allocated.m_accelerators;
    m_accounts[job.m_account].m_held += part.m_allocated.m_accelerators;
    UpdateSums(part.m_worker);
  }
}

void Cluster::RemovePart(JobIndex index, const Part& part) {
  const JobEntry& job = m_jobs[index];
  WorkerEntry& worker = m_workers[part.m_worker];
  AccountUse& use = UseOf(worker, job.m_account);
  worker.m_allocated -= part.m_allocated;
  use.m_held -= part.m_allocated.m_accelerators;
  if (job.m_phase == Phase::kStopping) {
    worker.m_stopping -= part.m_allocated;
    use.m_stopping -= part.m_allocated.m_accelerators;
  }
  EraseIfEmpty(worker, job.m_account);
  const auto at = std::find(worker.m_jobs.begin(), worker.m_jobs.end(), index);
  *at = worker.m_jobs.back();
  worker.m_jobs.pop_back();
  if (worker.m_jobs.empty()) worker.m_overuse = Resources{};
  m_accounts[job.m_account].m_held -= part.m_allocated.m_accelerators;
  UpdateSums(part.m_worker);
}

void Cluster::Release(JobIndex index) {
  for (const Part& part : m_jobs[index].m_parts) RemovePart(index, part);
  m_jobs[index].m_parts.clear();
}

void Cluster::ReleasePart(JobIndex index, WorkerIndex worker) {
  std::vector<Part>& parts = m_jobs[index].m_parts;
  const auto at = std::find_if(parts.begin(), parts.end(), [worker](const Part& p) { return p.m_worker == worker; });
  if (at == parts.end()) return;
  RemovePart(index, *at);
  parts.erase(at);
}

void Cluster::MarkStopping(JobIndex index) {
  JobEntry& job = m_jobs[index];
  job.m_phase = Phase::kStopping;
  for (const Part& part : job.m_parts) {
    WorkerEntry& worker = m_workers[part.m_worker];
    worker.m_stopping += part.m_allocated;
    UseOf(worker, job.m_account).m_stopping += part.m_allocated.m_accelerators;
  }
}

void Cluster::Reserve(WorkerIndex index, const Resources& room, AccountIndex calling_account) {
  WorkerEntry& worker = m_workers[index];
  worker.m_reserved += room;
  if (calling_account != kNone) {
    worker.m_reserved_for_calls += room;
    UseOf(worker, calling_account).m_reserved_for_calls += room.m_accelerators;
  }
  UpdateSums(index);
}

void Cluster::Unreserve(WorkerIndex index, const Resources& room, AccountIndex calling_account) {
  WorkerEntry& worker = m_workers[index];
  worker.m_reserved -= room;
  if (calling_account != kNone) {
    worker.m_reserved_for_calls -= room;
    UseOf(worker, calling_account).m_reserved_for_calls -= room.m_accelerators;
    EraseIfEmpty(worker, calling_account);
  }
  UpdateSums(index);
}

}  // namespace hickoryquay::policy
