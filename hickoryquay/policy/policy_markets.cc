// Markets: applies changes of configuration, and checks whether a job or a market can be accepted.
#include <algorithm>
#include <utility>

#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {
namespace {

int BlocksHere(const GuaranteedShape& shape, const DomainId& domain) {
  const auto at = shape.m_blocks_by_domain.find(domain);
  return at == shape.m_blocks_by_domain.end() ? 0 : at->second;
}

// Room on empty workers: all that ever joined, whether they may take work now or not.
class EmptyWorkerRoom final : public RoomRule {
 public:
  EmptyWorkerRoom(const Cluster& cluster, const Resources& task) : m_cluster(cluster), m_task(task) {}

  int Tasks(WorkerIndex worker, int limit) const override {
    const WorkerEntry& entry = m_cluster.At(worker);
    return entry.m_ever_joined ? TasksThatFit(entry.m_worker.m_capacity, m_task, limit) : 0;
  }
  double Cost(WorkerIndex, int) const override { return 0.0; }
  double RackCost(RackIndex) const override { return 0.0; }
  bool RackMayFit(RackIndex) const override { return true; }

 private:
  const Cluster& m_cluster;
  const Resources& m_task;
};

}  // namespace

//-------------------------------------------------------------------------------------------------
// Changes
//-------------------------------------------------------------------------------------------------

PolicyImpl::AccountIndices PolicyImpl::IndicesOf(const Market& market) const {
  AccountIndices indices;
  auto next = static_cast<AccountIndex>(m_cluster.Accounts().size());
  for (const auto& [id, account] : market.m_accounts) {
    const AccountIndex known = m_cluster.FindAccount(market.m_id, id);
    indices[id] = known != kNone ? known : next++;
  }
  return indices;
}

std::vector<BlockSpec> PolicyImpl::BlocksOf(const Market& market, const AccountIndices& indices) const {
  std::vector<BlockSpec> blocks;
  for (const auto& [id, account] : market.m_accounts) {
    for (const GuaranteedShape& shape : account.m_guarantees) {
      const BlockSpec spec{indices.at(id), shape.m_name, shape.m_accelerators_per_block, shape.m_adjacency};
      if (spec.m_accelerators > 0) blocks.insert(blocks.end(), BlocksHere(shape, m_settings.m_domain), spec);
    }
  }
  return blocks;
}

std::vector<AccountIndex> PolicyImpl::AccountsOf(const MarketId& market) const {
  std::vector<AccountIndex> accounts;
  for (std::size_t i = 0; i < m_cluster.Accounts().size(); ++i) {
    if (m_cluster.Accounts()[i].m_market == market) accounts.push_back(static_cast<AccountIndex>(i));
  }
  return accounts;
}

void PolicyImpl::On(const MarketChanged& event) {
  const std::shared_ptr<const Market>& market = event.m_market;
  m_markets[market->m_id] = market;
  const bool opens = AccountsOf(market->m_id).empty();
  for (const auto& [id, account] : market->m_accounts) {
    AccountEntry& entry = m_cluster.Account(m_cluster.InternAccount(market->m_id, id));
    entry.m_configured = true;
    entry.m_max_accelerators = account.m_max_accelerators;
    entry.m_max_waiting = account.m_max_waiting_jobs;
    entry.m_weight = market->m_completion_weight;
    entry.m_guaranteed = 0;
  }
  UpdateClasses(*market);
  const std::vector<BlockSpec> blocks = BlocksOf(*market, IndicesOf(*market));
  if (opens && blocks.empty()) return;  // No job and no block here: nothing to recheck.
  for (const BlockSpec& block : blocks) m_cluster.Account(block.m_account).m_guaranteed += block.m_accelerators;
  m_certificate.ReplaceBlocks(AccountsOf(market->m_id), blocks);
  CloseAccounts(market.get(), market->m_id);
  m_recheck_waiting = true;
  m_repair_due = true;
  OnRoomFreed();
}

void PolicyImpl::On(const MarketDropped& event) {
  m_markets.erase(event.m_market);
  m_certificate.ReplaceBlocks(AccountsOf(event.m_market), {});
  CloseAccounts(nullptr, event.m_market);
  m_repair_due = true;
  OnRoomFreed();
}

