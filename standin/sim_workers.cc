#include "standin/sim_workers.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hickoryquay::standin {

namespace {

using jobs::EndKind;
using jobs::StartOutcome;

constexpr Millis kLookPoll{10};       // How soon a waiting look sees an end.
constexpr Millis kHeldUpFor{20'000};  // Longer than any cut.
constexpr Millis kHeldUpPoll{20};
constexpr Millis kShrinkSlack{4'500};  // The time out of touch, and one heartbeat.
constexpr Millis kClockSlack{1'000};   // Of a lease, beyond the longest one that the worker grants.
constexpr int kEarliestLateMs = 2'000;
constexpr int kLatestLateMs = 12'000;
constexpr double kCoresPerAccelerator = 8.0;

std::string Checkpoint(double saved_ms) {
  return saved_ms > 0.0 ? std::to_string(static_cast<std::int64_t>(saved_ms)) : std::string();
}

}  // namespace

SimWorkers::SimWorkers(TimerService* timers, const Clock* clock, const SimSettings& settings)
    : m_timers(timers), m_clock(clock), m_settings(settings), m_random(settings.m_random_seed) {
  m_tick = m_timers->Every(kTick, [this] { Tick(); });
}

void SimWorkers::Add(const SimWorkerSettings& worker) {
  Worker& added = m_workers[worker.m_entry.m_id];
  added.m_settings = worker;
  added.m_born = m_clock->Wall();
}

void SimWorkers::Kill(const WorkerId& id) {
  Worker& worker = m_workers.at(id);
  worker.m_alive = false;
  const auto runs = std::exchange(worker.m_runs, {});
  for (const auto& [task, run] : runs) {
    CountWaste(run);
    ++m_crashes_under[task];
  }
  for (const auto& [task, run] : runs) BreakGang(task.m_step, run.m_run, EndKind::kBroken, task);
}

void SimWorkers::Crash(const WorkerId& id) {
  Kill(id);
  ++m_workers.at(id).m_incarnation;
}

Instant SimWorkers::Restart(const WorkerId& id) {
  Kill(id);
  Worker& worker = m_workers.at(id);
  worker.m_before.m_epoch = std::max(worker.m_before.m_epoch, worker.m_epoch);
  for (const auto& [task, run] : worker.m_closed) {
    auto& closed = worker.m_before.m_closed[task];
    closed = std::max(closed, run);
  }
  worker.m_before.m_clock_offsets.push_back(worker.m_settings.m_clock_offset);
  worker.m_settings.m_clock_offset = Instant{} - m_clock->Now();
  worker.m_epoch = Epoch{};
  worker.m_lease_until = {};
  worker.m_closed.clear();
  worker.m_ended.clear();
  worker.m_last_end = 0;
  worker.m_recorded_ends = 0;
  worker.m_born = m_clock->Wall();
  ++worker.m_incarnation;
  worker.m_alive = true;
  return worker.m_born;
}

void SimWorkers::SetCapacity(const WorkerId& id, const Resources& capacity) {
  Worker& worker = m_workers.at(id);
  worker.m_shrunk.emplace_back(m_clock->Now() + kShrinkSlack, worker.m_settings.m_entry.m_capacity);
  worker.m_settings.m_entry.m_capacity = capacity;
}

// A start that is held up was due if it was when it was sent.
Resources SimWorkers::CapacityForStarts(const Worker& worker, Instant sent) {
  Resources capacity = worker.m_settings.m_entry.m_capacity;
  for (const auto& [until, before] : worker.m_shrunk) {
    if (sent > until) continue;
    capacity.m_accelerators = std::max(capacity.m_accelerators, before.m_accelerators);
    capacity.m_millicores = std::max(capacity.m_millicores, before.m_millicores);
    capacity.m_memory_mb = std::max(capacity.m_memory_mb, before.m_memory_mb);
  }
  return capacity;
}

//-------------------------------------------------------------------------------------------------
// Calls
//-------------------------------------------------------------------------------------------------

Millis SimWorkers::LateBy() {
  return Millis{std::uniform_int_distribution<>(kEarliestLateMs, kLatestLateMs)(m_random)};
}

void SimWorkers::Start(const jobs::WorkerTarget& target, const jobs::StartCall& call, Millis timeout,
                       jobs::StartCallback callback) {
  const auto found = m_workers.find(target.m_id);
  if (Resets(found)) return After(m_settings.m_latency, [callback] { callback({StartOutcome::kNotSent, {}, {}}); });
  if (found == m_workers.end() || !found->second.m_alive || found->second.m_faults.m_cut) {
    if (found != m_workers.end()) HoldUp(target.m_id, {call, found->second.m_incarnation, m_clock->Now()}, kHeldUpFor);
    return After(timeout, [callback] { callback({StartOutcome::kUnknown, {}, {}}); });
  }
  const WorkerFaults& faults = found->second.m_faults;
  const bool late = Chance(faults.m_late_orders);
  const bool lost = late || Chance(faults.m_lost_answers);
  const Millis on_the_way = m_settings.m_latency / 2;
  const Order order{call, found->second.m_incarnation, m_clock->Now() + (late ? Millis{0} : on_the_way)};
  After(late ? LateBy() : on_the_way, [this, id = target.m_id, order, lost, timeout, callback] {
    Worker& worker = m_workers.at(id);
    if (!worker.m_alive && !lost) After(timeout, [callback] { callback({StartOutcome::kUnknown, {}, {}}); });
    if (!worker.m_alive) return;
    jobs::StartReply reply = CarryOutStart(&worker, order);
    if (worker.m_settings.m_reports_born) reply.m_born = worker.m_born;
    if (!lost) After(m_settings.m_latency / 2, [callback, reply] { callback(reply); });
  });
  if (lost) After(timeout, [callback] { callback({StartOutcome::kUnknown, {}, {}}); });
}

// Bytes that a partition holds up are delivered once it is over, though their sender has given up long ago.
void SimWorkers::HoldUp(const WorkerId& id, const Order& order, Millis left) {
  Worker& worker = m_workers.at(id);
  if (!worker.m_alive || left.count() <= 0) return;
  if (!worker.m_faults.m_cut && !worker.m_faults.m_resets) {
    CarryOutStart(&worker, order);
    return;
  }
  After(kHeldUpPoll, [this, id, order, left] { HoldUp(id, order, left - kHeldUpPoll); });
}

void SimWorkers::Stop(const jobs::WorkerTarget& target, const jobs::StopCall& call, Millis timeout,
                      jobs::StopCallback callback) {
  const auto found = m_workers.find(target.m_id);
  if (Resets(found)) return After(m_settings.m_latency, [callback] { callback(jobs::StopOutcome::kNoAnswer); });
  if (found == m_workers.end() || !found->second.m_alive || found->second.m_faults.m_cut) {
    return After(timeout, [callback] { callback(jobs::StopOutcome::kNoAnswer); });
  }
  const WorkerFaults& faults = found->second.m_faults;
  const bool late = Chance(faults.m_late_orders);
  const bool lost = late || Chance(faults.m_lost_answers);
  After(late ? LateBy() : m_settings.m_latency / 2, [this, id = target.m_id, call, lost, timeout, callback] {
    Worker& worker = m_workers.at(id);
    if (!worker.m_alive && !lost) After(timeout, [callback] { callback(jobs::StopOutcome::kNoAnswer); });
    if (!worker.m_alive) return;
    const jobs::StopOutcome outcome = CarryOutStop(&worker, call);
    if (!lost) After(m_settings.m_latency / 2, [callback, outcome] { callback(outcome); });
  });
  if (lost) After(timeout, [callback] { callback(jobs::StopOutcome::kNoAnswer); });
}

void SimWorkers::Poll(const jobs::WorkerTarget& target, const jobs::PollCall& call, Millis timeout,
                      jobs::PollCallback callback) {
  ++m_looks;
  const auto found = m_workers.find(target.m_id);
  if (Resets(found)) return After(m_settings.m_latency, [callback] { callback(jobs::PollFailure::kRefused); });
  if (found == m_workers.end() || !found->second.m_alive || found->second.m_faults.m_cut) {
    return After(timeout, [callback] { callback(jobs::PollFailure::kNoAnswer); });
  }
  After(m_settings.m_latency / 2, [this, id = target.m_id, call, timeout, callback] {
    Worker& worker = m_workers.at(id);
    if (!worker.m_alive) return After(timeout, [callback] { callback(jobs::PollFailure::kNoAnswer); });
    if (call.m_epoch < worker.m_epoch) {
      return After(m_settings.m_latency / 2, [callback] { callback(jobs::PollFailure::kFenced); });
    }
    worker.m_epoch = call.m_epoch;
    if (call.m_lease_until) ExtendLease(&worker, *call.m_lease_until);
    worker.m_recorded_ends = std::max(worker.m_recorded_ends, call.m_recorded_ends);
    ForgetRecordedEnds(&worker);
    if (!m_settings.m_keeps_recorded_number) worker.m_recorded_ends = 0;
    AnswerLook(id, call, worker.m_incarnation, call.m_wait, callback);
  });
}

void SimWorkers::ForgetRecordedEnds(Worker* worker) {
  std::erase_if(worker->m_ended, [&](const jobs::EndedTask& end) {
    if (end.m_number > worker->m_recorded_ends) return false;
    if (end.m_kind == EndKind::kDone) m_done.emplace(end.m_task, m_clock->Now());
    if (end.m_kind == EndKind::kFailed) m_failed[end.m_task].insert(end.m_run);
    return true;
  });
}

void SimWorkers::AnswerLook(const WorkerId& id, const jobs::PollCall& call, int incarnation, Millis left,
                            const jobs::PollCallback& callback) {
  const Worker& worker = m_workers.at(id);
  if (worker.m_incarnation != incarnation) {  // Its connections broke when it restarted.
    return After(m_settings.m_latency, [callback] { callback(jobs::PollFailure::kNoAnswer); });
  }
  if (!worker.m_alive || worker.m_faults.m_cut || worker.m_faults.m_resets) {
    return After(left + m_settings.m_latency, [callback] { callback(jobs::PollFailure::kNoAnswer); });
  }
  if (left.count() > 0 && worker.m_ended.empty()) {
    return After(kLookPoll, [this, id, call, incarnation, left, callback] {
      AnswerLook(id, call, incarnation, left - kLookPoll, callback);
    });
  }
  After(m_settings.m_latency / 2, [callback, reply = ListOf(worker)] { callback(reply); });
}

void SimWorkers::ListWorkerIds(Millis, jobs::WorkerIdsCallback callback) {
  std::set<WorkerId> lives;
  for (const auto& [id, worker] : m_workers) {
    if (worker.m_alive) lives.insert(id);
  }
  After(m_settings.m_latency, [callback, lives] { callback(lives); });
}

jobs::WorkerTime SimWorkers::ClockOf(const Worker& worker) const {
  return {m_clock->Now().m_ms + worker.m_settings.m_clock_offset.count()};
}

void SimWorkers::ExtendLease(Worker* worker, jobs::WorkerTime until) {
  const jobs::WorkerTime longest{ClockOf(*worker).m_ms + m_settings.m_longest_lease.count()};
  worker->m_lease_until = std::max(worker->m_lease_until, std::min(until, longest));
}

jobs::PollReply SimWorkers::ListOf(const Worker& worker) const {
  jobs::PollReply reply;
  reply.m_clock = ClockOf(worker);
  for (const auto& [task, run] : worker.m_runs) {
    const StepTruth& truth = m_truths.at(task.m_step);
    const double work = static_cast<double>(truth.m_work[static_cast<std::size_t>(task.m_index)].count());
    reply.m_running.push_back(
        {task, run.m_run, Checkpoint(run.m_saved_ms), static_cast<int>(100.0 * run.m_worked_ms / std::max(1.0, work))});
  }
  reply.m_ended = worker.m_ended;
  if (worker.m_settings.m_reports_born) reply.m_born = worker.m_born;
  return reply;
}

bool SimWorkers::IsMeantForEarlier(const Worker& worker, const jobs::StartCall& call, int sent_to) const {
  if (worker.m_incarnation == 0) return false;
  const jobs::WorkerTime latest{ClockOf(worker).m_ms + m_settings.m_longest_lease.count() + kClockSlack.count()};
  return sent_to != worker.m_incarnation || call.m_lease_until > latest;
}

bool SimWorkers::WouldHaveRefused(const Worker& worker, const jobs::StartCall& call) const {
  const Refusals& before = worker.m_before;
  const auto closed = before.m_closed.find(call.m_task);
  if (call.m_epoch < before.m_epoch || (closed != before.m_closed.end() && call.m_run <= closed->second)) return true;
  return std::any_of(before.m_clock_offsets.begin(), before.m_clock_offsets.end(), [&](Millis offset) {
    const jobs::WorkerTime clock{m_clock->Now().m_ms + offset.count()};
    const jobs::WorkerTime earliest{clock.m_ms - kHeldUpFor.count() - m_settings.m_longest_lease.count()};
    return call.m_lease_until <= clock && call.m_lease_until > earliest;
  });
}

bool SimWorkers::HasRoom(const Worker& worker, const jobs::StartCall& call) const {
  const auto truth = m_truths.find(call.m_task.m_step);
  if (truth == m_truths.end()) return true;
  Resources used = truth->second.m_spec.m_task;
  for (const auto& [task, run] : worker.m_runs) used += m_truths.at(task.m_step).m_spec.m_task;
  return used.FitsIn(worker.m_settings.m_entry.m_capacity);
}

jobs::StartReply SimWorkers::CarryOutStart(Worker* worker, const Order& order) {
  const jobs::StartCall& call = order.m_call;
  const jobs::WorkerTime clock = ClockOf(*worker);
  if (call.m_epoch < worker->m_epoch) return {StartOutcome::kFenced, clock, {}};
  worker->m_epoch = call.m_epoch;
  const auto running = worker->m_runs.find(call.m_task);
  if (running != worker->m_runs.end() && running->second.m_run == call.m_run) {
    ExtendLease(worker, call.m_lease_until);
    return {StartOutcome::kAccepted, clock, {}};
  }
  const auto closed = worker->m_closed.find(call.m_task);
  const bool old =
      (closed != worker->m_closed.end() && call.m_run <= closed->second) || running != worker->m_runs.end();
  if (old) {
    ExtendLease(worker, call.m_lease_until);
    return {StartOutcome::kStaleRun, clock, {}};
  }
  if (call.m_lease_until <= clock) return {StartOutcome::kLeaseExpired, clock, {}};
  const bool late = IsMeantForEarlier(*worker, call, order.m_sent_to);
  if (late && !HasRoom(*worker, call)) return {StartOutcome::kNoRoom, clock, {}};
  ExtendLease(worker, call.m_lease_until);
  const bool revived = late && WouldHaveRefused(*worker, call);
  if (!revived) CheckStart(*worker, order);
  if (!m_truths.contains(call.m_task.m_step)) return {StartOutcome::kMalformed, clock, {}};
  ++m_starts;
  ++worker->m_starts;
  Run run;
  run.m_task = call.m_task;
  run.m_run = call.m_run;
  run.m_started = m_clock->Now();
  run.m_revived = revived;
  if (!call.m_checkpoint.empty()) {
    run.m_saved_ms = std::strtod(call.m_checkpoint.c_str(), nullptr);
    run.m_worked_ms = run.m_saved_ms - static_cast<double>(m_settings.m_restore.count());
  }
  worker->m_runs[call.m_task] = run;
  return {StartOutcome::kAccepted, clock, {}};
}

jobs::StopOutcome SimWorkers::CarryOutStop(Worker* worker, const jobs::StopCall& call) {
  if (call.m_epoch < worker->m_epoch) return jobs::StopOutcome::kFenced;
  worker->m_epoch = call.m_epoch;
  auto& closed = worker->m_closed[call.m_task];
  closed = std::max(closed, call.m_run);
  const auto running = worker->m_runs.find(call.m_task);
  if (running != worker->m_runs.end() && running->second.m_run <= call.m_run && !running->second.m_stops_at) {
    running->second.m_stops_at = m_clock->Now() + m_settings.m_stop;
  }
  return jobs::StopOutcome::kStopping;
}

//-------------------------------------------------------------------------------------------------
// What must always hold
//-------------------------------------------------------------------------------------------------

void SimWorkers::Violation(const std::string& what) {
  m_violations.push_back(std::to_string(m_clock->Now().m_ms) + " ms: " + what);
}

void SimWorkers::CheckStart(const Worker& worker, const Order& order) {
  const jobs::StartCall& call = order.m_call;
  const std::string what = jobs::ToText(call.m_task) + " run " + std::to_string(Raw(call.m_run)) + " on " +
                           worker.m_settings.m_entry.m_id.m_value;
  const auto truth = m_truths.find(call.m_task.m_step);
  if (truth == m_truths.end()) return Violation("nobody asked for " + what);
  const jobs::StepSpec& spec = truth->second.m_spec;
  Resources used = spec.m_task;
  int same_step = 1;
  for (const auto& [task, run] : worker.m_runs) {
    if (run.m_revived) continue;
    used += m_truths.at(task.m_step).m_spec.m_task;
    same_step += task.m_step == call.m_task.m_step ? 1 : 0;
  }
  const jobs::WorkerEntry& entry = worker.m_settings.m_entry;
  if (!used.FitsIn(CapacityForStarts(worker, order.m_counted_from))) Violation("over capacity: " + what);
  if (spec.m_max_per_worker > 0 && same_step > spec.m_max_per_worker) Violation("too many of a step: " + what);
  const auto& labels = entry.m_labels;
  const bool labelled =
      spec.m_required_label.empty() || std::find(labels.begin(), labels.end(), spec.m_required_label) != labels.end();
  if (!labelled || entry.m_pool != truth->second.m_pool) Violation("a worker that may not run it: " + what);
  for (const auto& [id, other] : m_workers) {
    const auto run = other.m_runs.find(call.m_task);
    if (run != other.m_runs.end() && !run->second.m_revived) {
      Violation("runs on " + id.m_value + " already: " + what);
    }
  }
  if (m_done.contains(call.m_task)) Violation("done already: " + what);
  const auto failed = m_failed.find(call.m_task);
  if (failed != m_failed.end() && static_cast<int>(failed->second.size()) >= truth->second.m_max_attempts) {
    Violation("out of attempts: " + what);
  }
  const auto crashes = m_crashes.find(call.m_task);
  if (crashes != m_crashes.end() && crashes->second.m_crashes >= kMostCrashes &&
      ++crashes->second.m_starts_after > kMostStartsAfter) {
    Violation("has crashed too many workers: " + what);
  }
  const auto forbidden = m_forbidden.find(call.m_task.m_step.m_job);
  if (forbidden != m_forbidden.end() && order.m_counted_from >= forbidden->second) Violation("cancelled: " + what);
  const auto leaving = m_leaving.find(worker.m_settings.m_entry.m_id);
  if (leaving != m_leaving.end() && order.m_counted_from >= leaving->second) Violation("its worker drains: " + what);
  for (const int earlier : spec.m_after) {
    jobs::StepKey before = call.m_task.m_step;
    before.m_step = earlier;
    const StepTruth& earlier_truth = m_truths.at(before);
    for (int i = 0; i < earlier_truth.m_spec.m_tasks; ++i) {
      if (!m_done_unnoted.contains({before, earlier_truth.m_spec.m_gang ? 0 : i})) Violation("too early: " + what);
    }
  }
}

//-------------------------------------------------------------------------------------------------
// Time
//-------------------------------------------------------------------------------------------------

void SimWorkers::Tick() {
  std::vector<WorkerId> crashed;
  for (auto& [id, worker] : m_workers) {
    if (!worker.m_alive) continue;
    for (const auto& [task, run] : worker.m_runs) {
      if (!Crashes(run)) continue;
      ++m_crashes[task].m_crashes;
      crashed.push_back(id);
      break;
    }
  }
  for (const WorkerId& id : crashed) {
    Crash(id);
    if (m_on_crash) m_on_crash(id);
  }
  for (auto& [id, worker] : m_workers) {
    if (worker.m_alive) MoveOn(&worker, static_cast<double>(kTick.count()));
  }
}

bool SimWorkers::Crashes(const Run& run) const {
  const auto& after = m_truths.at(run.m_task.m_step).m_crash_after;
  return after && run.m_task.m_index == 0 && m_clock->Now() - run.m_started >= *after;
}

int SimWorkers::MostCrashesUnder(JobId job) const {
  int most = 0;
  for (const auto& [task, crashes] : m_crashes_under) {
    if (task.m_step.m_job == job) most = std::max(most, crashes);
  }
  return most;
}

int SimWorkers::CrashesBy(const jobs::TaskKey& task) const {
  const auto found = m_crashes.find(task);
  return found == m_crashes.end() ? 0 : found->second.m_crashes;
}

bool SimWorkers::GangWhole(const Run& run) const {
  const StepTruth& truth = m_truths.at(run.m_task.m_step);
  int there = 0;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, other] : worker.m_runs) {
      there += task.m_step == run.m_task.m_step && other.m_run == run.m_run ? 1 : 0;
    }
  }
  return there == truth.m_spec.m_tasks;
}

