// FakeDomain: the workers of one failure domain under virtual time, at the policy's worker interface.
//
// Carries out the decisions of one scheduler and tells it what happened, late as workers do. Keeps its own books,
// checks the rules of the interface against them and measures from them.
//
// What it models: starts, stops and checkpoints that take time; processors and memory that a task exceeds (a worker
// short of processors slows all down, one short of memory kills the task that exceeds its declaration most); usage
// reports that lag; workers that fail every task; workers lost, leaving and back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "bench/policy/recorder.h"
#include "bench/policy/workload.h"
#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::bench {

class FakeDomain {
 public:
  FakeDomain(const Plan& plan, const DomainPlan& domain, std::uint64_t seed, policy::Scheduler* scheduler,
             Recorder* recorder);

  // Runs the plan and then on until every job has ended, or kDrain has passed.
  void Run();

 private:
  enum class State { kNotYet, kWaiting, kStarting, kRunning, kStopping, kEnded };

  // What one attempt has on one worker.
  struct Part {
    int m_worker = 0;
    int m_tasks = 0;
    bool m_alive = true;
    bool m_throttled = false;
  };

  struct JobBook {
    const PlannedJob* m_plan = nullptr;
    State m_state = State::kNotYet;
    Attempt m_attempt{};
    std::vector<Part> m_parts;
    bool m_running = false;  // All parts were committed and none has finished.
    double m_done_ms = 0.0;  // Of the true run, this attempt's included.
    double m_kept_ms = 0.0;  // Kept by checkpoints.
    double m_rate = 0.0;     // Progress a millisecond.
    Instant m_rate_since;
    std::uint64_t m_finish_generation = 0;  // A finish planned before the last change of rate is void.
    bool m_ever_ran = false;
    bool m_open_call = false;  // A call on a guarantee that has not started.
    bool m_once = false;
    int m_urgency = 0;
  };

  struct WorkerState {
    Worker m_worker;
    bool m_up = true;
    bool m_leaving = false;
    bool m_black_hole = false;
    bool m_quarantined = false;
    Resources m_declared;         // Of living parts.
    Resources m_true_use;         // Of living parts that run.
    std::map<JobId, int> m_jobs;  // Index of the job's part.
    bool m_out_of_memory = false;
  };

  using Action = std::function<void()>;
  struct Planned {
    Instant m_at;
    std::uint64_t m_sequence = 0;
    Action m_action;
    bool operator<(const Planned& other) const {
      return std::tie(other.m_at, other.m_sequence) < std::tie(m_at, m_sequence);
    }
  };

  // Time and events.
  void At(Instant at, Action action);
  void After(double low_ms, double high_ms, Action action);
  double Uniform(double low, double high);
  void Tell(const policy::Event& event);
  void EveryTick();
  void EveryReport(int worker);
  void EverySample();

  // Jobs arriving and ending.
  void Accept(const PlannedJob& planned);
  void OpenCall(JobBook* job);
  void CheckCall(JobId id);
  void Cancel(JobId id);
  void End(JobId id, JobBook* job, bool finished);
  void RecordLeftovers();

  // Decisions.
  void Do(const policy::StartGang& start);
  void Do(const policy::StopGang& stop);
  void Do(const policy::ThrottleTask& throttle);
  void Do(const policy::RefuseJob& refuse);
  void Do(const policy::MarkUncertain& uncertain);
  void Do(const policy::QuarantineWorker& quarantine);
  void Do(const policy::ReleaseWorker& release);
  void Do(const policy::GuaranteeBroken& broken);
  void Do(const policy::GuaranteeRestored& restored);
  void Broken(const std::string& rule, JobId job);
  bool CheckPlacements(const JobBook& job, const policy::StartGang& start);
  bool CheckAdjacency(const JobBook& job, const policy::StartGang& start) const;

  // Attempts.
  bool IsCurrent(JobId id, Attempt attempt, State state);
  void FinishStart(JobId id, Attempt attempt);
  void FinishStop(JobId id, Attempt attempt, bool checkpoint, double kept_ms);
  void Finish(JobId id, std::uint64_t generation);
  void FailPart(JobId id, Attempt attempt, int worker, const std::string& why);
  void KillPart(JobId id, JobBook* job, Part* part);
  void EndAttempt(JobId id, JobBook* job);
  void ReleaseParts(JobId id, JobBook* job);
  Resources TrueUse(const JobBook& job, const Part& part) const;
  void SetRunning(JobId id, JobBook* job);
  void Reload(int worker);  // Its use changed.
  void Reschedule(JobId id, JobBook* job);
  void Advance(JobBook* job) const;  // Books the progress up to now.

  // Workers.
  void PlanFault(const PlannedFault& fault);
  void Lose(int worker);
  void Rejoin(int worker);
  void KillForMemory(int worker);
  bool AnyWorkerAway() const;

  const Plan& m_plan;
  const DomainPlan& m_domain;
  policy::Scheduler* m_scheduler;
  Recorder* m_recorder;
  std::mt19937_64 m_random;
  Instant m_now;
  std::uint64_t m_sequence = 0;
  std::priority_queue<Planned> m_planned;
  std::map<JobId, JobBook> m_jobs;
  std::size_t m_unended = 0;
  std::vector<WorkerState> m_workers;
  std::map<WorkerId, int> m_worker_index;
  std::map<std::pair<AccountId, std::string>, bool> m_reported_broken;
  int m_largest_task = 1;  // Accelerators of one task in the largest gang of the plan.
};

}  // namespace hickoryquay::bench
