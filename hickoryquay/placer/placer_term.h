// Placer::Term: one term of the placer role, from acquiring the lease to losing it. Internal to the package.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/placer/gang.h"
#include "hickoryquay/placer/placer.h"
#include "hickoryquay/placer/rows.h"

namespace hickoryquay::placer {

// Not thread-safe: everything runs on the placer's executor.
class Placer::Term final : public workers::PoolListener, public RowOwner, public std::enable_shared_from_this<Term> {
 public:
  Term(PlacerParts parts, PlacerSettings settings, Epoch epoch);
  ~Term() override = default;

  void Begin();
  void End();

  void Notify(JobId job);
  void ConfigurationChanged();
  void InstancesChanged();
  void SetQuarantine(const WorkerId& worker, bool on);
  const policy::Scheduler* LiveScheduler() const { return m_live ? m_scheduler.get() : nullptr; }
  boost::json::value Dump() const;

  // PoolListener.
  void OnSyncAnswer(const Worker& worker, const workers::SyncAnswer& answer) override;
  void OnLeaving(const WorkerId& worker) override;
  void OnLost(const WorkerId& worker) override;
  void OnHigherEpoch(Epoch higher) override;

  // RowOwner.
  store::Check Fence() const override;
  void OnFenceConflict(const store::Row& row) override;
  std::optional<RowUpdate> MakeUpdate(const std::string& key) override;
  void OnWritten(const std::string& key, const std::string& value) override;
  void OnRowRemoved(const std::string& key) override;

 private:
  using AttemptKey = std::pair<JobId, Attempt>;

  struct JobRecord {
    Job m_job;
    bool m_once = false;                            // Runs at most once.
    bool m_cancelled = false;                       // A cancel is in progress.
    JobState m_durable_state = JobState::kWaiting;  // As written in the table.
    Attempt m_durable_attempt{};
  };

  // An attempt that has not ended, or that has ended and that its workers still report.
  struct AttemptRecord {
    Gang m_gang;
    Instant m_began_at;        // Monotonic.
    Instant m_running_since;   // Monotonic.
    Instant m_leases_granted;  // Monotonic; earliest time at which workers can have granted its leases.
    bool m_restored = false;   // Started by an earlier placer.
  };

  // Restoring: term_restore.cc.
  void ReadRows(const std::string& after);
  void OnRows(const store::Page& page);
  void LoadRow(const store::Row& row);
  void GoLiveWhenReady();
  void GoLive();
  void RestoreJob(JobRecord* record);
  void RestoreAttempt(JobRecord* record);
  Instant AdoptedGrantTime(const Gang& gang) const;
  void JoinInitialWorkers();
  void CheckMissingWorkers();
  void RaiseAttemptNumbers();

  // Job and cancel rows: term_rows.cc.
  void FetchJob(JobId job);
  void OnJobRow(JobId job, const store::Row& row);
  void AddNewJob(Job job, Version version);
  bool IsConfigured(const JobSpec& spec) const;
  bool RunsAtMostOnce(const JobSpec& spec) const;
  void FetchDeferred();
  void ReadCancelRows();
  void ReadCancelPage(const std::string& after);
  void OnCancelRows(const store::Page& page);
  void CancelJob(JobId job);
  void ResolveCancelRow(JobId id, const store::Row& cancel);
  void DeleteCancelRow(JobId id, const store::Row& cancel, Version job);
  void Sweep();
  void OnSweepPage(const store::Page& page);
  void DeleteEnded(const store::Row& row);
  void MarkDirty(const JobRecord& record, Millis delay);
  void EndJob(JobRecord* record, JobState state, const std::string& why);
  void ForgetDurableAttempts(JobId job);

