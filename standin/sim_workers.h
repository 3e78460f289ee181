// SimWorkers: workers that run tasks in virtual time, with the faults that they may have, and an account of everything
// that happened to them, checked against what must always hold.
//
// Index of this file:
//   [SECTION] Tasks as they are
//   [SECTION] Workers
//   [SECTION] SimWorkers
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/worker_api.h"

namespace hickoryquay::standin {

//-------------------------------------------------------------------------------------------------
// [SECTION] Tasks as they are
//-------------------------------------------------------------------------------------------------

// What a step's tasks really do, whatever their caller estimated.
struct StepTruth {
  jobs::StepSpec m_spec;
  jobs::PoolName m_pool;
  std::vector<Millis> m_work;  // Of each task, on a worker of speed 1.
  int m_failing_runs = 0;      // So many runs of each task, or gang, fail by their own fault, at half of their work.
  int m_max_attempts = 1;
  std::optional<Millis> m_crash_after;  // Its first task crashes its worker this long after each of its starts.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Workers
//-------------------------------------------------------------------------------------------------

struct SimWorkerSettings {
  jobs::WorkerEntry m_entry;
  double m_speed = 1.0;
  Millis m_clock_offset{0};     // Of its steady clock.
  bool m_reports_born = false;  // It tells when it started, and may restart under its id.
};

struct SimSettings {
  Millis m_latency{2};  // Of a call, both ways together.
  Millis m_stop{200};
  Millis m_gang_timeout{3'000};
  Millis m_longest_lease{6'000};
  Millis m_restore{250};
  Millis m_checkpoint_every{1'000};
  double m_remote_factor = 3.0;
  // Ends that get a number which the worker was told before are forgotten at once; otherwise only those that have it.
  bool m_keeps_recorded_number = false;
  std::uint64_t m_random_seed = 1;
};

// What a worker does beside what it should.
struct WorkerFaults {
  bool m_cut = false;     // Nothing arrives, nothing comes back.
  bool m_resets = false;  // As a cut, but connections are reset at once.
  bool m_fails = false;   // Everything that it starts.
  bool m_hangs = false;   // Tasks stand still.
  double m_slowdown = 1.0;
  double m_late_orders = 0.0;   // This share of starts and stops gets no answer and is carried out 2 to 12 s later.
  double m_lost_answers = 0.0;  // This share is carried out without an answer.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] SimWorkers
//-------------------------------------------------------------------------------------------------

// Not thread-safe. `Advance` of the timers moves tasks on every kTick.
class SimWorkers final : public jobs::WorkerApi, public jobs::WorkerDirectory {
 public:
  SimWorkers(TimerService* timers, const Clock* clock, const SimSettings& settings);

  void Add(const SimWorkerSettings& worker);
  void Kill(const WorkerId& worker);   // Its life is over; nothing runs there any more.
  void Crash(const WorkerId& worker);  // As Kill; connections break at once.
  // It starts anew under its id at this moment and knows nothing of before. Calls on their way to it are carried out.
  Instant Restart(const WorkerId& worker);  // Returns the wall time of its start.
  // In force at once; starts may rely on more that it had before for kShrinkSlack.
  void SetCapacity(const WorkerId& worker, const Resources& capacity);
  WorkerFaults& Faults(const WorkerId& worker) { return m_workers.at(worker).m_faults; }
  void Know(const jobs::StepKey& step, const StepTruth& truth) { m_truths[step] = truth; }
  StepTruth& TruthOf(const jobs::StepKey& step) { return m_truths.at(step); }
  void ForbidJob(JobId job, Instant from) { m_forbidden[job] = from; }  // Cancelled: no start from then on.
  void ForbidWorker(const WorkerId& worker, Instant from) {
    m_leaving[worker] = from;
  }  // Drains: no start from then on.

  void Start(const jobs::WorkerTarget& worker, const jobs::StartCall& call, Millis timeout,
             jobs::StartCallback callback) override;
  void Stop(const jobs::WorkerTarget& worker, const jobs::StopCall& call, Millis timeout,
            jobs::StopCallback callback) override;
  void Poll(const jobs::WorkerTarget& worker, const jobs::PollCall& call, Millis timeout,
            jobs::PollCallback callback) override;
  void ListWorkerIds(Millis timeout, jobs::WorkerIdsCallback callback) override;

  bool IsAlive(const WorkerId& worker) const { return m_workers.at(worker).m_alive; }
  // What must not happen and did; empty is good.
  const std::vector<std::string>& Violations() const { return m_violations; }
  // Called when a task has crashed a worker, which is not alive any more.
  void OnCrash(std::function<void(const WorkerId&)> handler) { m_on_crash = std::move(handler); }
  int CrashesBy(const jobs::TaskKey& task) const;
  int MostCrashesUnder(JobId job) const;  // Workers that were gone while they ran one of its tasks; of the worst one.

  int Starts() const { return m_starts; }
  int StartsOn(const WorkerId& worker) const { return m_workers.at(worker).m_starts; }
  int Looks() const { return m_looks; }
  int Running() const;
  std::optional<Instant> DoneAt(const jobs::TaskKey& task) const;
  double WastedCoreSeconds() const { return m_wasted; }
  int UsedAccelerators() const;

 private:
  static constexpr Millis kTick{10};
  static constexpr int kMostCrashes = 3;  // Workers that a task may crash before its starts are limited.
  static constexpr int kMostStartsAfter = 2;

  struct Run {
    jobs::TaskKey m_task;
    jobs::RunNumber m_run{};
    Instant m_started;
    double m_worked_ms = 0.0;  // Of its work, on a worker of speed 1; from the checkpoint on.
    double m_saved_ms = 0.0;
    std::optional<Instant> m_stops_at;
    bool m_working = false;   // All members of its gang are there.
    bool m_finished = false;  // Its work is done; a gang waits for its slowest member.
    bool m_remote = false;    // Away from its data, or in a gang across racks.
    bool m_revived = false;   // See WouldHaveRefused.
  };
  // What an incarnation refuses.
  struct Refusals {
    Epoch m_epoch{};
    std::map<jobs::TaskKey, jobs::RunNumber> m_closed;  // Runs up to this.
    std::vector<Millis> m_clock_offsets;                // One of each incarnation.
  };
  struct Worker {
    SimWorkerSettings m_settings;
    WorkerFaults m_faults;
    bool m_alive = true;
    Epoch m_epoch{};
    jobs::WorkerTime m_lease_until;
    std::map<jobs::TaskKey, Run> m_runs;
    std::map<jobs::TaskKey, jobs::RunNumber> m_closed;  // Runs up to this are refused.
    std::vector<jobs::EndedTask> m_ended;
    std::int64_t m_last_end = 0;
    std::int64_t m_recorded_ends = 0;  // The highest number that it was told.
    int m_starts = 0;
    Instant m_born;                                       // Wall time.
    int m_incarnation = 0;                                // Counts restarts under its id.
    Refusals m_before;                                    // Of its earlier incarnations.
    std::vector<std::pair<Instant, Resources>> m_shrunk;  // Capacities before, and until when starts may rely on them.
  };

  bool Resets(std::map<WorkerId, Worker>::const_iterator found) const {
    return found != m_workers.end() && found->second.m_alive && found->second.m_faults.m_resets;
  }
  struct Order {  // A start on its way to a worker.
    jobs::StartCall m_call;
    int m_sent_to = 0;       // The incarnation that the worker had when the call was sent.
    Instant m_counted_from;  // For limits of time, which don't hold for what a worker carries out late.
  };

  void HoldUp(const WorkerId& id, const Order& order, Millis left);
  void Tick();
  void ForgetRecordedEnds(Worker* worker);
  bool Crashes(const Run& run) const;
  void MoveOn(Worker* worker, double ms);
  void Finish(Worker* worker, const jobs::TaskKey& task, jobs::EndKind kind);
  void BreakGang(const jobs::StepKey& step, jobs::RunNumber run, jobs::EndKind kind, const jobs::TaskKey& but);
  void CountWaste(const Run& run);  // What it has worked since its last checkpoint.
  bool GangWhole(const Run& run) const;
  bool GangFinished(const Run& run) const;
  bool IsRemote(const Run& run, const Worker& worker) const;
  jobs::StartReply CarryOutStart(Worker* worker, const Order& order);
  // Whether a start was meant for an earlier incarnation: it was sent to that one, or its lease is in that one's clock.
  bool IsMeantForEarlier(const Worker& worker, const jobs::StartCall& call, int sent_to) const;
  // Whether an earlier incarnation would have refused a start that arrives only now. The scheduler may have relied on
  // that, and no call tells the worker, so such a run may exist beside another one until it is found and stopped.
  bool WouldHaveRefused(const Worker& worker, const jobs::StartCall& call) const;
  static Resources CapacityForStarts(const Worker& worker, Instant sent);
  bool HasRoom(const Worker& worker, const jobs::StartCall& call) const;
  jobs::StopOutcome CarryOutStop(Worker* worker, const jobs::StopCall& call);
  jobs::PollReply ListOf(const Worker& worker) const;
  void CheckStart(const Worker& worker, const Order& order);
  void Violation(const std::string& what);
  jobs::WorkerTime ClockOf(const Worker& worker) const;
  void ExtendLease(Worker* worker, jobs::WorkerTime until);
  void AnswerLook(const WorkerId& id, const jobs::PollCall& call, int incarnation, Millis left,
                  const jobs::PollCallback& callback);
  bool Chance(double share) { return share > 0.0 && std::uniform_real_distribution<>(0.0, 1.0)(m_random) < share; }
  Millis LateBy();
  void After(Millis delay, std::function<void()> what) { m_timers->After(delay, std::move(what)).Detach(); }

  TimerService* m_timers;
  const Clock* m_clock;
  SimSettings m_settings;
  std::mt19937_64 m_random;
  std::map<WorkerId, Worker> m_workers;
  std::map<jobs::StepKey, StepTruth> m_truths;
  std::map<JobId, Instant> m_forbidden;
  std::map<WorkerId, Instant> m_leaving;
  std::map<jobs::TaskKey, Instant> m_done;  // Noted by a scheduler.
  std::map<jobs::TaskKey, Instant> m_done_unnoted;
  std::map<jobs::TaskKey, std::set<jobs::RunNumber>> m_failed;       // Noted.
  std::map<jobs::TaskKey, std::set<jobs::RunNumber>> m_faulty_runs;  // By task, or by first member of a gang.
  struct CrashCount {
    int m_crashes = 0;
    int m_starts_after = 0;  // After kMostCrashes.
  };
  std::map<jobs::TaskKey, int> m_crashes_under;   // Workers that were gone while they ran the task.
  std::map<jobs::TaskKey, CrashCount> m_crashes;  // By the task that crashed the workers.
  std::function<void(const WorkerId&)> m_on_crash;
  std::vector<std::string> m_violations;
  int m_starts = 0;
  int m_looks = 0;
  double m_wasted = 0.0;
  Subscription m_tick;
};

}  // namespace hickoryquay::standin
