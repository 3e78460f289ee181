// Events of jobs, from submission to end.
#include <algorithm>
#include <utility>

#include "hickoryquay/policy/policy_impl.h"

namespace hickoryquay::policy {
namespace {

constexpr std::size_t kMaxEndedJobs = 1 << 14;  // Ended jobs that are kept to detect repeated events.
constexpr Millis kStartBackoff{2'000};          // Wait after a failed start.
constexpr Millis kFailureBackoff{1'000};        // Wait after a failed task, times the failures so far.

}  // namespace

//-------------------------------------------------------------------------------------------------
// Arrival
//-------------------------------------------------------------------------------------------------

JobIndex PolicyImpl::AddJob(const Job& row) {
  const JobSpec& spec = row.m_spec;
  const JobIndex index = m_cluster.AddJob(row.m_id);
  JobEntry& job = m_cluster.Job(index);
  job.m_account = m_cluster.InternAccount(spec.m_market, spec.m_account);
  job.m_class = m_cluster.InternClass(spec.m_market, spec.m_class);
  const ClassOfWork& work = m_cluster.Class(job.m_class).m_work;
  job.m_shape = spec.m_shape;
  job.m_once = RunsOnce(spec, work);
  job.m_pinned = IsPinned(job);
  job.m_attempt = row.m_attempt;
  job.m_failures = row.m_failures;
  job.m_all_failures = row.m_failures;
  job.m_declared_run = spec.m_declared_run;
  job.m_accepted = row.m_accepted.m_ms != 0 ? row.m_accepted : m_now;
  job.m_queued = job.m_accepted;
  job.m_deadline = spec.m_deadline;
  if (job.m_deadline.m_ms == 0 && work.m_default_deadline.count() > 0) {
    job.m_deadline = job.m_accepted + work.m_default_deadline;
  }
  job.m_attained = row.m_attained;
  // Work that must not be repeated is stored as waiting only if it provably has not run.
  job.m_may_have_run = !job.m_once && Raw(row.m_attempt) > 0;
  return index;
}

bool PolicyImpl::IsPinned(const JobEntry& job) const {
  const ClassOfWork& work = m_cluster.Class(job.m_class).m_work;
  return job.m_once || !(work.m_preemptible || work.m_checkpointable);
}

void PolicyImpl::On(const JobSubmitted& event) {
  const JobId id = event.m_job.m_id;
  if (m_cluster.FindJob(id) != kNone || m_recently_ended.contains(id) || Ended(event.m_job.m_state)) return;
  const JobIndex index = AddJob(event.m_job);
  const JobEntry& job = m_cluster.Job(index);
  if (!m_cluster.Account(job.m_account).m_configured || !m_cluster.Class(job.m_class).m_configured) {
    Refuse(index, "Its market, client account or class of work was closed before it could run.");
    return;
  }
  m_waiting.Insert(index);
  m_new_jobs.push_back(index);
}

void PolicyImpl::On(const JobRestored& event) {
  const Job& row = event.m_job;
  if (m_cluster.FindJob(row.m_id) != kNone || m_recently_ended.contains(row.m_id) || Ended(row.m_state)) return;
  const JobIndex index = AddJob(row);
  const bool held = row.m_state == JobState::kStarting || row.m_state == JobState::kRunning;
  m_pass_due = true;
  m_repair_due = true;
  if (held && !row.m_placements.empty()) return RestoreParts(index, row);
  if (held) {
    m_cluster.Job(index).m_may_have_run = true;
    return HandleStopped(index);
  }
  m_waiting.Insert(index);
}

void PolicyImpl::RestoreParts(JobIndex index, const Job& row) {
  JobEntry& job = m_cluster.Job(index);
  GangPlacement place;
  for (const Placement& placement : row.m_placements) {
    place.push_back({m_cluster.InternWorker(placement.m_worker), placement.m_tasks});
  }
  const bool running = row.m_state == JobState::kRunning;
  job.m_phase = running ? Phase::kRunning : Phase::kStarting;
  job.m_may_have_run = job.m_may_have_run || running;
  job.m_started = row.m_started.m_ms != 0 ? row.m_started : m_now;
  Hold(index, PartsOf(index, place, job.m_shape.m_task));
}

//-------------------------------------------------------------------------------------------------
// Holding accelerators
//-------------------------------------------------------------------------------------------------

void PolicyImpl::Hold(JobIndex index, std::vector<Part> parts) {
  m_cluster.Allocate(index, std::move(parts));
  const JobEntry& job = m_cluster.Job(index);
  for (const Part& part : job.m_parts) UpdateCertificate(job, part, 1);
}

// Adds a part to the certificate's pins and sums, or removes it from them.
void PolicyImpl::UpdateCertificate(const JobEntry& job, const Part& part, int sign) {
  const Pin pin{part.m_worker, part.m_allocated};
  if (job.m_pinned) sign > 0 ? m_certificate.AddPin(job.m_account, pin) : m_certificate.RemovePin(job.m_account, pin);
  const int held = sign * part.m_allocated.m_accelerators;
  const bool costly = !job.m_pinned && !m_cluster.Class(job.m_class).m_work.m_checkpointable;
  m_certificate.AddHeld(job.m_account, part.m_worker, held, costly ? held : 0);
}

void PolicyImpl::ReleaseParts(JobIndex index) {
  const JobEntry& job = m_cluster.Job(index);
  if (job.m_parts.empty()) return;
  for (const Part& part : job.m_parts) UpdateCertificate(job, part, -1);
  m_repair_due = m_repair_due || (job.m_pinned && m_certificate.Missing() > 0);
  m_cluster.Release(index);
  OnRoomFreed();
}

void PolicyImpl::ReleasePartOn(JobIndex index, WorkerIndex worker) {
  const JobEntry& job = m_cluster.Job(index);
  for (const Part& part : job.m_parts) {
    if (part.m_worker == worker) UpdateCertificate(job, part, -1);
  }
  m_cluster.ReleasePart(index, worker);
}

JobIndex PolicyImpl::FindActiveAttempt(JobId id, Attempt attempt) const {
  const JobIndex index = m_cluster.FindJob(id);
  if (index == kNone) return kNone;
  const JobEntry& job = m_cluster.Job(index);
  return job.Holds() && job.m_attempt == attempt ? index : kNone;
}

//-------------------------------------------------------------------------------------------------
// Answers
//-------------------------------------------------------------------------------------------------

void PolicyImpl::On(const GangStarted& event) {
  const JobIndex index = FindActiveAttempt(event.m_job, event.m_attempt);
  if (index == kNone) return;
  JobEntry& job = m_cluster.Job(index);
  job.m_may_have_run = true;
  if (job.m_phase != Phase::kStarting) return;
  job.m_phase = Phase::kRunning;
  job.m_started = m_now;
}

void PolicyImpl::On(const GangStartFailed& event) {
  const JobIndex index = FindActiveAttempt(event.m_job, event.m_attempt);
  if (index == kNone) return;
  JobEntry& job = m_cluster.Job(index);
  if (job.m_phase == Phase::kRunning) return;  // A late event: the job has started in the meantime.
  job.m_may_have_run = job.m_may_have_run || event.m_may_have_run;
  const bool stopping = job.m_phase == Phase::kStopping;
  if (!stopping) job.m_after_stop = AfterStop::kRequeue;
  if (stopping && job.m_after_stop == AfterStop::kUncertain && !job.m_may_have_run) {
    job.m_after_stop = AfterStop::kRequeue;
  }
  job.m_not_before = m_now + kStartBackoff;
  const WorkerIndex failed_worker = event.m_failed_worker.Empty() ? kNone : m_cluster.FindWorker(event.m_failed_worker);
  if (failed_worker != kNone && !stopping) CountFailure(index, failed_worker, "a start failed there");
  ReleaseParts(index);
  HandleStopped(index);
}

void PolicyImpl::On(const TaskFailed& event) {
  const JobIndex index = FindActiveAttempt(event.m_job, event.m_attempt);
  if (index == kNone) return;
  JobEntry& job = m_cluster.Job(index);
  job.m_may_have_run = true;
  const WorkerIndex worker = m_cluster.FindWorker(event.m_worker);
  if (job.m_failure_counted || worker == kNone) return;
  job.m_failure_counted = true;
  if (job.m_phase == Phase::kStopping) return;
  job.m_after_stop = AfterStop::kRequeue;
  CountFailure(index, worker, event.m_reason);
  job.m_not_before = m_now + kFailureBackoff * std::max(1, job.m_failures);
  if (job.m_once) {
    job.m_after_stop = AfterStop::kRefuse;
    job.m_why = "It failed on " + event.m_worker.m_value + " (" + event.m_reason + ") and must not be repeated.";
  }
  Stop(index, StopReason::kPartLost, false);
}

// Counts a failure against both the worker and the job; which of them is at fault shows later.
void PolicyImpl::CountFailure(JobIndex index, WorkerIndex worker, const std::string& reason) {
  JobEntry& job = m_cluster.Job(index);
  const bool quarantine = m_health.RecordFailure(index, worker);
  if (quarantine) QuarantineFailing(worker, "Every task it started lately failed, the last one with: " + reason + ".");
  if (job.m_once || !m_health.FailsEverywhere(job)) return;
  job.m_after_stop = AfterStop::kRefuse;
  job.m_why = "It failed " + std::to_string(job.m_all_failures) + " times, on " +
              std::to_string(job.m_failed_on.size()) + " workers that run other jobs; the last time with: " + reason +
              ".";
}

void PolicyImpl::On(const GangFinished& event) {
  const JobIndex index = FindActiveAttempt(event.m_job, event.m_attempt);
  if (index == kNone) return;
  const JobEntry& job = m_cluster.Job(index);
  m_estimator.ObserveRun(job, job.m_attained + (m_now - job.m_started));
  m_health.RecordSuccess(job);
  ReleaseParts(index);
  End(index);
}

void PolicyImpl::On(const GangStopped& event) {
  const JobIndex index = FindActiveAttempt(event.m_job, event.m_attempt);
  if (index == kNone) return;
  JobEntry& job = m_cluster.Job(index);
  if (job.m_phase == Phase::kStarting || job.m_phase == Phase::kRunning) job.m_after_stop = AfterStop::kRequeue;
  job.m_may_have_run = true;
  if (event.m_checkpointed) job.m_attained += m_now - job.m_started;
  ReleaseParts(index);
  HandleStopped(index);
}

void PolicyImpl::On(const JobCancelled& event) {
  const JobIndex index = m_cluster.FindJob(event.m_job);
  if (index == kNone) return;
  JobEntry& job = m_cluster.Job(index);
  if (!job.Holds()) return End(index);
  const bool stopping = job.m_phase == Phase::kStopping;
  if (stopping && job.m_after_stop == AfterStop::kUncertain) return;
  job.m_after_stop = AfterStop::kForget;
  job.m_stop_reason = StopReason::kCancelled;  // Also for a pending stop, which may have to be sent again.
  if (!stopping) Stop(index, StopReason::kCancelled, false);
}

//-------------------------------------------------------------------------------------------------
// Stops and ends
//-------------------------------------------------------------------------------------------------

void PolicyImpl::Stop(JobIndex index, StopReason reason, bool checkpoint) {
  JobEntry& job = m_cluster.Job(index);
  m_cluster.MarkStopping(index);
  job.m_stop_requested = m_now;
  job.m_stop_reason = reason;
  job.m_stop_checkpoint = checkpoint;
  m_decisions.push_back(StopGang{job.m_id, job.m_attempt, reason, checkpoint});
}

void PolicyImpl::StopFor(JobIndex index, StopReason reason, AfterStop after_stop, std::string why) {
  JobEntry& job = m_cluster.Job(index);
  job.m_after_stop = after_stop;
  job.m_why = std::move(why);
  const bool checkpoint = after_stop == AfterStop::kRequeue && m_cluster.Class(job.m_class).m_work.m_checkpointable;
  Stop(index, reason, checkpoint && job.m_phase == Phase::kRunning);
}

void PolicyImpl::HandleStopped(JobIndex index) {
  JobEntry& job = m_cluster.Job(index);
  ClearCall(index);
  job.m_phase = Phase::kWaiting;
  job.m_failure_counted = false;
  const bool may_run_again = !job.m_once || !job.m_may_have_run;
  switch (job.m_after_stop) {
    case AfterStop::kForget:
      return End(index);
    case AfterStop::kRefuse:
      return Refuse(index, std::exchange(job.m_why, {}));
    case AfterStop::kRequeue:
      if (may_run_again) return Requeue(index);
      break;
    case AfterStop::kUncertain:
      break;
  }
  std::string why =
      job.m_why.empty() ? "It must not be repeated, and may have run before it was lost sight of." : job.m_why;
  m_decisions.push_back(MarkUncertain{job.m_id, std::move(why)});
  End(index);
}

void PolicyImpl::ClearCall(JobIndex index) {
  JobEntry& job = m_cluster.Job(index);
  if (!job.m_started_by_call) return;
  job.m_started_by_call = false;
  m_cluster.Account(job.m_account).m_started_by_call -= job.Accelerators();
}

void PolicyImpl::Requeue(JobIndex index) {
  JobEntry& job = m_cluster.Job(index);
  const AccountEntry& account = m_cluster.Account(job.m_account);
  if (!account.m_configured && m_markets.contains(account.m_market)) {
    return Refuse(index, "Its client account was closed after it had been stopped.");
  }
  job.m_after_stop = AfterStop::kRequeue;
  job.m_why.clear();
  job.m_queued = m_now;
  m_waiting.Insert(index);
  OnRoomFreed();
}

void PolicyImpl::Refuse(JobIndex index, std::string why) {
  const JobEntry& job = m_cluster.Job(index);
  m_decisions.push_back(RefuseJob{job.m_id, job.m_may_have_run, std::move(why)});
  End(index);
}

void PolicyImpl::End(JobIndex index) {
  const JobId id = m_cluster.Job(index).m_id;
  ClearCall(index);
  m_waiting.Remove(index);
  if (m_cluster.Job(index).m_planned) OnRoomFreed();
  m_plans.Drop(index);
  std::erase(m_new_jobs, index);
  m_cluster.RemoveJob(index);
  m_recently_ended.insert(id);
  m_recently_ended_order.push_back(id);
  if (m_recently_ended_order.size() <= kMaxEndedJobs) return;
  m_recently_ended.erase(m_recently_ended_order.front());
  m_recently_ended_order.pop_front();
}

}  // namespace hickoryquay::policy
