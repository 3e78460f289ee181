// World: a scheduler among simulated jobs and workers, with faults on demand.
//
// What fits is judged from the simulated workers, not from what the scheduler believes of them.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "hickoryquay/jobs/evacuation.h"
#include "hickoryquay/store/row_store.h"
#include "tests/jobs/progress_parts.h"

namespace hickoryquay::jobs::progress {

class World {
 public:
  World() {
    for (int i = 0; i < kWorkers + kOtherWorkers; ++i) {
      SimWorker& worker = m_workers.emplace_back();
      worker.m_entry.m_id = WorkerId{"w" + std::to_string(100 + i)};
      worker.m_entry.m_pool = i < kWorkers ? kPool : kOtherPool;
      worker.m_entry.m_address = "10.100.200.1:" + std::to_string(8'000 + i);
      worker.m_entry.m_rack = "r" + std::to_string(i / kRackSize);
      worker.m_entry.m_domain = DomainId{"d" + std::to_string(i / kRackSize % 2)};
      if (i % 3 == 0) worker.m_entry.m_labels = {"large"};
      worker.m_entry.m_capacity = FullCapacity();
      worker.m_entry.m_born = Instant{1'000};
    }
    auto configuration = std::make_shared<QueueConfiguration>();
    configuration->m_accounts = {{AccountId{"a0"}, {}, 32}, {AccountId{"a1"}, {}, 0}};
    Queue queue;
    queue.m_pool = kPool;
    queue.m_stretch = 1.5;
    configuration->m_queues = {queue};
    m_configuration = configuration;
    TakeOver();
  }

  void Apply(const Event& event) {
    using Action = void (World::*)(int);
    static constexpr Action kActions[] = {
        &World::Submit,      &World::Submit,     &World::Submit, &World::Submit,   &World::Submit,
        &World::Submit,      &World::Silence,    &World::Answer, &World::Refuse,   &World::LoseAnswers,
        &World::Fail,        &World::Crash,      &World::Unlist, &World::Relist,   &World::Drain,
        &World::Shrink,      &World::SlowDown,   &World::Cool,   &World::Evacuate, &World::LoseDomain,
        &World::LiftDomains, &World::TakeOverBy, &World::Cancel, &World::Mend,
    };
    static_assert(std::size(kActions) == kKinds);
    (this->*kActions[static_cast<std::size_t>(event.m_kind)])(event.m_choice);
    for (int i = 0; i < event.m_rounds; ++i) Round();
  }

  // Ends all faults and plays on until all work that ends has ended.
  void CalmDown() {
    for (int i = 0; i < kWorkers + kOtherWorkers; ++i) Mend(i);
    LiftDomains(0);
    m_crashing = false;
    const auto answers = [this](const SimWorker& worker) { return Answers(worker); };
    const Millis returned = m_time + ReturnSettings{}.m_step * ReturnSettings{}.m_steps;
    while (m_time < returned || !std::all_of(m_workers.begin(), m_workers.end(), answers)) Round();
    m_calm = m_time;
    for (int i = 0; i < 200; ++i) Round();
    for (auto& [id, job] : m_jobs) {
      if (Lasts(job)) CancelJob(id);
    }
    while (m_fault.empty() && m_time - *m_calm < kLongestDay && !AllEnded()) Round();
    if (m_fault.empty() && !AllEnded()) m_fault = "not ended: " + DescribeOpen();
  }

  const std::string& Fault() const { return m_fault; }

  static constexpr int kKinds = 24;

 private:
  static Resources FullCapacity() { return Resources{kAccelerators, 1'000 * kCores, 256'000}; }

  Now At() const { return {Instant{1'000'000} + m_time, Instant{1'000'000} + m_time}; }
  SimWorker& Choose(int choice) { return m_workers[static_cast<std::size_t>(choice) % m_workers.size()]; }
  static bool Lasts(const SimJob& job) { return job.m_job.m_request.m_steps.front().m_long_running; }

  //-------------------------------------------------------------------------------------------------
  // Events
  //-------------------------------------------------------------------------------------------------

  void Submit(int choice) {
    if (m_next_job > kMostJobs) return;
    std::minstd_rand random(static_cast<std::uint32_t>(choice + 1));
    random.discard(3);
    const auto pick = [&random](int below) { return static_cast<int>(random() / 7 % static_cast<unsigned>(below)); };
    SimJob job;
    AcceptedJob& accepted = job.m_job;
    accepted.m_id = JobId{m_next_job++};
    accepted.m_account = AccountId{pick(2) == 0 ? "a0" : "a1"};
    accepted.m_accepted = At().m_wall;
    accepted.m_pool = pick(6) == 0 ? kOtherPool : kPool;
    accepted.m_priority = pick(3);
    accepted.m_max_attempts = 1 + pick(4);
    accepted.m_stretch = pick(2) == 0 ? 1.5 : 20.0;
    const bool lasts = pick(5) == 0;
    const int steps = lasts ? 1 : 1 + pick(3);
    for (int i = 0; i < steps; ++i) {
      StepSpec step;
      const int accelerators = std::vector{0, 1, 4, 8}[static_cast<std::size_t>(pick(4))];
      step.m_task = Resources{accelerators, 1'000 * (1 + 2 * accelerators + pick(8)), 1'000};
      step.m_estimate = Millis{1'000 * (1 + pick(15))};
      step.m_tasks = 1 + pick(8);
      step.m_gang = !lasts && pick(2) == 0;
      step.m_rack_local = step.m_gang && pick(3) > 0;
      step.m_checkpoints = pick(2) == 0;
      step.m_long_running = lasts;
      if (pick(5) == 0) step.m_required_label = "large";
      if (pick(4) == 0) step.m_data_rack = "r" + std::to_string(pick(kRacks));
      if (pick(4) == 0) step.m_max_per_worker = 1 + pick(2);
      if (i > 0 && pick(2) == 0) step.m_after = {i - 1};
      accepted.m_request.m_steps.push_back(step);
    }
    job.m_behaviour.m_lasts = Millis{500 + 1'000 * pick(20)};
    job.m_behaviour.m_fails = pick(12) == 0;
    job.m_behaviour.m_crashes = pick(12) == 0;
    m_scheduler->OnJob(accepted, At());
    m_jobs.emplace(accepted.m_id, std::move(job));
  }

  void Silence(int choice) { Choose(choice).m_silent = true; }
  void Answer(int choice) { Choose(choice).m_silent = false; }
  void Refuse(int choice) { Choose(choice).m_refuses = true; }
  void LoseAnswers(int choice) { Choose(choice).m_loses_answers = true; }
  void Fail(int choice) { Choose(choice).m_fails = true; }
  void Crash(int choice) { Restart(&Choose(choice)); }

  void Unlist(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_listed = false;
    m_scheduler->OnWorkerUnlisted(worker.m_entry.m_id);
  }

  void Relist(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_listed = true;
    List(worker);
  }

  void Drain(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_entry.m_draining = true;
    worker.m_entry.m_remaining = Millis{5'000};
    List(worker);
  }

  void Shrink(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_entry.m_capacity = Resources{2, 8'000, 16'000};
    List(worker);
  }

  void SlowDown(int choice) { Choose(choice).m_slowdown = 8; }

  void Cool(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_entry.m_cold_left = Millis{8'000};
    List(worker);
  }

  void Evacuate(int choice) { m_scheduler->SetEvacuated(m_evacuated = {DomainOf(choice)}, At()); }
  void LoseDomain(int choice) { m_scheduler->SetLost(m_lost = {DomainOf(choice)}, At()); }

  void LiftDomains(int /*choice*/) {
    m_scheduler->SetEvacuated(m_evacuated = {}, At());
    m_scheduler->SetLost(m_lost = {}, At());
  }

  static DomainId DomainOf(int choice) { return DomainId{"d" + std::to_string(choice % 2)}; }

  void TakeOverBy(int choice) {
    if (choice % 2 == 0) m_scheduler->Decide(At());  // What is decided now was never stored.
    TakeOver();
  }

  void Cancel(int choice) {
    if (m_jobs.empty()) return;
    CancelJob(std::next(m_jobs.begin(), static_cast<std::ptrdiff_t>(static_cast<std::size_t>(choice) % m_jobs.size()))
                  ->first);
  }

  void CancelJob(JobId id) {
    m_jobs.at(id).m_cancelled = true;
    m_scheduler->OnCancel(id, At());
  }

  // Ends all that is wrong with the worker.
  void Mend(int choice) {
    SimWorker& worker = Choose(choice);
    worker.m_silent = worker.m_refuses = worker.m_loses_answers = worker.m_fails = false;
    worker.m_slowdown = 1;
    worker.m_entry.m_capacity = FullCapacity();
    worker.m_entry.m_draining = false;
    worker.m_entry.m_remaining.reset();
    worker.m_entry.m_cold_left.reset();
    worker.m_listed = true;
    List(worker);
  }

  //-------------------------------------------------------------------------------------------------
  // Workers
  //-------------------------------------------------------------------------------------------------

  void List(SimWorker& worker) {
    if (worker.m_listed) m_scheduler->OnWorkerListed(worker.m_entry, At());
  }

  void Restart(SimWorker* worker) {
    worker->m_runs.clear();
    worker->m_highest.clear();
    worker->m_ended.clear();
    worker->m_last_end = 0;
    worker->m_entry.m_born = At().m_wall;
    worker->m_back = m_time + kRestart;
  }

  bool Answers(const SimWorker& worker) const { return !worker.m_silent && m_time >= worker.m_back; }

  void End(SimWorker* worker, const TaskKey& task, EndKind kind) {
    const auto run = worker->m_runs.find(task);
    worker->m_ended.push_back({++worker->m_last_end, task, run->second.m_run, kind, {}});
    worker->m_runs.erase(run);
    if (kind == EndKind::kDone) m_jobs.at(task.m_step.m_job).m_done.insert(task);
  }

  const StepSpec& SpecOf(const TaskKey& task) const {
    return m_jobs.at(task.m_step.m_job).m_job.m_request.m_steps[static_cast<std::size_t>(task.m_step.m_step)];
  }

  // How much slower than usual the task works; 0: it makes no progress. A gang works while all of its members run, at
  // the pace of the slowest.
  int SlowdownOf(const TaskKey& task, RunNumber run, const SimWorker& on) const {
    const StepSpec& spec = SpecOf(task);
    if (!spec.m_gang) return on.m_slowdown;
    int members = 0;
    int slowest = 1;
    for (const SimWorker& worker : m_workers) {
      for (const auto& [other, held] : worker.m_runs) {
        if (other.m_step != task.m_step || held.m_run != run) continue;
        ++members;
        slowest = std::max(slowest, worker.m_slowdown);
      }
    }
    return members >= spec.m_tasks ? slowest : 0;
  }

  void Work() {
    std::vector<std::pair<SimWorker*, std::pair<TaskKey, EndKind>>> ends;
    std::vector<SimWorker*> crashed;
    for (SimWorker& worker : m_workers) {
      if (worker.m_silent && m_time - worker.m_heard >= kLease) {
        while (!worker.m_runs.empty()) End(&worker, worker.m_runs.begin()->first, EndKind::kLapsed);
      }
      for (auto& [task, run] : worker.m_runs) {
        const SimJob& job = m_jobs.at(task.m_step.m_job);
        if (job.m_behaviour.m_crashes && m_crashing && m_time - run.m_since >= Millis{300}) crashed.push_back(&worker);
        const int slowdown = SlowdownOf(task, run.m_run, worker);
        if (slowdown > 0) run.m_worked += kRound / slowdown;
        if (Lasts(job) || run.m_worked < job.m_behaviour.m_lasts) continue;
        ends.push_back(
            {&worker, {task, job.m_behaviour.m_fails || worker.m_fails ? EndKind::kFailed : EndKind::kDone}});
      }
    }
    // A gang of which a member fails is not done: the others go on until they are stopped.
    std::set<StepKey> failed;
    for (const auto& [worker, end] : ends) {
      if (end.second == EndKind::kFailed && SpecOf(end.first).m_gang) failed.insert(end.first.m_step);
    }
    for (const auto& [worker, end] : ends) {
      if (end.second == EndKind::kFailed || !failed.contains(end.first.m_step)) End(worker, end.first, end.second);
    }
    for (SimWorker* worker : crashed) {
      if (m_time >= worker->m_back) Restart(worker);
    }
    std::erase_if(m_delayed, [this](const DelayedStart& start) {
      if (m_time < start.m_arrives) return false;
      if (SimWorker* worker = Find(start.m_command.m_worker)) Execute(worker, start.m_command, start.m_epoch);
      return true;
    });
  }

  SimWorker* Find(const WorkerId& id) {
    const auto found = std::find_if(m_workers.begin(), m_workers.end(),
                                    [&id](const SimWorker& worker) { return worker.m_entry.m_id == id; });
    return found == m_workers.end() ? nullptr : &*found;
  }

  StartOutcome Execute(SimWorker* worker, const StartCommand& start, int epoch) {
    if (epoch < worker->m_epoch) return StartOutcome::kFenced;
    const auto running = worker->m_runs.find(start.m_task);
    if (running != worker->m_runs.end() && running->second.m_run == start.m_run) return StartOutcome::kAccepted;
    if (worker->m_refuses) return StartOutcome::kUnhealthy;
    RunNumber& highest = worker->m_highest[start.m_task];
    if (start.m_run <= highest) return StartOutcome::kStaleRun;
    if (!SpecOf(start.m_task).m_task.FitsIn(FreeOn(*worker))) return StartOutcome::kNoRoom;
    highest = start.m_run;
    worker->m_runs[start.m_task] = {start.m_run, m_time, Millis{0}};
    return StartOutcome::kAccepted;
  }

  Resources FreeOn(const SimWorker& worker) const {
    Resources free = worker.m_entry.m_capacity;
    for (const auto& [task, run] : worker.m_runs) free -= SpecOf(task).m_task;
    return free;
  }

  int Percent(const TaskKey& task, const SimRun& run) const {
    const SimJob& job = m_jobs.at(task.m_step.m_job);
    if (Lasts(job)) return 100;
    return static_cast<int>(100 * run.m_worked.count() / job.m_behaviour.m_lasts.count());
  }

  void Poll(SimWorker* worker) {
    const WorkerId& id = worker->m_entry.m_id;
    if (!Answers(*worker)) {
      if (!std::exchange(worker->m_known_silent, true)) m_scheduler->SetWorkerUsable(id, false);
      m_scheduler->OnWorkerSilent(id, At());
      const bool over = m_time - worker->m_heard >= kLease + kLease / 10;
      if (over && m_scheduler->IsBusy(id)) m_scheduler->OnWorkerCleared(id, WorkerLoss::kLeaseOver, At());
      return;
    }
    worker->m_known_silent = false;
    worker->m_heard = m_time;
    worker->m_epoch = m_epoch;
    PollReply reply;
    reply.m_born = worker->m_entry.m_born;
    reply.m_ended = worker->m_ended;
    for (const auto& [task, run] : worker->m_runs) reply.m_running.push_back({task, run.m_run, {}, Percent(task, run)});
    m_scheduler->SetWorkerUsable(id, true);
    m_scheduler->OnPollReply(id, reply, At().m_steady, At());
    List(*worker);  // Its row names the incarnation that answers.
  }

  //-------------------------------------------------------------------------------------------------
  // Driver
  //-------------------------------------------------------------------------------------------------

  void Round() {
    if (!m_fault.empty()) return;
    m_time += kRound;
    Work();
    for (SimWorker& worker : m_workers) Poll(&worker);
    m_scheduler->Decide(At());
    CheckExplained();
    Batch batch = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes);
    for (RowChange& row : batch.m_rows) {
      row.m_value ? void(m_rows[row.m_key] = *row.m_value) : void(m_rows.erase(row.m_key));
    }
    for (const RecordedEnds& ends : batch.m_recorded_ends) {
      SimWorker* worker = Find(ends.m_worker);
      if (worker == nullptr || ends.m_born != worker->m_entry.m_born) continue;
      std::erase_if(worker->m_ended, [&ends](const EndedTask& end) { return end.m_number <= ends.m_number; });
    }
    for (const StartCommand& start : batch.m_starts) Send(start);
    for (const StartCommand& start : m_scheduler->TakeResends(At().m_steady)) Send(start);
    for (const StopCommand& stop : m_scheduler->TakeStops(At())) Send(stop);
    CheckProgress();
  }

  void Send(const StartCommand& start) {
    if (!m_scheduler->MaySend(start)) return m_scheduler->OnStartWithheld(start, At());
    m_scheduler->OnStartSent(start, At());
    SimWorker* worker = Find(start.m_worker);
    if (!Answers(*worker)) {
      m_delayed.push_back({start, m_epoch, m_time + Millis{2'500}});
      return m_scheduler->OnStartAnswer(start, StartOutcome::kUnknown, At());
    }
    const StartOutcome outcome = Execute(worker, start, m_epoch);
    m_scheduler->OnStartAnswer(start, worker->m_loses_answers ? StartOutcome::kUnknown : outcome, At());
  }

  void Send(const StopCommand& stop) {
    SimWorker* worker = Find(stop.m_worker);
    if (!Answers(*worker)) return m_scheduler->OnStopAnswer(stop, StopOutcome::kNoAnswer, At());
    RunNumber& highest = worker->m_highest[stop.m_task];
    highest = std::max(highest, stop.m_run);
    const auto running = worker->m_runs.find(stop.m_task);
    if (running != worker->m_runs.end() && running->second.m_run == stop.m_run)
      End(worker, stop.m_task, EndKind::kStopped);
    m_scheduler->OnStopAnswer(stop, StopOutcome::kStopping, At());
  }

  // A new leader knows what is stored, and what the platform lists.
  void TakeOver() {
    ++m_epoch;
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    m_scheduler->SetConfiguration(m_configuration);
    for (const auto& [id, job] : m_jobs) m_scheduler->RestoreJob(job.m_job);
    for (const auto& [key, value] : m_rows) {
      const auto id = ParseHexJobId(key);
      if (!id) continue;
      const PhaseRow phase = ValueOf(ReadPhaseRow(value));
      m_scheduler->RestorePhase(*id, phase.m_phase, phase.m_since);
    }
    for (const auto& [key, value] : m_rows) {
      if (const auto row = ParseStepRowKey(key)) m_scheduler->RestoreStep(ValueOf(ReadStepRow(*row, value)));
    }
    for (SimWorker& worker : m_workers) {
      List(worker);
      worker.m_known_silent = false;
    }
    m_scheduler->SetEvacuated(m_evacuated, At());
    m_scheduler->SetLost(m_lost, At());
    for (const auto& [id, job] : m_jobs) {
      if (job.m_cancelled) m_scheduler->OnCancel(id, At());
    }
    m_scheduler->EndRestoredJobs(At());
    m_unexplained.clear();
  }

  //-------------------------------------------------------------------------------------------------
  // Checks
  //-------------------------------------------------------------------------------------------------

  void CheckExplained() {
    std::map<JobId, Millis> unexplained;
    for (const IdleJob& idle : m_scheduler->IdleJobs(kMostJobs, At())) {
      if (idle.m_cause != IdleCause::kUnexplained) continue;
      const auto before = m_unexplained.find(idle.m_job);
      const Millis since = before == m_unexplained.end() ? m_time : before->second;
      unexplained[idle.m_job] = since;
      if (m_time - since > kLongestUnexplained && m_fault.empty()) m_fault = "unexplained: " + ToText(idle.m_task);
    }
    m_unexplained = std::move(unexplained);
  }

  bool IsOver(const SimJob& job) const {
    const auto phase = m_scheduler->Phase(job.m_job.m_id);
    return phase && Ended(*phase);
  }

  bool AllEnded() const {
    return std::all_of(m_jobs.begin(), m_jobs.end(),
                       [this](const auto& entry) { return IsOver(entry.second) || !FitsWhenEmpty(entry.second); });
  }

  bool FitsWhenEmpty(const SimJob& job) const {
    const auto& steps = job.m_job.m_request.m_steps;
    return std::all_of(steps.begin(), steps.end(), [&](const StepSpec& step) {
      int room = 0;
      for (const SimWorker& worker : m_workers) {
        if (MayHostStep(worker, job, step)) room += Limit(step, TimesIn(FullCapacity(), step.m_task), 0);
      }
      return room >= (step.m_gang ? step.m_tasks : 1);
    });
  }

  static bool MayHostStep(const SimWorker& worker, const SimJob& job, const StepSpec& step) {
    const auto& labels = worker.m_entry.m_labels;
    const bool labelled =
        step.m_required_label.empty() || std::find(labels.begin(), labels.end(), step.m_required_label) != labels.end();
    return worker.m_listed && labelled && worker.m_entry.m_pool == job.m_job.m_pool;
  }

  static int Limit(const StepSpec& step, int times, int held) {
    return step.m_max_per_worker == 0 ? times : std::clamp(step.m_max_per_worker - held, 0, times);
  }

  bool IsStepDone(const SimJob& job, int step) const {
    const int tasks = job.m_job.m_request.m_steps[static_cast<std::size_t>(step)].m_tasks;
    for (int i = 0; i < tasks; ++i) {
      if (!job.m_done.contains(TaskKey{StepKey{job.m_job.m_id, 0, step}, i})) return false;
    }
    return true;
  }

  bool Runs(JobId id) const {
    return std::any_of(m_workers.begin(), m_workers.end(), [id](const SimWorker& worker) {
      return std::any_of(worker.m_runs.begin(), worker.m_runs.end(),
                         [id](const auto& run) { return run.first.m_step.m_job == id; });
    });
  }

  // A unit of a step whose turn has come fits twice into what is free.
  bool FitsTwice(const SimJob& job) const {
    const auto& steps = job.m_job.m_request.m_steps;
    for (int k = 0; k < static_cast<int>(steps.size()); ++k) {
      const StepSpec& step = steps[static_cast<std::size_t>(k)];
      const bool blocked =
          std::any_of(step.m_after.begin(), step.m_after.end(), [&](int before) { return !IsStepDone(job, before); });
      if (blocked || IsStepDone(job, k)) continue;
      int once = 0;
      int twice = 0;  // A limit per worker holds for each of the two.
      for (const SimWorker& worker : m_workers) {
        if (!MayHostStep(worker, job, step)) continue;
        const auto held = std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const auto& run) {
          return run.first.m_step == StepKey{job.m_job.m_id, 0, k};
        });
        const int fitting = TimesIn(FreeOn(worker), step.m_task);
        once += Limit(step, fitting, static_cast<int>(held));
        twice += Limit(step, fitting, -step.m_max_per_worker);
      }
      const int members = step.m_gang ? step.m_tasks : 1;
      if (once >= members && twice >= 2 * members) return true;
    }
    return false;
  }

  bool IsLightlyUsed(const PoolName& pool) const {
    Resources capacity;
    Resources free;
    for (const SimWorker& worker : m_workers) {
      if (worker.m_entry.m_pool != pool) continue;
      capacity += worker.m_entry.m_capacity;
      free += FreeOn(worker);
    }
    return 2 * free.m_accelerators > capacity.m_accelerators && 2 * free.m_millicores > capacity.m_millicores;
  }

  void CheckProgress() {
    if (!m_calm) return;
    for (const auto& [id, job] : m_jobs) {
      const bool waits = !IsOver(job) && !Runs(id) && FitsTwice(job) && IsLightlyUsed(job.m_job.m_pool);
      if (!waits) {
        m_idle.erase(id);
        continue;
      }
      const Millis since = m_idle.emplace(id, m_time).first->second;
      if (m_time - since > kLongestIdle && m_fault.empty())
        m_fault = "idle at " + std::to_string((m_time - *m_calm).count()) + " ms: " + DescribeOpen();
    }
  }

  std::string DescribeOpen() const {
    std::ostringstream text;
    for (const SimWorker& worker : m_workers) {
      for (const auto& [task, run] : worker.m_runs) {
        text << ToText(task) << " run " << Raw(run.m_run) << " on " << worker.m_entry.m_id.m_value << "; ";
      }
    }
    for (const IdleJob& idle : m_scheduler->IdleJobs(kMostJobs, At())) {
      text << ToText(idle.m_task) << " " << ToString(idle.m_cause) << " on " << idle.m_worker.m_value << ", members "
           << idle.m_members << ", free " << idle.m_room.m_free << ", takeable " << idle.m_room.m_takeable
           << ", resting " << idle.m_room.m_resting << "; ";
    }
    return text.str();
  }

  std::shared_ptr<const QueueConfiguration> m_configuration;
  std::unique_ptr<Scheduler> m_scheduler;
  std::vector<SimWorker> m_workers;
  std::map<JobId, SimJob> m_jobs;
  std::map<std::string, std::string> m_rows;
  std::vector<DelayedStart> m_delayed;
  std::set<DomainId> m_evacuated;
  std::set<DomainId> m_lost;
  std::map<JobId, Millis> m_unexplained;  // Since when.
  std::map<JobId, Millis> m_idle;         // Since when.
  std::optional<Millis> m_calm;           // Since when.
  bool m_crashing = true;
  std::string m_fault;
  Millis m_time{0};
  int m_epoch = 0;
  std::uint64_t m_next_job = 1;
};

}  // namespace hickoryquay::jobs::progress