  // Events, decisions and reports: term_decide.cc.
  void ApplyEvent(policy::Event event);
  void ApplyPendingEvents();
  void Execute(const policy::StartGang& decision);
  void Execute(const policy::StopGang& decision);
  void Execute(const policy::ThrottleTask& decision);
  void Execute(const policy::RefuseJob& decision);
  void Execute(const policy::MarkUncertain& decision);
  void Execute(const policy::QuarantineWorker& decision);
  void Execute(const policy::ReleaseWorker& decision);
  void Execute(const policy::GuaranteeBroken& decision);
  void Execute(const policy::GuaranteeRestored& decision);
  void HandleReport(const Worker& worker, const workers::SyncAnswer& answer);
  void StopUnknownAttempts(const WorkerId& worker, const workers::SyncAnswer& answer);
  void ReportUsage(const WorkerId& worker, const workers::SyncAnswer& answer);
  void JoinWorker(const Worker& worker);

  // Gangs: term_gangs.cc.
  void StartAttempt(JobRecord* record, const policy::StartGang& decision);
  void HandleOutputs(const AttemptKey& key, const GangOutputs& outputs);
  void HandleOutput(const AttemptKey& key, const SendCommand& output);
  void HandleOutput(const AttemptKey& key, const RecordStart& output);
  void HandleOutput(const AttemptKey& key, const Started& output);
  void HandleOutput(const AttemptKey& key, const StartFailed& output);
  void HandleOutput(const AttemptKey& key, const PartFailed& output);
  void HandleOutput(const AttemptKey& key, const Finished& output);
  void HandleOutput(const AttemptKey& key, const Stopped& output);
  void CloseAttempt(const AttemptKey& key);
  void ReturnToWaiting(const AttemptKey& key);
  void CheckStartTimeouts();
  std::string RunDocument(const Job& job) const;

  void Tick();
  Instant DecisionTime() const;
  JobRecord* FindJob(JobId job);
  AttemptRecord* FindAttempt(const AttemptKey& key);
  void RunEvery(Millis period, void (Term::*task)(), Subscription* subscription);

  const PlacerParts m_parts;
  const PlacerSettings m_settings;
  const Epoch m_epoch;
  std::unique_ptr<policy::Scheduler> m_scheduler;
  std::shared_ptr<workers::WorkerPool> m_pool;
  std::shared_ptr<RowWriter> m_writer;
  Instant m_began_at;    // Monotonic.
  Instant m_began_wall;  // With m_began_at: a wall time that never decreases.
  bool m_ended = false;
  bool m_live = false;  // The view has been rebuilt.
  bool m_rows_read = false;
  Instant m_rows_read_at;

  std::map<JobId, JobRecord> m_jobs;  // Jobs that have not ended or whose end is not written yet.
  std::map<AttemptKey, AttemptRecord> m_attempts;
  std::map<WorkerId, std::set<AttemptKey>> m_attempts_by_worker;
  std::map<WorkerId, std::pair<Worker, workers::SyncAnswer>> m_early_reports;  // Received before the view was rebuilt.
  std::set<WorkerId> m_joined_workers;                                         // Known to the scheduler.
  std::set<WorkerId> m_missing_workers;                  // In a job's row, but not in the list of instances.
  std::shared_ptr<const Configuration> m_configuration;  // As last passed to the scheduler.

  std::deque<policy::Event> m_pending_events;
  bool m_applying_events = false;
  std::vector<policy::StartGang> m_held_starts;  // Decisions held until the lease is confirmed.

  std::set<JobId> m_jobs_being_fetched;
  std::set<JobId> m_deferred_jobs;      // Their market, account or class is not configured here yet.
  std::set<JobId> m_cancelled_unknown;  // Have a cancel row, and no row of their own was found.
  bool m_reading_cancels = false;
  bool m_sweeping = false;
  std::string m_sweep_after;
  Subscription m_tick;
  Subscription m_cancels_timer;
  Subscription m_sweep_timer;

  Gauge& m_live_gauge;
  Distribution& m_rebuild_s;
  Distribution& m_start_s;
  Counter& m_starts;
  Counter& m_start_failures;
  Counter& m_finishes;
};

}  // namespace hickoryquay::placer