// Closes accounts and classes that the market no longer has. Waiting jobs of closed accounts are refused; where the
// whole market was dropped, running ones are stopped.
void PolicyImpl::CloseAccounts(const Market* market, const MarketId& id) {
  for (const AccountIndex index : AccountsOf(id)) {
    AccountEntry& account = m_cluster.Account(index);
    if (market != nullptr && market->FindAccount(account.m_id) != nullptr) continue;
    account.m_configured = false;
    account.m_guaranteed = 0;
  }
  for (std::size_t i = 0; i < m_cluster.Classes().size(); ++i) {
    ClassEntry& work = m_cluster.Class(static_cast<ClassIndex>(i));
    if (work.m_market == id && (market == nullptr || market->FindClass(work.m_work.m_id) == nullptr))
      work.m_configured = false;
  }
  std::vector<JobIndex> jobs;
  for (const auto& [job_id, job] : m_cluster.Jobs()) {
    const AccountEntry& account = m_cluster.Account(m_cluster.Job(job).m_account);
    if (account.m_market == id && !account.m_configured) jobs.push_back(job);
  }
  std::sort(jobs.begin(), jobs.end());
  const std::string why = market == nullptr ? "Its market was dropped." : "Its client account was closed.";
  for (const JobIndex index : jobs) {
    JobEntry& job = m_cluster.Job(index);
    if (!job.Holds()) {
      Refuse(index, why);
      continue;
    }
    const bool requeues = job.m_phase == Phase::kStopping && job.m_after_stop == AfterStop::kRequeue;
    if (requeues) {
      job.m_after_stop = AfterStop::kRefuse;
      job.m_why = why;
      if (market == nullptr) job.m_stop_reason = StopReason::kMarketDropped;
    }
    if (market != nullptr || job.m_phase == Phase::kStopping) continue;
    job.m_after_stop = AfterStop::kRefuse;
    job.m_why = why;
    Stop(index, StopReason::kMarketDropped, false);
  }
}

// Updates the classes and the pins that follow from them: a change may let running jobs be stopped, or forbid it.
void PolicyImpl::UpdateClasses(const Market& market) {
  std::vector<JobIndex> jobs;
  for (const auto& [id, job] : m_cluster.Jobs()) {
    if (m_cluster.Account(m_cluster.Job(job).m_account).m_market == market.m_id) jobs.push_back(job);
  }
  for (const JobIndex index : jobs) {
    const JobEntry& job = m_cluster.Job(index);
    for (const Part& part : job.m_parts) UpdateCertificate(job, part, -1);
  }
  for (const auto& [id, work] : market.m_classes) {
    ClassEntry& entry = m_cluster.Class(m_cluster.InternClass(market.m_id, id));
    entry.m_configured = true;
    entry.m_work = work;
    entry.m_work.m_id = id;
  }
  for (const JobIndex index : jobs) {
    JobEntry& job = m_cluster.Job(index);
    job.m_once = job.m_once || !m_cluster.Class(job.m_class).m_work.m_repeatable;
    job.m_pinned = IsPinned(job);
    for (const Part& part : job.m_parts) UpdateCertificate(job, part, 1);
  }
}

//-------------------------------------------------------------------------------------------------
// Admission
//-------------------------------------------------------------------------------------------------

Result<Done, Refusal> PolicyImpl::Admit(const JobSpec& spec, Instant now) const {
  const auto market = m_markets.find(spec.m_market);
  if (market == m_markets.end()) return Refusal{UnknownMarket{}};
  const std::vector<DomainId>& domains = market->second->m_domains;
  const bool here = domains.empty() || std::find(domains.begin(), domains.end(), m_settings.m_domain) != domains.end();
  if (!here)
    return Refusal{NeverFits{"The market does not run in failure domain " + m_settings.m_domain.m_value + "."}};
  const ClientAccount* account = market->second->FindAccount(spec.m_account);
  if (account == nullptr) return Refusal{UnknownAccount{}};
  if (market->second->FindClass(spec.m_class) == nullptr) return Refusal{UnknownClass{}};
  if (spec.m_deadline.m_ms != 0 && spec.m_deadline <= now) return Refusal{DeadlinePassed{}};
  const Resources& task = spec.m_shape.m_task;
  if (spec.m_shape.m_tasks < 1 || task.m_accelerators < 0 || task.m_millicores < 0 || task.m_memory_mb < 0) {
    return Refusal{NeverFits{"A gang has at least one task, and no task takes less than nothing."}};
  }
  const std::int64_t accelerators = std::int64_t{spec.m_shape.m_tasks} * task.m_accelerators;
  if (m_cluster.EverJoinedCapacity() > 0 && accelerators > m_cluster.EverJoinedCapacity()) {
    return Refusal{NeverFits{"It needs " + std::to_string(accelerators) + " accelerators; the domain has " +
                             std::to_string(m_cluster.EverJoinedCapacity()) + "."}};
  }
  const int limit = account->m_max_accelerators;
  if (limit > 0 && accelerators > limit) return Refusal{OverAccountLimit{static_cast<int>(accelerators), limit}};
  const AccountIndex index = m_cluster.FindAccount(spec.m_market, spec.m_account);
  const int max_waiting = account->m_max_waiting_jobs;
  if (max_waiting > 0 && index != kNone && m_cluster.Account(index).m_waiting >= max_waiting) {
    return Refusal{TooManyWaiting{max_waiting}};
  }
  const bool known = m_cluster.EverJoinedCapacity() > 0;  // At least one worker has joined.
  if (known && FindPlacement(m_cluster, EmptyWorkerRoom(m_cluster, task), spec.m_shape).empty()) {
    return Refusal{NeverFits{"No worker, rack or run of neighbouring racks of the domain holds " +
                             std::to_string(spec.m_shape.m_tasks) + " tasks of " + std::to_string(task.m_accelerators) +
                             " accelerators with adjacency " + ToString(spec.m_shape.m_adjacency) + ", even empty."}};
  }
  const ClassOfWork& work = *market->second->FindClass(spec.m_class);
  const bool pinned = RunsOnce(spec, work) || !(work.m_preemptible || work.m_checkpointable);
  if (known && pinned && !GetIdleDomain().HasRoomFor(index, spec.m_shape)) {
    return Refusal{NeverFits{"Work that can't be stopped finds no room of that shape beside the guarantees."}};
  }
  return Done{};
}