// Members of a gang end together, with the slowest.
bool SimWorkers::GangFinished(const Run& run) const {
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, other] : worker.m_runs) {
      if (task.m_step == run.m_task.m_step && other.m_run == run.m_run && !other.m_finished) return false;
    }
  }
  return true;
}

bool SimWorkers::IsRemote(const Run& run, const Worker& on) const {
  const jobs::StepSpec& spec = m_truths.at(run.m_task.m_step).m_spec;
  if (!spec.m_data_rack.empty() && spec.m_data_rack != on.m_settings.m_entry.m_rack) return true;
  if (!spec.m_gang || !spec.m_rack_local) return false;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, other] : worker.m_runs) {
      const bool same = task.m_step == run.m_task.m_step && other.m_run == run.m_run;
      if (same && worker.m_settings.m_entry.m_rack != on.m_settings.m_entry.m_rack) return true;
    }
  }
  return false;
}

void SimWorkers::MoveOn(Worker* worker, double ms) {
  const Instant now = m_clock->Now();
  std::vector<std::pair<jobs::TaskKey, EndKind>> ends;
  const bool lapsed = !worker->m_runs.empty() && worker->m_lease_until <= ClockOf(*worker);
  for (auto& [task, run] : worker->m_runs) {
    const StepTruth& truth = m_truths.at(task.m_step);
    const double work = static_cast<double>(truth.m_work[static_cast<std::size_t>(task.m_index)].count());
    if (lapsed) {
      ends.emplace_back(task, EndKind::kLapsed);
      continue;
    }
    if (run.m_stops_at && now >= *run.m_stops_at) {
      ends.emplace_back(task, EndKind::kStopped);
      continue;
    }
    if (!run.m_working) {
      run.m_working = !truth.m_spec.m_gang || GangWhole(run);
      run.m_remote = IsRemote(run, *worker);
      if (!run.m_working && now - run.m_started >= m_settings.m_gang_timeout) ends.emplace_back(task, EndKind::kAlone);
      if (!run.m_working) continue;
    }
    if (worker->m_faults.m_hangs) continue;
    double speed = worker->m_settings.m_speed / worker->m_faults.m_slowdown;
    if (run.m_remote) speed /= m_settings.m_remote_factor;
    run.m_worked_ms += ms * speed;
    if (truth.m_spec.m_checkpoints) {
      const double every = static_cast<double>(m_settings.m_checkpoint_every.count());
      run.m_saved_ms = std::max(run.m_saved_ms, every * static_cast<int>(run.m_worked_ms / every));
    }
    const jobs::TaskKey faulty_key{task.m_step, truth.m_spec.m_gang ? 0 : task.m_index};
    const bool faulty = static_cast<int>(m_faulty_runs[faulty_key].size()) < truth.m_failing_runs;
    if (worker->m_faults.m_fails || (faulty && run.m_worked_ms >= work / 2)) {
      m_faulty_runs[faulty_key].insert(run.m_run);
      ends.emplace_back(task, EndKind::kFailed);
    } else if (run.m_worked_ms >= work) {
      run.m_finished = true;
      if (!truth.m_spec.m_gang || GangFinished(run)) ends.emplace_back(task, EndKind::kDone);
    }
  }
  for (const auto& [task, kind] : ends) Finish(worker, task, kind);
}

