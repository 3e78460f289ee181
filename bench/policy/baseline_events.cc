// The half of Baseline that books events: configuration, workers, jobs and usage.
#include <algorithm>

#include "bench/policy/baseline_scheduler.h"

namespace hickoryquay::bench {

using namespace policy;  // NOLINT(google-build-using-namespace): the whole file speaks that interface.

namespace {

constexpr int kMaxFailures = 3;      // Workers that a job may fail on before it is refused.
constexpr int kQuarantineAfter = 3;  // Different jobs failed in a row.
constexpr Millis kQuarantineFor{10 * 60 * 1000};

}  // namespace

Decisions Baseline::Apply(const Event& event, Instant now) {
  m_now = now;
  m_out.clear();
  std::visit([this](const auto& what) { On(what); }, event);
  if (m_partition_stale) Partition();
  if (std::holds_alternative<JobRestored>(event)) {
    m_schedule_all = true;  // Once all rows are in.
  } else if (m_schedule_all) {
    StartWaiting();
  } else if (m_new_job != nullptr) {
    TryStart(m_new_job);
  }
  m_new_job = nullptr;
  return std::move(m_out);
}

//-------------------------------------------------------------------------------------------------
// Configuration and workers
//-------------------------------------------------------------------------------------------------

void Baseline::On(const MarketChanged& event) {
  m_markets[event.m_market->m_id] = event.m_market;
  for (const auto& [id, account] : event.m_market->m_accounts) AccountIndex({event.m_market->m_id, id});
  m_partition_stale = true;
  m_schedule_all = true;
}

void Baseline::On(const MarketDropped& event) {
  if (m_markets.erase(event.m_market) == 0) return;
  std::vector<Record*> affected;
  for (auto& [id, record] : m_jobs) {
    if (record.m_job.m_spec.m_market == event.m_market) affected.push_back(&record);
  }
  for (Record* record : affected) {
    if (record->m_phase == Phase::kWaiting) {
      Refuse(record, "its market was dropped");
    } else {
      record->m_why = "its market was dropped";
      Stop(record, StopReason::kMarketDropped, AfterStop::kRefuse);
    }
  }
  m_partition_stale = true;
  m_schedule_all = true;
}

void Baseline::On(const WorkerJoined& event) {
  if (!m_workers.Join(event.m_worker)) return;
  m_partition_stale = true;
  m_schedule_all = true;
}

void Baseline::On(const WorkerLost& event) {
  const int worker = m_workers.Find(event.m_worker);
  if (worker < 0 || !m_workers.At(worker).m_up) return;
  std::vector<Record*> affected;
  for (auto& [id, record] : m_jobs) {
    auto& placements = record.m_job.m_placements;
    const auto part = std::find_if(placements.begin(), placements.end(),
                                   [&](const Placement& placed) { return placed.m_worker == event.m_worker; });
    if (part == placements.end()) continue;
    m_workers.Release(record.m_account, record.m_job.m_spec.m_shape, *part);
    m_account_used[record.m_account] -= part->m_tasks * record.m_job.m_spec.m_shape.m_task.m_accelerators;
    placements.erase(part);
    affected.push_back(&record);
  }
  m_workers.Lose(worker);
  for (Record* record : affected) {
    record->m_ran = true;
    if (record->m_once) record->m_why = "a worker was lost while it may have run";
    Stop(record, StopReason::kPartLost, record->m_once ? AfterStop::kUncertain : AfterStop::kWait);
  }
  m_schedule_all = true;
}

void Baseline::On(const WorkerLeaving& event) {
  const int worker = m_workers.Find(event.m_worker);
  if (worker >= 0) m_workers.At(worker).m_leaving = true;
}

void Baseline::On(const WorkerQuarantineSet& event) {
  const int worker = m_workers.Find(event.m_worker);
  if (worker < 0) return;
  m_workers.At(worker).m_held_by_operator = event.m_quarantined;
  m_schedule_all = true;
}

int Baseline::AccountIndex(const AccountKey& key) {
  const auto [found, added] = m_accounts.try_emplace(key, static_cast<int>(m_accounts.size()));
  if (added) {
    m_account_used.push_back(0);
    m_account_waiting.push_back(0);
    m_partition_stale = true;
  }
  return found->second;
}

// Sets accelerators aside for every guarantee of this domain, the largest blocks first.
void Baseline::Partition() {
  m_partition_stale = false;
  m_workers.ClearReservations(static_cast<int>(m_accounts.size()));
  m_keeps_for.assign(m_accounts.size(), false);
  if (!m_rules.m_partition) return;
  std::vector<std::tuple<int, Adjacency, int>> blocks;  // Accelerators, adjacency, account.
  for (const auto& [market_id, market] : m_markets) {
    for (const auto& [account_id, account] : market->m_accounts) {
      for (const GuaranteedShape& shape : account.m_guarantees) {
        const auto here = shape.m_blocks_by_domain.find(m_domain);
        const int count = here == shape.m_blocks_by_domain.end() ? 0 : here->second;
        const int index = m_accounts.at({market_id, account_id});
        for (int i = 0; i < count; ++i) {
          blocks.emplace_back(shape.m_accelerators_per_block, shape.m_adjacency, index);
        }
      }
    }
  }
  std::sort(blocks.rbegin(), blocks.rend());
  for (const auto& [accelerators, adjacency, account] : blocks) m_workers.Reserve(account, accelerators, adjacency);
  for (int i = 0; i < static_cast<int>(m_keeps_for.size()); ++i) m_keeps_for[i] = m_workers.KeepsFor(i);
  RefuseHopeless();
}

// Jobs that a new guarantee leaves no place.
void Baseline::RefuseHopeless() {
  std::vector<Record*> hopeless;
  for (const auto& [order, record] : m_queue) {
    if (!m_workers.EverFits(record->m_job.m_spec.m_shape, record->m_account)) hopeless.push_back(record);
  }
  for (Record* record : hopeless) Refuse(record, "guarantees leave it no place");
}

//-------------------------------------------------------------------------------------------------
// Jobs
//-------------------------------------------------------------------------------------------------

const ClassOfWork* Baseline::ClassOf(const JobSpec& spec) const {
  const auto market = m_markets.find(spec.m_market);
  return market == m_markets.end() ? nullptr : market->second->FindClass(spec.m_class);
}

void Baseline::Add(const Job& job) {
  if (m_jobs.contains(job.m_id) || m_ended.contains(job.m_id) || Ended(job.m_state)) return;
  Record& record = m_jobs[job.m_id];
  record.m_job = job;
  record.m_account = AccountIndex({job.m_spec.m_market, job.m_spec.m_account});
  if (m_partition_stale) Partition();
  const ClassOfWork* work = ClassOf(job.m_spec);
  record.m_ran = job.m_attempt != Attempt{};
  if (work != nullptr) {
    record.m_once = RunsOnce(job.m_spec, *work);
    record.m_order = m_rules.m_order(job, *work, m_rules.m_true_run);
  }
  if (job.m_state == JobState::kWaiting) {
    record.m_job.m_placements.clear();
    m_queue[record.m_order] = &record;
    ++m_account_waiting[record.m_account];
    m_new_job = &record;
    if (work == nullptr) Refuse(&record, "its market is gone");
    return;
  }
  record.m_phase = job.m_state == JobState::kRunning ? Phase::kRunning : Phase::kStarting;
  std::erase_if(record.m_job.m_placements,
                [this](const Placement& placed) { return m_workers.Find(placed.m_worker) < 0; });
  const bool whole = record.m_job.m_placements.size() == job.m_placements.size();
  for (const Placement& placed : record.m_job.m_placements) {
    m_workers.Take(record.m_account, job.m_spec.m_shape, placed);
    m_account_used[record.m_account] += placed.m_tasks * job.m_spec.m_shape.m_task.m_accelerators;
  }
  if (work == nullptr) {
    record.m_why = "its market is gone";
    Stop(&record, StopReason::kMarketDropped, AfterStop::kRefuse);
  } else if (!whole) {
    record.m_why = "a worker was lost while it may have run";
    Stop(&record, StopReason::kPartLost, record.m_once ? AfterStop::kUncertain : AfterStop::kWait);
  }
}

Record* Baseline::Current(JobId job, Attempt attempt) {
  const auto found = m_jobs.find(job);
  if (found == m_jobs.end() || found->second.m_phase == Phase::kWaiting) return nullptr;
  return found->second.m_job.m_attempt == attempt ? &found->second : nullptr;
}

void Baseline::Stop(Record* record, StopReason reason, AfterStop after) {
  const bool stopping = record->m_phase == Phase::kStopping;
  if (!stopping || record->m_after == AfterStop::kWait) record->m_after = after;
  if (record->m_job.m_placements.empty()) {
    Settle(record, record->m_after);
    return;
  }
  if (stopping) return;
  record->m_phase = Phase::kStopping;
  const ClassOfWork* work = ClassOf(record->m_job.m_spec);
  const bool keep = work != nullptr && work->m_checkpointable && after == AfterStop::kWait;
  m_out.push_back(StopGang{record->m_job.m_id, record->m_job.m_attempt, reason, keep});
}

void Baseline::Free(Record* record) {
  for (const Placement& placed : record->m_job.m_placements) {
    m_workers.Release(record->m_account, record->m_job.m_spec.m_shape, placed);
    m_account_used[record->m_account] -= placed.m_tasks * record->m_job.m_spec.m_shape.m_task.m_accelerators;
  }
  record->m_job.m_placements.clear();
  record->m_throttled.clear();
  m_schedule_all = true;
}

// Does what was to follow once no part of the gang runs any more.
void Baseline::Settle(Record* record, AfterStop after) {
  Free(record);
  switch (after) {
    case AfterStop::kWait:
      record->m_phase = Phase::kWaiting;
      m_queue[record->m_order] = record;
      ++m_account_waiting[record->m_account];
      break;
    case AfterStop::kRefuse:
      Refuse(record, record->m_why);
      break;
    case AfterStop::kUncertain:
      m_out.push_back(MarkUncertain{record->m_job.m_id, record->m_why});
      Forget(record);
      break;
    case AfterStop::kForget:
      Forget(record);
      break;
  }
}

void Baseline::Refuse(Record* record, const std::string& why) {
  m_out.push_back(RefuseJob{record->m_job.m_id, record->m_ran, why});
  Forget(record);
}

void Baseline::Forget(Record* record) {
  if (record->m_phase == Phase::kWaiting) {
    m_queue.erase(record->m_order);
    --m_account_waiting[record->m_account];
  }
  if (m_head == record->m_job.m_id) m_head_workers.clear();
  if (m_new_job == record) m_new_job = nullptr;
  m_ended.insert(record->m_job.m_id);
  m_jobs.erase(record->m_job.m_id);
}

void Baseline::On(const JobCancelled& event) {
  const auto found = m_jobs.find(event.m_job);
  if (found == m_jobs.end()) return;
  if (found->second.m_phase == Phase::kWaiting) {
    Forget(&found->second);
  } else {
    Stop(&found->second, StopReason::kCancelled, AfterStop::kForget);
  }
}

void Baseline::On(const GangStarted& event) {
  Record* record = Current(event.m_job, event.m_attempt);
  if (record == nullptr || record->m_phase != Phase::kStarting) return;
  record->m_phase = Phase::kRunning;
  record->m_ran = true;
}

void Baseline::On(const GangStartFailed& event) {
  Record* record = Current(event.m_job, event.m_attempt);
  if (record == nullptr || record->m_phase == Phase::kRunning) return;
  AfterStop after = record->m_phase == Phase::kStopping ? record->m_after : AfterStop::kWait;
  const int culprit = m_workers.Find(event.m_failed_worker);
  if (culprit >= 0) NoteWorkerFailure(culprit, event.m_job);
  record->m_ran = record->m_ran || event.m_may_have_run;
  if (after == AfterStop::kWait && CountFailure(record, culprit)) after = AfterStop::kRefuse;
  if (record->m_once && event.m_may_have_run) {
    after = AfterStop::kUncertain;
    record->m_why = "its start failed and it may have run";
  } else if (record->m_once && after == AfterStop::kUncertain) {
    after = AfterStop::kWait;  // No part ran.
  }
  Settle(record, after);
}

void Baseline::On(const TaskFailed& event) {
  Record* record = Current(event.m_job, event.m_attempt);
  if (record == nullptr) return;
  const int worker = m_workers.Find(event.m_worker);
  if (worker >= 0) NoteWorkerFailure(worker, event.m_job);
  record->m_ran = true;
  record->m_why = "a task failed: " + event.m_reason;
  const bool refuse = record->m_once || CountFailure(record, worker);
  Stop(record, StopReason::kPartLost, refuse ? AfterStop::kRefuse : AfterStop::kWait);
}

void Baseline::On(const GangFinished& event) {
  Record* record = Current(event.m_job, event.m_attempt);
  if (record == nullptr) return;
  for (const Placement& placed : record->m_job.m_placements) {
    m_workers.At(m_workers.Find(placed.m_worker)).m_failed_in_row.clear();
  }
  Settle(record, AfterStop::kForget);
}

void Baseline::On(const GangStopped& event) {
  Record* record = Current(event.m_job, event.m_attempt);
  if (record == nullptr) return;
  if (record->m_phase != Phase::kStopping) {  // Asked for by an earlier placer.
    record->m_ran = true;
    record->m_why = "it was stopped while it ran";
    record->m_after = record->m_once ? AfterStop::kUncertain : AfterStop::kWait;
  }
  Settle(record, record->m_after);
}

// Returns whether the job has used up its attempts.
bool Baseline::CountFailure(Record* record, int worker) {
  if (worker >= 0) record->m_failed_on.insert(worker);
  if (++record->m_job.m_failures < kMaxFailures) return false;
  record->m_why = "it failed on every worker it was tried on";
  return true;
}

// Quarantines a worker on which different jobs fail in a row, and takes those failures off the jobs again.
void Baseline::NoteWorkerFailure(int worker, JobId job) {
  WorkerBook& book = m_workers.At(worker);
  if (std::find(book.m_failed_in_row.begin(), book.m_failed_in_row.end(), job) != book.m_failed_in_row.end()) return;
  book.m_failed_in_row.push_back(job);
  if (static_cast<int>(book.m_failed_in_row.size()) < kQuarantineAfter || m_now < book.m_quarantined_until) return;
  book.m_quarantined_until = m_now + kQuarantineFor;
  m_out.push_back(QuarantineWorker{book.m_worker.m_id, "every job failed there"});
  for (const JobId failed : book.m_failed_in_row) {
    const auto found = m_jobs.find(failed);
    if (found == m_jobs.end() || found->second.m_failed_on.erase(worker) == 0) continue;
    --found->second.m_job.m_failures;
  }
  book.m_failed_in_row.pop_back();  // One more failure after the release quarantines it again.
}

//-------------------------------------------------------------------------------------------------
// Time and usage
//-------------------------------------------------------------------------------------------------

// Throttles the task that exceeds its declared processors most, where a worker has too few for all.
void Baseline::On(const UsageReported& event) {
  const int worker = m_workers.Find(event.m_worker);
  if (worker < 0) return;
  WorkerBook& book = m_workers.At(worker);
  book.m_reported = Resources{};
  Record* worst = nullptr;
  std::int64_t most = 0;
  for (const TaskUsage& usage : event.m_tasks) {
    const auto found = m_jobs.find(usage.m_job);
    if (found == m_jobs.end() || found->second.m_phase != Phase::kRunning) continue;
    const auto& placements = found->second.m_job.m_placements;
    const auto part = std::find_if(placements.begin(), placements.end(),
                                   [&](const Placement& placed) { return placed.m_worker == event.m_worker; });
    if (part == placements.end()) continue;
    book.m_reported += usage.m_used;
    const std::int64_t declared = found->second.m_job.m_spec.m_shape.m_task.m_millicores * part->m_tasks;
    if (usage.m_used.m_millicores - declared <= most || found->second.m_throttled.contains(worker)) continue;
    most = usage.m_used.m_millicores - declared;
    worst = &found->second;
  }
  if (worst == nullptr || book.m_reported.m_millicores <= book.m_worker.m_capacity.m_millicores) return;
  worst->m_throttled.insert(worker);
  m_out.push_back(ThrottleTask{worst->m_job.m_id, worst->m_job.m_attempt, event.m_worker});
}

void Baseline::On(const Tick&) {
  for (int i = 0; i < m_workers.Count(); ++i) {
    WorkerBook& book = m_workers.At(i);
    if (book.m_quarantined_until.m_ms == 0 || m_now < book.m_quarantined_until) continue;
    book.m_quarantined_until = Instant{};
    m_out.push_back(ReleaseWorker{book.m_worker.m_id});
    m_schedule_all = true;
  }
  const bool head_overdue = !m_queue.empty() && m_head_workers.empty() &&
                            m_now - m_queue.begin()->second->m_job.m_accepted >= m_rules.m_head_bound;
  m_schedule_all = m_schedule_all || head_overdue;
}

}  // namespace hickoryquay::bench
