// The half of FakeDomain that carries out decisions: starts, stops, progress and failures of attempts.
#include <algorithm>
#include <cmath>
#include <iostream>
#include <set>

#include "bench/policy/fake_domain.h"

namespace hickoryquay::bench {

namespace {

using namespace policy;  // NOLINT(google-build-using-namespace): the whole file speaks that interface.

constexpr double kStartLowMs = 300;
constexpr double kStartHighMs = 1'200;
constexpr double kRestoreMs = 2'000;  // A start from a checkpoint takes this much longer.
constexpr double kSlowStartHighMs = 5'000;
constexpr double kStopLowMs = 500;
constexpr double kStopHighMs = 2'000;
constexpr double kCheckpointLowMs = 2'000;
constexpr double kCheckpointHighMs = 8'000;
constexpr double kFailLowMs = 500;
constexpr double kFailHighMs = 5'000;
constexpr double kOutOfMemoryAfterMs = 90'000;
constexpr double kSlowStartShare = 0.03;
constexpr double kFailedStartShare = 0.005;
constexpr double kLateStopShare = 0.05;
constexpr double kLateStopFactor = 3.0;
constexpr std::uint64_t kPrintedViolations = 10;

}  // namespace

//-------------------------------------------------------------------------------------------------
// Decisions
//-------------------------------------------------------------------------------------------------

void FakeDomain::Broken(const std::string& rule, JobId job) {
  if (++m_recorder->m_violations > kPrintedViolations) return;
  std::cerr << "rule broken at " << m_now.m_ms << " ms, job " << ToString(job) << ": " << rule << '\n';
}

void FakeDomain::Do(const StartGang& start) {
  const auto found = m_jobs.find(start.m_job);
  if (found == m_jobs.end() || found->second.m_state == State::kEnded) {
    return Broken("start of an unknown or ended job", start.m_job);
  }
  JobBook& job = found->second;
  if (std::any_of(job.m_parts.begin(), job.m_parts.end(), [](const Part& part) { return part.m_alive; })) {
    return Broken("start while a part of an earlier attempt runs", start.m_job);
  }
  if (start.m_attempt <= job.m_attempt) return Broken("attempt does not rise", start.m_job);
  if (job.m_once && job.m_ever_ran) return Broken("second run of a job that runs once", start.m_job);
  if (!CheckPlacements(job, start)) return;
  ReleaseParts(start.m_job, &job);
  job.m_attempt = start.m_attempt;
  job.m_state = State::kStarting;
  job.m_done_ms = job.m_kept_ms;
  for (const Placement& placed : start.m_placements) {
    const int worker = m_worker_index.at(placed.m_worker);
    m_workers[worker].m_declared += job.m_plan->m_job.m_spec.m_shape.m_task * placed.m_tasks;
    m_workers[worker].m_jobs[start.m_job] = static_cast<int>(job.m_parts.size());
    job.m_parts.push_back(Part{worker, placed.m_tasks, true, false});
  }
  const bool slow = Uniform(0.0, 1.0) < kSlowStartShare;
  const double restore_ms = job.m_kept_ms > 0.0 ? kRestoreMs : 0.0;
  After(kStartLowMs + restore_ms, (slow ? kSlowStartHighMs : kStartHighMs) + restore_ms,
        [this, id = start.m_job, attempt = start.m_attempt] { FinishStart(id, attempt); });
}

bool FakeDomain::CheckPlacements(const JobBook& job, const StartGang& start) {
  const GangShape& shape = job.m_plan->m_job.m_spec.m_shape;
  int tasks = 0;
  std::set<WorkerId> workers;
  for (const Placement& placed : start.m_placements) {
    const auto index = m_worker_index.find(placed.m_worker);
    if (index == m_worker_index.end() || placed.m_tasks <= 0 || !workers.insert(placed.m_worker).second) {
      Broken("placement on an unknown worker, twice on one, or of no task", start.m_job);
      return false;
    }
    const WorkerState& state = m_workers[index->second];
    if (!(state.m_declared + shape.m_task * placed.m_tasks).FitsIn(state.m_worker.m_capacity)) {
      Broken("worker over its capacity", start.m_job);
      return false;
    }
    tasks += placed.m_tasks;
  }
  if (tasks != shape.m_tasks) {
    Broken("part of a gang", start.m_job);
    return false;
  }
  if (!CheckAdjacency(job, start)) {
    Broken("gang not adjacent", start.m_job);
    return false;
  }
  return true;
}

bool FakeDomain::CheckAdjacency(const JobBook& job, const StartGang& start) const {
  std::set<int> positions;
  std::set<RackId> racks;
  for (const Placement& placed : start.m_placements) {
    const Worker& worker = m_workers[m_worker_index.at(placed.m_worker)].m_worker;
    positions.insert(worker.m_rack_position);
    racks.insert(worker.m_rack);
  }
  switch (job.m_plan->m_job.m_spec.m_shape.m_adjacency) {
    case Adjacency::kWorker:
      return start.m_placements.size() == 1;
    case Adjacency::kRack:
      return racks.size() == 1;
    case Adjacency::kNeighbourRacks:
      return *positions.rbegin() - *positions.begin() < kMaxNeighbourRacks;
    case Adjacency::kAny:
      break;
  }
  return true;
}

void FakeDomain::Do(const StopGang& stop) {
  const auto found = m_jobs.find(stop.m_job);
  if (found == m_jobs.end()) return Broken("stop of an unknown job", stop.m_job);
  JobBook& job = found->second;
  if (job.m_state == State::kEnded || job.m_attempt != stop.m_attempt) return;
  if (job.m_state == State::kStopping || job.m_state == State::kWaiting) return;
  if (job.m_once && stop.m_reason != StopReason::kCancelled && stop.m_reason != StopReason::kPartLost) {
    Broken("stop of a job that runs once", stop.m_job);
  }
  ++m_recorder->m_stops;
  const bool checkpoint = stop.m_checkpoint && job.m_running;
  job.m_state = State::kStopping;
  Advance(&job);
  const double late = Uniform(0.0, 1.0) < kLateStopShare ? kLateStopFactor : 1.0;
  After((checkpoint ? kCheckpointLowMs : kStopLowMs) * late, (checkpoint ? kCheckpointHighMs : kStopHighMs) * late,
        [this, id = stop.m_job, attempt = stop.m_attempt, checkpoint, kept_ms = job.m_done_ms] {
          FinishStop(id, attempt, checkpoint, kept_ms);
        });
}

void FakeDomain::Do(const ThrottleTask& throttle) {
  const auto found = m_jobs.find(throttle.m_job);
  const auto worker = m_worker_index.find(throttle.m_worker);
  if (found == m_jobs.end() || worker == m_worker_index.end()) return;
  JobBook& job = found->second;
  if (job.m_attempt != throttle.m_attempt || !job.m_running) return;
  for (Part& part : job.m_parts) {
    if (part.m_worker != worker->second || !part.m_alive || part.m_throttled) continue;
    m_workers[part.m_worker].m_true_use -= TrueUse(job, part);
    part.m_throttled = true;
    m_workers[part.m_worker].m_true_use += TrueUse(job, part);
    Reload(part.m_worker);
  }
}

void FakeDomain::Do(const RefuseJob& refuse) {
  const auto found = m_jobs.find(refuse.m_job);
  if (found == m_jobs.end() || found->second.m_state == State::kEnded) return;
  JobBook& job = found->second;
  const auto alive = [](const Part& part) { return part.m_alive; };
  if (std::any_of(job.m_parts.begin(), job.m_parts.end(), alive)) Broken("refusal of a job that runs", refuse.m_job);
  if (!refuse.m_ran && job.m_ever_ran) Broken("refused as never run, but it ran", refuse.m_job);
  ++m_recorder->m_refused;
  ReleaseParts(refuse.m_job, &job);
  End(refuse.m_job, &job, false);
}

void FakeDomain::Do(const MarkUncertain& uncertain) {
  const auto found = m_jobs.find(uncertain.m_job);
  if (found == m_jobs.end() || found->second.m_state == State::kEnded) return;
  if (!found->second.m_once) Broken("a repeatable job was left uncertain", uncertain.m_job);
  ++m_recorder->m_uncertain;
  ReleaseParts(uncertain.m_job, &found->second);
  End(uncertain.m_job, &found->second, false);
}

void FakeDomain::Do(const QuarantineWorker& quarantine) {
  m_workers[m_worker_index.at(quarantine.m_worker)].m_quarantined = true;
}

void FakeDomain::Do(const ReleaseWorker& release) {
  m_workers[m_worker_index.at(release.m_worker)].m_quarantined = false;
}

void FakeDomain::Do(const GuaranteeBroken& broken) {
  m_reported_broken[{broken.m_account, broken.m_shape}] = true;
}

void FakeDomain::Do(const GuaranteeRestored& restored) {
  m_reported_broken[{restored.m_account, restored.m_shape}] = false;
}

//-------------------------------------------------------------------------------------------------
// Attempts
//-------------------------------------------------------------------------------------------------

bool FakeDomain::IsCurrent(JobId id, Attempt attempt, State state) {
  const JobBook& job = m_jobs.at(id);
  return job.m_attempt == attempt && job.m_state == state;
}

void FakeDomain::FinishStart(JobId id, Attempt attempt) {
  if (!IsCurrent(id, attempt, State::kStarting)) return;
  JobBook& job = m_jobs.at(id);
  WorkerId culprit;
  for (const Part& part : job.m_parts) {
    if (!part.m_alive || !m_workers[part.m_worker].m_up) culprit = m_workers[part.m_worker].m_worker.m_id;
  }
  if (culprit.Empty() && Uniform(0.0, 1.0) < kFailedStartShare) {
    culprit = m_workers[job.m_parts.front().m_worker].m_worker.m_id;
  }
  if (!culprit.Empty()) {
    EndAttempt(id, &job);
    return Tell(GangStartFailed{id, attempt, culprit, false});
  }
  job.m_state = State::kRunning;
  if (!job.m_ever_ran && job.m_urgency <= 1 && job.m_plan->m_job.m_accepted >= m_plan.m_measure_from) {
    m_recorder->m_urgent_wait_s.Add(static_cast<double>((m_now - job.m_plan->m_job.m_accepted).count()) / 1000.0);
  }
  if (job.m_open_call) {
    m_recorder->m_reclaim_s.Add(static_cast<double>((m_now - job.m_plan->m_job.m_accepted).count()) / 1000.0);
    job.m_open_call = false;
  }
  job.m_ever_ran = true;
  SetRunning(id, &job);
  for (const Part& part : job.m_parts) {
    const bool fails = m_workers[part.m_worker].m_black_hole || job.m_plan->m_fails_everywhere;
    if (!fails) continue;
    After(kFailLowMs, kFailHighMs,
          [this, id, attempt, worker = part.m_worker] { FailPart(id, attempt, worker, "exit code 1"); });
  }
  Tell(GangStarted{id, attempt});
}

void FakeDomain::SetRunning(JobId id, JobBook* job) {
  job->m_running = true;
  job->m_rate = 0.0;
  job->m_rate_since = m_now;
  for (const Part& part : job->m_parts) m_workers[part.m_worker].m_true_use += TrueUse(*job, part);
  for (const Part& part : job->m_parts) Reload(part.m_worker);
  Reschedule(id, job);
}

void FakeDomain::FinishStop(JobId id, Attempt attempt, bool checkpoint, double kept_ms) {
  if (!IsCurrent(id, attempt, State::kStopping)) return;
  JobBook& job = m_jobs.at(id);
  const bool whole = std::all_of(job.m_parts.begin(), job.m_parts.end(), [](const Part& part) { return part.m_alive; });
  const bool kept = checkpoint && whole;
  if (kept) job.m_kept_ms = kept_ms;
  EndAttempt(id, &job);
  Tell(GangStopped{id, attempt, kept});
}

// The job waits again, or has ended where it was cancelled meanwhile.
void FakeDomain::EndAttempt(JobId id, JobBook* job) {
  ReleaseParts(id, job);
  const bool cancelled = job->m_plan->m_cancel_at.m_ms != 0 && job->m_plan->m_cancel_at <= m_now;
  if (cancelled) {
    End(id, job, false);
  } else {
    job->m_state = State::kWaiting;
  }
}

void FakeDomain::Finish(JobId id, std::uint64_t generation) {
  JobBook& job = m_jobs.at(id);
  if (job.m_finish_generation != generation || !job.m_running) return;
  const Attempt attempt = job.m_attempt;
  ReleaseParts(id, &job);
  End(id, &job, true);
  Tell(GangFinished{id, attempt});
}

void FakeDomain::FailPart(JobId id, Attempt attempt, int worker, const std::string& why) {
  JobBook& job = m_jobs.at(id);
  if (job.m_attempt != attempt || job.m_state == State::kEnded) return;
  for (Part& part : job.m_parts) {
    if (part.m_worker != worker || !part.m_alive) continue;
    KillPart(id, &job, &part);
    return Tell(TaskFailed{id, attempt, m_workers[worker].m_worker.m_id, why});
  }
}

void FakeDomain::KillPart(JobId id, JobBook* job, Part* part) {
  if (!part->m_alive) return;
  WorkerState& state = m_workers[part->m_worker];
  Advance(job);
  if (job->m_running) state.m_true_use -= TrueUse(*job, *part);
  state.m_declared -= job->m_plan->m_job.m_spec.m_shape.m_task * part->m_tasks;
  state.m_jobs.erase(id);
  part->m_alive = false;
  Reload(part->m_worker);
  Reschedule(id, job);
}

void FakeDomain::ReleaseParts(JobId id, JobBook* job) {
  for (Part& part : job->m_parts) KillPart(id, job, &part);
  job->m_parts.clear();
  job->m_running = false;
  ++job->m_finish_generation;
}

Resources FakeDomain::TrueUse(const JobBook& job, const Part& part) const {
  Resources task = job.m_plan->m_true_task;
  const Resources& declared = job.m_plan->m_job.m_spec.m_shape.m_task;
  if (part.m_throttled) task.m_millicores = std::min(task.m_millicores, declared.m_millicores);
  return task * part.m_tasks;
}

void FakeDomain::Reload(int worker) {
  WorkerState& state = m_workers[worker];
  for (const auto& [id, part] : state.m_jobs) {
    JobBook& job = m_jobs.at(id);
    if (job.m_running) Reschedule(id, &job);
  }
  if (state.m_out_of_memory || state.m_true_use.m_memory_mb <= state.m_worker.m_capacity.m_memory_mb) return;
  state.m_out_of_memory = true;
  After(kOutOfMemoryAfterMs, kOutOfMemoryAfterMs * 2, [this, worker] { KillForMemory(worker); });
}

void FakeDomain::Advance(JobBook* job) const {
  job->m_done_ms += job->m_rate * static_cast<double>((m_now - job->m_rate_since).count());
  job->m_rate_since = m_now;
}

// A gang is as fast as its slowest part; it stands still when a part is gone.
void FakeDomain::Reschedule(JobId id, JobBook* job) {
  if (!job->m_running) return;
  double rate = 1.0;
  for (const Part& part : job->m_parts) {
    const WorkerState& state = m_workers[part.m_worker];
    const double capacity = static_cast<double>(state.m_worker.m_capacity.m_millicores);
    const double used = static_cast<double>(std::max<std::int64_t>(1, state.m_true_use.m_millicores));
    const double own = static_cast<double>(job->m_plan->m_true_task.m_millicores * part.m_tasks);
    const double throttle = static_cast<double>(TrueUse(*job, part).m_millicores) / std::max(1.0, own);
    rate = std::min(rate, part.m_alive ? throttle * std::min(1.0, capacity / used) : 0.0);
  }
  if (std::abs(rate - job->m_rate) < 1e-12) return;
  Advance(job);
  job->m_rate = rate;
  const std::uint64_t generation = ++job->m_finish_generation;
  if (rate <= 0.0) return;
  const double left_ms = std::max(0.0, static_cast<double>(job->m_plan->m_true_run.count()) - job->m_done_ms) / rate;
  At(m_now + Millis{static_cast<std::int64_t>(std::ceil(left_ms))}, [this, id, generation] { Finish(id, generation); });
}

}  // namespace hickoryquay::bench