void SimWorkers::Finish(Worker* worker, const jobs::TaskKey& task, EndKind kind) {
  const auto found = worker->m_runs.find(task);
  if (found == worker->m_runs.end()) return;
  const Run run = found->second;
  worker->m_runs.erase(found);
  auto& closed = worker->m_closed[task];
  closed = std::max(closed, run.m_run);
  const jobs::StepSpec& spec = m_truths.at(task.m_step).m_spec;
  if (kind == EndKind::kDone) {
    m_done_unnoted.emplace(task, m_clock->Now());
    if (spec.m_gang) m_done_unnoted.emplace(jobs::TaskKey{task.m_step, 0}, m_clock->Now());
  } else {
    CountWaste(run);
  }
  // A stop keeps the work done so far.
  const double saved = kind == EndKind::kStopped && spec.m_checkpoints ? run.m_worked_ms : run.m_saved_ms;
  worker->m_ended.push_back({++worker->m_last_end, task, run.m_run, kind, Checkpoint(saved)});
  ForgetRecordedEnds(worker);
  if (!spec.m_gang) return;
  BreakGang(task.m_step, run.m_run, kind == EndKind::kDone ? EndKind::kDone : EndKind::kBroken, task);
}

void SimWorkers::CountWaste(const Run& run) {
  const Resources& task = m_truths.at(run.m_task.m_step).m_spec.m_task;
  const double lost = std::max(0.0, run.m_worked_ms - run.m_saved_ms) / 1000.0;
  m_wasted += lost * (static_cast<double>(task.m_millicores) / 1000.0 + kCoresPerAccelerator * task.m_accelerators);
}

void SimWorkers::BreakGang(const jobs::StepKey& step, jobs::RunNumber run, EndKind kind, const jobs::TaskKey& but) {
  const auto truth = m_truths.find(step);
  if (truth == m_truths.end() || !truth->second.m_spec.m_gang) return;
  for (auto& [id, worker] : m_workers) {
    std::vector<jobs::TaskKey> members;
    for (const auto& [task, other] : worker.m_runs) {
      if (task.m_step == step && task != but && other.m_run == run && other.m_working) members.push_back(task);
    }
    for (const jobs::TaskKey& task : members) Finish(&worker, task, kind);
  }
}

int SimWorkers::Running() const {
  int running = 0;
  for (const auto& [id, worker] : m_workers) running += static_cast<int>(worker.m_runs.size());
  return running;
}

int SimWorkers::UsedAccelerators() const {
  int used = 0;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, run] : worker.m_runs) used += m_truths.at(task.m_step).m_spec.m_task.m_accelerators;
  }
  return used;
}

std::optional<Instant> SimWorkers::DoneAt(const jobs::TaskKey& task) const {
  const auto found = m_done_unnoted.find(task);
  return found == m_done_unnoted.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace hickoryquay::standin