// Refuses accepted jobs that can never run under the present guarantees and limits.
void PolicyImpl::RefuseInfeasible() {
  if (!std::exchange(m_recheck_waiting, false) || m_cluster.EverJoinedCapacity() == 0) return;
  std::vector<JobIndex> jobs;
  for (const auto& [id, job] : m_cluster.Jobs()) {
    if (!m_cluster.Job(job).Holds()) jobs.push_back(job);
  }
  std::sort(jobs.begin(), jobs.end());
  for (const JobIndex index : jobs) {
    const JobEntry& job = m_cluster.Job(index);
    const int limit = m_cluster.Account(job.m_account).m_max_accelerators;
    if (limit > 0 && job.Accelerators() > limit) {
      Refuse(index, ToString(Refusal{OverAccountLimit{job.Accelerators(), limit}}));
    } else if (job.m_pinned && !GetIdleDomain().HasRoomFor(job.m_account, job.m_shape)) {
      Refuse(index, "Work that can't be stopped finds no room of that shape beside the guarantees as they are now.");
    }
  }
}

// Includes the blocks of broken guarantees: they are restored when their workers return, and a job that was accepted in
// the meantime would then wait forever. Where even all workers that ever joined can't hold all guarantees, no block is
// included and so no job is refused because of guarantees: which of them will be restored is unknown.
IdleDomain& PolicyImpl::GetIdleDomain() const {
  if (m_idle_domain) return *m_idle_domain;
  m_idle_domain = std::make_unique<IdleDomain>(m_cluster, m_certificate.Blocks());
  if (!m_idle_domain->FitsBlocks()) m_idle_domain = std::make_unique<IdleDomain>(m_cluster, std::vector<Block>{});
  return *m_idle_domain;
}

Result<Done, UnsatisfiableGuarantee> PolicyImpl::CheckMarket(const Market& market) const {
  constexpr int kSearchNodes = 2000;
  Certificate trial = m_certificate;
  trial.Repair(kSearchNodes);
  const int missing_before = trial.Missing();
  const AccountIndices indices = IndicesOf(market);
  const std::vector<BlockSpec> blocks = BlocksOf(market, indices);
  for (const auto& [id, index] : m_cluster.Jobs()) {  // Pins under the new classes.
    const JobEntry& job = m_cluster.Job(index);
    if (job.m_parts.empty() || m_cluster.Account(job.m_account).m_market != market.m_id) continue;
    const ClassOfWork* work = market.FindClass(m_cluster.Class(job.m_class).m_work.m_id);
    if (work == nullptr) continue;
    const bool pinned = job.m_once || !work->m_repeatable || !(work->m_preemptible || work->m_checkpointable);
    if (pinned == job.m_pinned) continue;
    for (const Part& part : job.m_parts) {
      const Pin pin{part.m_worker, part.m_allocated};
      pinned ? trial.AddPin(job.m_account, pin) : trial.RemovePin(job.m_account, pin);
    }
  }
  trial.ReplaceBlocks(AccountsOf(market.m_id), blocks);
  trial.Repair(kSearchNodes);
  if (trial.Missing() == 0 || trial.Missing() <= missing_before) return Done{};
  const Block* worst = nullptr;
  const AccountId* account_id = nullptr;
  for (const auto& [id, index] : indices) {
    for (const Block& block : trial.Blocks()) {
      if (worst != nullptr || block.m_missing == 0 || block.m_spec.m_account != index) continue;
      worst = &block;
      account_id = &id;
    }
  }
  if (worst == nullptr) {  // The market's own guarantees fit, but another market's no longer do.
    const auto missing = [](const Block& block) { return block.m_missing > 0; };
    worst = &*std::find_if(trial.Blocks().begin(), trial.Blocks().end(), missing);
    account_id = &m_cluster.Account(worst->m_spec.m_account).m_id;
  }
  const std::string why = "A block of " + std::to_string(worst->m_spec.m_accelerators) + " accelerators (adjacency " +
                          ToString(worst->m_spec.m_adjacency) +
                          ") finds no place beside all other guarantees: " + std::to_string(worst->m_missing) +
                          " accelerators are missing of the " + std::to_string(m_cluster.Capacity()) +
                          " of workers that may take work.";
  return UnsatisfiableGuarantee{*account_id, worst->m_spec.m_shape, why};
}

}  // namespace hickoryquay::policy
