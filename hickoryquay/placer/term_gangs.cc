// Starts attempts, and applies the outputs of their gangs to jobs, workers and the scheduler.

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "hickoryquay/base/log.h"
#include "hickoryquay/placer/placer_term.h"

namespace hickoryquay::placer {

namespace {

namespace json = boost::json;

constexpr log::Part kLog{"placer"};
constexpr double kMillisPerSecond = 1000.0;

int TasksOn(const Job& job, const WorkerId& worker) {
  int tasks = 0;
  for (const Placement& placement : job.m_placements) {
    if (placement.m_worker == worker) tasks += placement.m_tasks;
  }
  return tasks;
}

}  // namespace

void Placer::Term::StartAttempt(JobRecord* record, const policy::StartGang& decision) {
  Job& job = record->m_job;
  for (const Placement& placement : decision.m_placements) {
    if (m_pool->HasWorker(placement.m_worker)) continue;
    return ApplyEvent(policy::GangStartFailed{decision.m_job, decision.m_attempt, placement.m_worker, false});
  }
  job.m_state = JobState::kStarting;
  job.m_attempt = decision.m_attempt;
  job.m_placements = decision.m_placements;
  job.m_started = m_parts.m_clock->Wall();
  m_starts.Add();
  const AttemptKey key{decision.m_job, decision.m_attempt};
  const Instant now = m_parts.m_clock->Now();
  AttemptRecord attempt{Gang(decision.m_placements, record->m_once), now, now, now};
  const GangOutputs outputs = attempt.m_gang.Begin();
  m_attempts.insert_or_assign(key, std::move(attempt));
  for (const Placement& placement : decision.m_placements) m_attempts_by_worker[placement.m_worker].insert(key);
  if (!record->m_once) MarkDirty(*record, m_settings.m_lazy_write_delay);
  HandleOutputs(key, outputs);
}

void Placer::Term::HandleOutputs(const AttemptKey& key, const GangOutputs& outputs) {
  for (const GangOutput& output : outputs) {
    std::visit([&](const auto& concrete) { HandleOutput(key, concrete); }, output);
  }
  const AttemptRecord* attempt = FindAttempt(key);
  if (attempt != nullptr && attempt->m_gang.Ended()) CloseAttempt(key);
}

void Placer::Term::HandleOutput(const AttemptKey& key, const SendCommand& output) {
  workers::Command command{output.m_op, key.first, key.second, 0, {}, ""};
  const JobRecord* record = FindJob(key.first);
  if (output.m_op == workers::Op::kReserve && record != nullptr) {
    command.m_tasks = TasksOn(record->m_job, output.m_worker);
    command.m_task = record->m_job.m_spec.m_shape.m_task;
    command.m_run = RunDocument(record->m_job);
  }
  AttemptRecord* attempt = FindAttempt(key);
  if (output.m_op == workers::Op::kCommit && attempt != nullptr) attempt->m_leases_granted = m_parts.m_clock->Now();
  if (output.m_op == workers::Op::kStop || output.m_op == workers::Op::kCheckpoint) {
    m_pool->Untrack(output.m_worker, key.first, key.second);
  }
  m_pool->Queue(output.m_worker, command);
}

std::string Placer::Term::RunDocument(const Job& job) const {
  const JobSpec& spec = job.m_spec;
  return json::serialize(json::object{{"market", spec.m_market.m_value},
                                      {"account", spec.m_account.m_value},
                                      {"class", spec.m_class.m_value},
                                      {"key", spec.m_key},
                                      {"declared_run_ms", spec.m_declared_run.count()},
                                      {"attained_ms", job.m_attained.count()},
                                      {"payload", spec.m_payload}});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const RecordStart&) {
  if (const JobRecord* record = FindJob(key.first)) MarkDirty(*record, Millis{0});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const Started&) {
  JobRecord* record = FindJob(key.first);
  AttemptRecord* attempt = FindAttempt(key);
  if (record == nullptr || attempt == nullptr) return;
  attempt->m_running_since = m_parts.m_clock->Now();
  const Instant granted = attempt->m_restored ? AdoptedGrantTime(attempt->m_gang) : attempt->m_leases_granted;
  for (const WorkerId& worker : attempt->m_gang.RunningWorkers()) {
    m_pool->Track(worker, key.first, key.second, granted);
  }
  m_start_s.Add(static_cast<double>((attempt->m_running_since - attempt->m_began_at).count()) / kMillisPerSecond);
  const bool was_running = record->m_job.m_state == JobState::kRunning;
  record->m_job.m_state = JobState::kRunning;
  if (!was_running) MarkDirty(*record, m_settings.m_lazy_write_delay);
  ApplyEvent(policy::GangStarted{key.first, key.second});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const StartFailed& output) {
  log::Info(kLog, "Gang did not start",
            {{"job", ToString(key.first)}, {"worker", output.m_failed_worker.m_value}, {"why", output.m_why}});
  m_start_failures.Add();
  ReturnToWaiting(key);
  ApplyEvent(policy::GangStartFailed{key.first, key.second, output.m_failed_worker, output.m_may_have_run});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const PartFailed& output) {
  log::Info(kLog, "Task failed",
            {{"job", ToString(key.first)}, {"worker", output.m_worker.m_value}, {"why", output.m_why}});
  if (JobRecord* record = FindJob(key.first)) ++record->m_job.m_failures;
  ReturnToWaiting(key);
  ApplyEvent(policy::TaskFailed{key.first, key.second, output.m_worker, output.m_why});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const Finished&) {
  m_finishes.Add();
  if (JobRecord* record = FindJob(key.first)) EndJob(record, JobState::kDone, "");
  ApplyEvent(policy::GangFinished{key.first, key.second});
}

void Placer::Term::HandleOutput(const AttemptKey& key, const Stopped& output) {
  JobRecord* record = FindJob(key.first);
  const AttemptRecord* attempt = FindAttempt(key);
  if (record != nullptr && attempt != nullptr && output.m_checkpointed) {
    record->m_job.m_attained += m_parts.m_clock->Now() - attempt->m_running_since;
  }
  ReturnToWaiting(key);
  ApplyEvent(policy::GangStopped{key.first, key.second, output.m_checkpointed});
}

// The attempt has ended without finishing the job: the job waits again, or is cancelled if that was requested.
void Placer::Term::ReturnToWaiting(const AttemptKey& key) {
  JobRecord* record = FindJob(key.first);
  if (record == nullptr || record->m_job.m_attempt != key.second || Ended(record->m_job.m_state)) return;
  if (record->m_cancelled) return EndJob(record, JobState::kCancelled, "cancelled");
  record->m_job.m_state = JobState::kWaiting;
  record->m_job.m_placements.clear();
  MarkDirty(*record, m_settings.m_lazy_write_delay);
}

void Placer::Term::CloseAttempt(const AttemptKey& key) {
  const AttemptRecord* attempt = FindAttempt(key);
  const std::vector<WorkerId> workers = attempt->m_gang.WorkerIds();
  for (const WorkerId& worker : workers) m_pool->Untrack(worker, key.first, key.second);
  if (FindJob(key.first) != nullptr) return ForgetDurableAttempts(key.first);
  for (const WorkerId& worker : workers) {
    m_pool->Queue(worker, workers::Command{workers::Op::kForget, key.first, key.second, 0, {}, ""});
    m_attempts_by_worker[worker].erase(key);
  }
  m_attempts.erase(key);
}

void Placer::Term::CheckStartTimeouts() {
  const Instant now = m_parts.m_clock->Now();
  std::vector<AttemptKey> late;
  for (const auto& [key, attempt] : m_attempts) {
    if (!attempt.m_gang.Starting()) continue;
    const bool recording = attempt.m_gang.CurrentPhase() == Gang::Phase::kRecording;
    const Millis limit = recording ? m_settings.m_record_timeout : m_settings.m_start_timeout;
    if (now - attempt.m_began_at >= limit) late.push_back(key);
  }
  for (const AttemptKey& key : late) {
    if (AttemptRecord* attempt = FindAttempt(key)) HandleOutputs(key, attempt->m_gang.OnStartTimeout());
  }
}

}  // namespace hickoryquay::placer
