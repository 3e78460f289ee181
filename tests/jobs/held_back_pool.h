// HeldBackPool: a scheduler among workers in racks, some of which are occupied by work that lasts.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::jobs::held_back {

inline const PoolName kPool{"pool"};
inline const PoolName kOtherPool{"other"};
constexpr int kRacks = 3;
constexpr int kRackSize = 8;
constexpr int kWorkers = kRacks * kRackSize;
constexpr int kMostWorkers = kWorkers * 3 / 4;
constexpr int kAccelerators = 8;  // Of each worker.
constexpr Millis kBound{2'500};
constexpr Millis kRound{100};

inline Now At(Millis since) {
  return {Instant{1'000'000} + since, Instant{1'000'000} + since};
}

inline WorkerId WorkerAt(int index) {
  return WorkerId{"w" + std::to_string(100 + index)};
}

class HeldBackPool : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{});
    ListAll();
  }

 protected:
  static constexpr Resources kWhole{kAccelerators, 16'000 * kAccelerators, 64'000};

  static StepSpec Single(int accelerators) {
    StepSpec step;
    step.m_task = Resources{accelerators, 1'000 * accelerators, 1'000};
    step.m_estimate = Millis{10'000};
    return step;
  }

  static StepSpec Gang(int tasks, int accelerators, bool rack) {
    StepSpec step = Single(accelerators);
    step.m_tasks = tasks;
    step.m_gang = true;
    step.m_rack_local = rack;
    return step;
  }

  static StepSpec Lasting(int accelerators) {
    StepSpec step = Single(accelerators);
    step.m_long_running = true;
    return step;
  }

  void ListAll() {
    for (int i = 0; i < kWorkers; ++i) List(WorkerAt(i), kPool, "r" + std::to_string(i / kRackSize));
  }

  void List(const WorkerId& id, const PoolName& pool, const std::string& rack, const Resources& capacity = kWhole,
            const DomainId& domain = {}, const std::vector<std::string>& labels = {}) {
    WorkerEntry worker;
    worker.m_domain = domain;
    worker.m_labels = labels;
    worker.m_id = id;
    worker.m_pool = pool;
    worker.m_address = "10.100.200.1:8524";
    worker.m_rack = rack;
    worker.m_capacity = capacity;
    m_scheduler->OnWorkerListed(worker, At(m_time));
    m_scheduler->SetWorkerUsable(id, true);
  }

  JobId Submit(const StepSpec& step, int priority, const PoolName& pool = kPool) {
    return SubmitJob(MakeJob({step}, priority, 20.0, pool));
  }

  JobId SubmitSteps(const std::vector<StepSpec>& steps, int priority, double stretch) {
    return SubmitJob(MakeJob(steps, priority, stretch));
  }

  AcceptedJob MakeJob(const std::vector<StepSpec>& steps, int priority, double stretch, const PoolName& pool = kPool) {
    AcceptedJob job;
    job.m_id = JobId{m_next_job++};
    job.m_pool = pool;
    job.m_priority = priority;
    job.m_max_attempts = 3;
    job.m_stretch = stretch;
    job.m_accepted = At(m_time).m_wall;
    job.m_request.m_steps = steps;
    return job;
  }

  JobId SubmitJob(const AcceptedJob& job) {
    m_scheduler->OnJob(job, At(m_time));
    m_last_job = job;
    return job.m_id;
  }

  std::vector<StartCommand> Round() {
    m_scheduler->Decide(At(m_time));
    auto starts = m_scheduler->TakeBatch(store::kMaxTransactionRows, store::kMaxTransactionBytes).m_starts;
    for (const StartCommand& start : starts) {
      m_scheduler->OnStartSent(start, At(m_time));
      m_runs.insert_or_assign(start.m_task, start);
    }
    return starts;
  }

  void Confirm(const std::vector<StartCommand>& starts) {
    for (const StartCommand& start : starts) m_scheduler->OnStartAnswer(start, StartOutcome::kAccepted, At(m_time));
  }

  // Runs an urgent lasting task on that worker, which is the only one that may take it.
  void Occupy(const WorkerId& worker, int accelerators, std::optional<int> millicores = std::nullopt) {
    SetOthersUsable(worker, false);
    StepSpec step = Lasting(accelerators);
    step.m_task.m_millicores = millicores.value_or(step.m_task.m_millicores);
    Submit(step, 0);
    const auto starts = Round();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    Confirm(starts);
    SetOthersUsable(worker, true);
  }

  void OccupyOnePerRack() {
    for (int rack = 0; rack < kRacks; ++rack) Occupy(WorkerAt(rack * kRackSize), 1);
  }

  // Makes each of the workers refuse four starts in a row, so that they rest for 4 s from now on.
  void Rest(const std::set<WorkerId>& workers) {
    for (int i = 0; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(WorkerAt(i), workers.contains(WorkerAt(i)));
    StepSpec step = Single(1);
    step.m_tasks = static_cast<int>(workers.size());
    step.m_max_per_worker = 1;
    const JobId refused = Submit(step, 0);
    for (std::size_t starts = 0; starts < 4 * workers.size(); m_time += kRound) {
      for (const StartCommand& start : Round()) {
        ++starts;
        m_scheduler->OnStartAnswer(start, StartOutcome::kUnhealthy, At(m_time));
      }
    }
    m_scheduler->OnCancel(refused, At(m_time));
    for (int i = 0; i < kWorkers; ++i) m_scheduler->SetWorkerUsable(WorkerAt(i), true);
  }

  void SetOthersUsable(const WorkerId& worker, bool usable) {
    for (int i = 0; i < kWorkers; ++i) {
      if (WorkerAt(i) != worker) m_scheduler->SetWorkerUsable(WorkerAt(i), usable);
    }
  }

  bool Holds(const WorkerId& worker, JobId job) const {
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [&](const auto& run) { return run.first.m_step.m_job == job && run.second.m_worker == worker; });
  }

  // Whatever else runs on its worker runs on.
  void EndRun(const StartCommand& run, EndKind kind) {
    m_runs.erase(run.m_task);
    PollReply reply;
    for (const auto& [task, other] : m_runs) {
      if (other.m_worker == run.m_worker) reply.m_running.push_back({task, other.m_run, "", 100});
    }
    EndedTask& end = reply.m_ended.emplace_back();
    end.m_number = ++m_ends;
    end.m_task = run.m_task;
    end.m_run = run.m_run;
    end.m_kind = kind;
    m_scheduler->OnPollReply(run.m_worker, reply, At(m_time).m_steady, At(m_time));
  }

  void End(JobId job, EndKind kind) {
    std::vector<StartCommand> runs;
    for (const auto& [task, run] : m_runs) {
      if (task.m_step.m_job == job) runs.push_back(run);
    }
    for (const StartCommand& run : runs) EndRun(run, kind);
  }

  // The time from now until the job is placed; empty if it isn't after `most`.
  std::optional<Millis> WaitUntilPlaced(JobId job, Millis most) {
    const Millis since = m_time;
    for (; m_time - since <= most; m_time += kRound) {
      for (const StartCommand& start : Round()) {
        if (start.m_task.m_step.m_job == job) return m_time - since;
      }
    }
    return std::nullopt;
  }

  void CheckStartsInTime(JobId job) { CPPUNIT_ASSERT(WaitUntilPlaced(job, kBound)); }

  // All workers but the last ones are full for good, and no share is kept free.
  void FillAllBut(int workers) {
    SchedulerSettings settings;
    settings.m_min_free_share = settings.m_min_free_share_batch = settings.m_min_free_share_tight = 0.0;
    m_scheduler = std::make_unique<Scheduler>(settings);
    ListAll();
    for (int i = 0; i < kWorkers - workers; ++i) Occupy(WorkerAt(i), kAccelerators, kWhole.m_millicores);
  }

  // Another id answers at its address.
  void LoseWorker(const WorkerId& worker) {
    std::erase_if(m_runs, [&worker](const auto& run) { return run.second.m_worker == worker; });
    m_scheduler->SetWorkerUsable(worker, false);
    m_scheduler->OnWorkerCleared(worker, WorkerLoss::kReplaced, At(m_time));
    m_scheduler->OnWorkerUnlisted(worker);
  }

  std::unique_ptr<Scheduler> m_scheduler;
  Millis m_time{0};
  std::uint64_t m_next_job = 1;
  AcceptedJob m_last_job;
  std::int64_t m_ends = 0;
  std::map<TaskKey, StartCommand> m_runs;
};

}  // namespace hickoryquay::jobs::held_back
