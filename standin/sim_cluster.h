// SimCluster: simulates instances, the platform's store and workers, in virtual time and one thread.
//
// Each instance has an intake, leadership and a scheduler, connected as in JobService, without HTTP and peers.
// SimWorkers checks the invariants that workers can observe; the tests check that jobs end.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/service/intake.h"
#include "hickoryquay/service/queue_documents.h"
#include "hickoryquay/service/scheduler_driver.h"
#include "hickoryquay/store/adaptive_store.h"
#include "standin/gate.h"
#include "standin/sim_store.h"
#include "standin/sim_workers.h"

namespace hickoryquay::service {

// A step of `count` single tasks.
jobs::StepSpec Tasks(int count, int accelerators, Millis estimate);

struct ClusterSettings {
  int m_instances = 3;
  int m_racks = 2;
  int m_workers_per_rack = 4;
  bool m_workers_report_born = false;  // Workers tell when they started; needed for RestartWorkerInPlace.
  std::vector<double> m_speeds{1.0};   // Of the workers of a rack; repeated if there are more workers.
  standin::SimSettings m_workers;
  bool m_heartbeats = false;    // Workers write their rows again every 1.5 s, as those of the platform do.
  int m_link_bytes_per_ms = 0;  // Of each instance, to the store; 0: answers arrive at once.
  std::size_t m_payload_bytes = 7;
  std::uint64_t m_random_seed = 1;
  Millis m_evacuate{5'000};          // See DriverSettings.
  Millis m_cancel_bound{3'000};      // After which nothing of a cancelled job may start.
  Millis m_drain_bound{2'000};       // After which nothing may start on a draining worker.
  ProcessorSettings m_processor;     // Of each instance; takes effect with m_event_us or m_measured.
  bool m_announces_jobs = true;      // Instances tell leaders of the jobs that they accept, as in JobService.
  bool m_announces_cancels = true;   // And of cancels.
  bool m_follow_evacuations = true;  // Instances read the evacuated domains and exchange them, as in JobService.
};

class SimCluster {
 public:
  explicit SimCluster(const ClusterSettings& settings);
  ~SimCluster();

  // Instances, by index.
  void StartInstance(int index);
  void KillInstance(int index);
  void Suspend(int index) { m_instances[Slot(index)]->m_gate->Close(); }
  void Resume(int index) { m_instances[Slot(index)]->m_gate->Open(); }
  bool IsRunning(int index) const { return m_instances[Slot(index)] != nullptr; }
  standin::SimStoreClient& StoreOf(int index) { return *m_clients[Slot(index)]; }
  Intake& IntakeOf(int index) { return *m_instances[Slot(index)]->m_intake; }
  std::optional<int> Leader() const;
  const Gate& GateOf(int index) const { return *m_instances[Slot(index)]->m_gate; }
  std::set<DomainId> EvacuatedAt(int index) const {
    return m_instances[Slot(index)]->m_documents->Evacuations().Domains();
  }
  void ReleaseLeader();
  std::optional<int> PendingAt(int leader) const;  // Jobs that it says are waiting; empty: it doesn't know.
  bool MayHaveEarlierRowsAt(int leader) const;

  // Evacuations of failure domains, as the operator requests them. The domain of a rack is "d-" and its name.
  void Evacuate(const DomainId& domain);
  void Lift(const DomainId& domain);

  // Workers.
  static WorkerId WorkerOf(int rack, int index);
  void AddWorker(const WorkerId& id, const std::string& rack, double speed = 1.0);
  void Drain(const WorkerId& id, std::optional<Millis> remaining = std::nullopt);
  void CorruptRow(const WorkerId& id);  // Overwrites its row with text that can't be parsed.
  void KillWorker(const WorkerId& id);  // Its row is removed 4.5 s later.
  void RestartWorker(const WorkerId& id, const WorkerId& as);
  void RestartWorkerInPlace(const WorkerId& id, Millis row_delay);  // Under its id; its row follows after `row_delay`.
  void CrashWorker(const WorkerId& id);  // It is down for a while, then starts again under its id.
  // Its row follows with the next heartbeat.
  void SetCapacity(const WorkerId& id, const Resources& capacity);
  const std::vector<WorkerId>& Workers() const { return m_worker_ids; }

  // Puts rows of jobs that ended now, as if an earlier leader had archived them.
  void AddEndedJobs(int count);

  // Jobs. `work` is the true duration of every task.
  JobId Submit(int instance, const jobs::StepSpec& step, Millis work, int priority = 1, int failing_runs = 0);
  JobId SubmitSteps(int instance, const std::vector<jobs::StepSpec>& steps, Millis work, int priority);
  // The first task of the step crashes each worker that starts it; the worker is back kCrashedFor later.
  JobId SubmitCrashing(int instance, const jobs::StepSpec& step, Millis crash_after, int priority = 1);
  void Cancel(int instance, JobId job);
  void SetGuarantee(int accelerators);  // Sets the guarantee of the only client account.
  bool Accepted(JobId job) const { return m_accepted.contains(job); }
  std::optional<jobs::JobPhase> StoredPhase(JobId job) const;
  std::vector<JobId> Submitted() const { return m_submitted; }
  std::vector<JobId> TakeUnknown() { return std::exchange(m_unknown, {}); }  // Whose callers were told nothing.

  void Run(Millis time);

  standin::SimStore& Store() { return *m_store; }
  std::string MetricsText() const { return m_metrics.PrometheusText(); }  // Sum over all instances.
  standin::SimWorkers& Sim() { return *m_workers; }
  const ManualClock& Time() const { return m_clock; }
  std::string Violations() const;  // One per line; empty if there are none.

 private:
  struct Instance {
    SharedGate m_gate = std::make_shared<Gate>();
    std::unique_ptr<GatedTimers> m_timers;
    std::unique_ptr<GatedStore> m_gated_store;
    std::unique_ptr<store::AdaptiveStore> m_store;
    std::unique_ptr<GatedWorkers> m_port;
    std::shared_ptr<Intake> m_intake;
    std::shared_ptr<store::TableFollower> m_configuration_rows;  // Evacuations, and the end of an outage.
    std::unique_ptr<QueueDocuments> m_documents;
    Subscription m_exchange;  // With the other instances; the store's moods don't matter to it.
    std::shared_ptr<Leadership> m_leadership;
    std::shared_ptr<SchedulerDriver> m_driver;
    int m_incarnation = 0;
  };

  static std::size_t Slot(int index) { return static_cast<std::size_t>(index); }
  void ExchangeDocuments(Instance* self);
  void AnnounceCancel(JobId job);
  void Announce(JobId job, const std::string& row, Version stored);
  void PutWorkerRow(const jobs::WorkerEntry& entry);
  void OnCrash(const WorkerId& id);
  void WriteHeartbeats();

  ClusterSettings m_settings;
  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  Metrics m_metrics;
  std::unique_ptr<standin::SimStore> m_store;
  std::unique_ptr<standin::SimWorkers> m_workers;
  std::vector<std::unique_ptr<standin::SimStoreClient>> m_clients;
  std::vector<std::unique_ptr<Instance>> m_instances;         // Null if not running.
  std::vector<std::shared_ptr<Instance>> m_killed_instances;  // Their callbacks may still be queued.
  std::map<WorkerId, jobs::WorkerEntry> m_entries;
  std::vector<WorkerId> m_worker_ids;
  std::shared_ptr<jobs::QueueConfiguration> m_configuration;
  std::vector<JobId> m_submitted;
  std::set<JobId> m_accepted;
  std::vector<JobId> m_unknown;
  std::uint64_t m_next_job = 1;
  std::uint64_t m_next_ended_job = 1'000'000;
  int m_incarnations = 0;
  std::size_t m_next_heartbeat = 0;  // Index of a worker.
  Subscription m_heartbeats;
  int m_crashes = 0;  // Names workers that return under another id.
};

}  // namespace hickoryquay::service
