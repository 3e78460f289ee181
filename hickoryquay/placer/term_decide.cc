// Passes events to the scheduler, executes its decisions and handles the workers' reports.

#include <algorithm>

#include "hickoryquay/base/log.h"
#include "hickoryquay/placer/placer_term.h"

namespace hickoryquay::placer {

namespace {

constexpr log::Part kLog{"placer"};

}  // namespace

//-------------------------------------------------------------------------------------------------
// [SECTION] Events and decisions
//-------------------------------------------------------------------------------------------------

// Executing a decision may create new events. These are queued and applied one after the other, never recursively.
void Placer::Term::ApplyEvent(policy::Event event) {
  m_pending_events.push_back(std::move(event));
  if (!m_applying_events) ApplyPendingEvents();
}

void Placer::Term::ApplyPendingEvents() {
  m_applying_events = true;
  while (!m_pending_events.empty() && !m_ended) {
    const policy::Event event = std::move(m_pending_events.front());
    m_pending_events.pop_front();
    const policy::Decisions decisions = m_scheduler->Apply(event, DecisionTime());
    for (const policy::Decision& decision : decisions) {
      std::visit([this](const auto& concrete) { Execute(concrete); }, decision);
    }
  }
  m_applying_events = false;
}

void Placer::Term::Execute(const policy::StartGang& decision) {
  JobRecord* record = FindJob(decision.m_job);
  const bool startable = record != nullptr && !record->m_cancelled && !Ended(record->m_job.m_state);
  if (!startable) return ApplyEvent(policy::GangStartFailed{decision.m_job, decision.m_attempt, WorkerId(), false});
  if (!m_parts.m_lease->MayStartWork()) return m_held_starts.push_back(decision);
  StartAttempt(record, decision);
}

void Placer::Term::Execute(const policy::StopGang& decision) {
  const AttemptKey key{decision.m_job, decision.m_attempt};
  const auto held = std::find_if(m_held_starts.begin(), m_held_starts.end(), [&](const policy::StartGang& start) {
    return start.m_job == decision.m_job && start.m_attempt == decision.m_attempt;
  });
  if (held != m_held_starts.end()) m_held_starts.erase(held);
  AttemptRecord* attempt = FindAttempt(key);
  if (attempt == nullptr || attempt->m_gang.Ended()) {
    return ApplyEvent(policy::GangStopped{decision.m_job, decision.m_attempt, false});
  }
  HandleOutputs(key, attempt->m_gang.OnStop(decision.m_checkpoint));
}

void Placer::Term::Execute(const policy::ThrottleTask& decision) {
  m_pool->Queue(decision.m_worker,
                workers::Command{workers::Op::kThrottle, decision.m_job, decision.m_attempt, 0, {}, ""});
}

void Placer::Term::Execute(const policy::RefuseJob& decision) {
  JobRecord* record = FindJob(decision.m_job);
  if (record == nullptr) return;
  if (record->m_cancelled) return EndJob(record, JobState::kCancelled, "cancelled");
  EndJob(record, JobState::kRefused, decision.m_ran ? decision.m_why : "not run: " + decision.m_why);
}

void Placer::Term::Execute(const policy::MarkUncertain& decision) {
  if (JobRecord* record = FindJob(decision.m_job)) EndJob(record, JobState::kUncertain, decision.m_why);
}

void Placer::Term::Execute(const policy::QuarantineWorker& decision) {
  log::Warn(kLog, "Worker is quarantined", {{"worker", decision.m_worker.m_value}, {"why", decision.m_why}});
}

void Placer::Term::Execute(const policy::ReleaseWorker& decision) {
  log::Info(kLog, "Worker is released from quarantine", {{"worker", decision.m_worker.m_value}});
}

void Placer::Term::Execute(const policy::GuaranteeBroken& decision) {
  log::Warn(kLog, "Guarantee can't be honoured",
            {{"market", decision.m_market.m_value},
             {"account", decision.m_account.m_value},
             {"shape", decision.m_shape},
             {"mend", decision.m_remedy}});
}

void Placer::Term::Execute(const policy::GuaranteeRestored& decision) {
  log::Info(
      kLog, "Guarantee can be honoured again",
      {{"market", decision.m_market.m_value}, {"account", decision.m_account.m_value}, {"shape", decision.m_shape}});
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Reports
//-------------------------------------------------------------------------------------------------

void Placer::Term::JoinWorker(const Worker& worker) {
  if (!m_joined_workers.insert(worker.m_id).second) return;
  ApplyEvent(policy::WorkerJoined{worker});
}

void Placer::Term::HandleReport(const Worker& worker, const workers::SyncAnswer& answer) {
  for (const workers::CommandResult& result : answer.m_results) {
    const AttemptKey key{result.m_job, result.m_attempt};
    AttemptRecord* attempt = FindAttempt(key);
    if (attempt == nullptr) continue;
    HandleOutputs(key, attempt->m_gang.OnResult(worker.m_id, result.m_op, result.m_ok, result.m_why));
  }
  const std::set<AttemptKey> expected = m_attempts_by_worker[worker.m_id];
  for (const AttemptKey& key : expected) {
    AttemptRecord* attempt = FindAttempt(key);
    if (attempt == nullptr) continue;
    const auto report = workers::FindReport(answer, key.first, key.second);
    if (report && workers::IsTerminal(report->m_state)) m_pool->Untrack(worker.m_id, key.first, key.second);
    HandleOutputs(key, attempt->m_gang.OnReport(worker.m_id, report));
  }
  StopUnknownAttempts(worker.m_id, answer);
  JoinWorker(worker);
  ReportUsage(worker.m_id, answer);
}

// Stops attempts without a record here: those of an earlier placer that are in no row, and those of jobs that were
// moved to another failure domain.
void Placer::Term::StopUnknownAttempts(const WorkerId& worker, const workers::SyncAnswer& answer) {
  for (const workers::TaskReport& task : answer.m_tasks) {
    if (m_attempts.contains({task.m_job, task.m_attempt})) continue;
    const workers::Op op = workers::IsTerminal(task.m_state) ? workers::Op::kForget : workers::Op::kStop;
    m_pool->Queue(worker, workers::Command{op, task.m_job, task.m_attempt, 0, {}, ""});
  }
}

void Placer::Term::ReportUsage(const WorkerId& worker, const workers::SyncAnswer& answer) {
  policy::UsageReported usage{worker, {}};
  for (const workers::TaskReport& task : answer.m_tasks) {
    if (task.m_state == workers::TaskState::kRunning) usage.m_tasks.push_back({task.m_job, task.m_used});
  }
  if (!usage.m_tasks.empty()) ApplyEvent(std::move(usage));
}

}  // namespace hickoryquay::placer
