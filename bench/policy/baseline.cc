// The half of Baseline that places jobs and answers questions; and how the baselines differ.
#include "bench/policy/baseline.h"

#include <algorithm>

#include "bench/policy/baseline_scheduler.h"

namespace hickoryquay::bench {

using namespace policy;  // NOLINT(google-build-using-namespace): the whole file speaks that interface.

namespace {

OrderKey ByArrival(const Job& job, const ClassOfWork&, const TrueRun&) {
  return {0, job.m_accepted.m_ms, job.m_id};
}

OrderKey ByUrgency(const Job& job, const ClassOfWork& work, const TrueRun&) {
  return {work.m_urgency, job.m_accepted.m_ms, job.m_id};
}

OrderKey ByLatestStart(const Job& job, const ClassOfWork& work, const TrueRun& true_run) {
  if (job.m_spec.m_deadline.m_ms == 0) return {1 + work.m_urgency, job.m_accepted.m_ms, job.m_id};
  return {0, (job.m_spec.m_deadline - true_run(job.m_id)).m_ms, job.m_id};
}

// Whether a gang needs at least what the other needs, of the same adjacency.
bool NoSmaller(const GangShape& shape, const GangShape& other) {
  return shape.m_adjacency == other.m_adjacency && shape.m_tasks >= other.m_tasks && other.m_task.FitsIn(shape.m_task);
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// Placement
//-------------------------------------------------------------------------------------------------

// Room only shrinks during one pass: what is no smaller than a shape that did not fit does not fit either.
void Baseline::StartWaiting() {
  m_schedule_all = false;
  std::vector<Record*> waiting;
  for (const auto& [order, record] : m_queue) waiting.push_back(record);
  std::vector<std::pair<int, GangShape>> failed;  // With the account that guarantees keep room for, or none.
  for (Record* record : waiting) {
    const GangShape& shape = record->m_job.m_spec.m_shape;
    const int keeper = m_keeps_for[record->m_account] ? record->m_account : kNoAccount;
    const bool is_head = record->m_job.m_id == m_head && !m_head_workers.empty();
    const bool hopeless = std::any_of(failed.begin(), failed.end(), [&](const auto& smaller) {
      return smaller.first == keeper && NoSmaller(shape, smaller.second);
    });
    const Attempted attempted = hopeless && !is_head ? Attempted::kNoRoom : TryStart(record);
    if (attempted == Attempted::kNoRoom && !hopeless && record->m_failed_on.empty()) failed.emplace_back(keeper, shape);
    if (attempted != Attempted::kNoRoom || !m_head_workers.empty()) continue;
    if (m_now - record->m_job.m_accepted >= m_rules.m_head_bound) KeepWorkersForHead(*record);
  }
}

Baseline::Attempted Baseline::TryStart(Record* record) {
  const GangShape& shape = record->m_job.m_spec.m_shape;
  const auto market = m_markets.find(record->m_job.m_spec.m_market);
  const ClientAccount* account =
      market == m_markets.end() ? nullptr : market->second->FindAccount(record->m_job.m_spec.m_account);
  if (account == nullptr) return Attempted::kOverLimit;
  const int used = m_account_used[record->m_account];
  if (account->m_max_accelerators > 0 && used + shape.Accelerators() > account->m_max_accelerators) {
    return Attempted::kOverLimit;
  }
  BaselineWorkers::Barred barred;
  barred.m_failed = &record->m_failed_on;
  if (record->m_job.m_id != m_head) barred.m_reserved = &m_head_workers;
  std::vector<Placement> placements = m_workers.Place(shape, record->m_account, barred, m_now);
  if (placements.empty() && m_workers.CheapestGroup(shape, record->m_account, barred, m_now).empty()) {
    barred.m_failed = nullptr;  // Without the workers it failed on, it would never fit.
    placements = m_workers.Place(shape, record->m_account, barred, m_now);
  }
  if (placements.empty()) return Attempted::kNoRoom;
  m_queue.erase(record->m_order);
  --m_account_waiting[record->m_account];
  if (record->m_job.m_id == m_head) m_head_workers.clear();
  record->m_phase = Phase::kStarting;
  record->m_job.m_attempt = Attempt{Raw(record->m_job.m_attempt) + 1};
  for (const Placement& placed : placements) m_workers.Take(record->m_account, shape, placed);
  m_account_used[record->m_account] += shape.Accelerators();
  record->m_job.m_placements = placements;
  m_out.push_back(StartGang{record->m_job.m_id, record->m_job.m_attempt, std::move(placements)});
  return Attempted::kStarted;
}

void Baseline::KeepWorkersForHead(const Record& record) {
  BaselineWorkers::Barred barred;
  barred.m_failed = &record.m_failed_on;
  if (record.m_job.m_spec.m_shape.m_adjacency == Adjacency::kAny) return;  // Would keep the whole domain.
  const WorkerGroup group = m_workers.CheapestGroup(record.m_job.m_spec.m_shape, record.m_account, barred, m_now);
  m_head = record.m_job.m_id;
  m_head_workers = std::set<int>(group.begin(), group.end());
}

//-------------------------------------------------------------------------------------------------
// Questions
//-------------------------------------------------------------------------------------------------

Result<Done, Refusal> Baseline::Admit(const JobSpec& spec, Instant now) const {
  const auto market = m_markets.find(spec.m_market);
  if (market == m_markets.end()) return Refusal{UnknownMarket{}};
  const ClientAccount* account = market->second->FindAccount(spec.m_account);
  if (account == nullptr) return Refusal{UnknownAccount{}};
  if (market->second->FindClass(spec.m_class) == nullptr) return Refusal{UnknownClass{}};
  if (spec.m_deadline.m_ms != 0 && spec.m_deadline <= now) return Refusal{DeadlinePassed{}};
  const int limit = account->m_max_accelerators;
  if (limit > 0 && spec.m_shape.Accelerators() > limit) {
    return Refusal{OverAccountLimit{spec.m_shape.Accelerators(), limit}};
  }
  const auto index = m_accounts.find({spec.m_market, spec.m_account});
  const int waiting = index == m_accounts.end() ? 0 : m_account_waiting[index->second];
  if (account->m_max_waiting_jobs > 0 && waiting >= account->m_max_waiting_jobs) {
    return Refusal{TooManyWaiting{account->m_max_waiting_jobs}};
  }
  const int account_index = index == m_accounts.end() ? kNoAccount : index->second;
  if (!m_workers.EverFits(spec.m_shape, account_index))
    return Refusal{NeverFits{"no set of workers of this domain can hold it"}};
  return Done{};
}

Result<Done, UnsatisfiableGuarantee> Baseline::CheckMarket(const Market& market) const {
  BaselineWorkers empty = m_workers;
  empty.ClearReservations(1);
  std::map<MarketId, const Market*> markets;
  for (const auto& [id, known] : m_markets) markets[id] = known.get();
  markets[market.m_id] = &market;
  for (const auto& [id, each] : markets) {
    for (const auto& [account_id, account] : each->m_accounts) {
      for (const GuaranteedShape& shape : account.m_guarantees) {
        const auto here = shape.m_blocks_by_domain.find(m_domain);
        for (int i = 0; here != shape.m_blocks_by_domain.end() && i < here->second; ++i) {
          if (empty.Reserve(0, shape.m_accelerators_per_block, shape.m_adjacency)) continue;
          return UnsatisfiableGuarantee{account_id, shape.m_name, "no room is left for it"};
        }
      }
    }
  }
  return Done{};
}

Explanation Baseline::Explain(JobId job, Instant) const {
  const auto found = m_jobs.find(job);
  if (found == m_jobs.end()) return Explanation{"unknown", "No such job.", {}, {}};
  static constexpr const char* kStates[] = {"waiting", "starting", "running", "stopping"};
  return Explanation{kStates[static_cast<int>(found->second.m_phase)], found->second.m_why, {}, {}};
}

SchedulerStats Baseline::CollectStats() const {
  SchedulerStats measures;
  for (int i = 0; i < m_workers.Count(); ++i) {
    const WorkerBook& book = m_workers.At(i);
    if (!book.Usable(m_now)) continue;
    measures.m_accelerators += book.m_worker.m_capacity.m_accelerators;
    measures.m_free += book.m_worker.m_capacity.m_accelerators - book.m_taken.m_accelerators;
  }
  measures.m_waiting_jobs = static_cast<int>(m_queue.size());
  measures.m_running_jobs = static_cast<int>(m_jobs.size() - m_queue.size());
  return measures;
}

std::unique_ptr<Scheduler> MakeFirstFit(const DomainId& domain) {
  Rules rules;
  rules.m_order = &ByArrival;
  return std::make_unique<Baseline>(domain, rules);
}

std::unique_ptr<Scheduler> MakeBestFit(const DomainId& domain) {
  Rules rules;
  rules.m_best_fit = true;
  rules.m_partition = true;
  rules.m_order = &ByUrgency;
  return std::make_unique<Baseline>(domain, rules);
}

std::unique_ptr<Scheduler> MakeDeadlineOracle(const DomainId& domain, TrueRun true_run) {
  Rules rules;
  rules.m_best_fit = true;
  rules.m_head_bound = Millis{0};
  rules.m_order = &ByLatestStart;
  rules.m_true_run = std::move(true_run);
  return std::make_unique<Baseline>(domain, rules);
}

}  // namespace hickoryquay::bench
