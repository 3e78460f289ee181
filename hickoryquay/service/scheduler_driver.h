// SchedulerDriver: runs the scheduler for one term of leadership. Loads its state from the store, follows the intake
// and worker tables, stores its decisions and sends them to the workers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/service/announced_jobs.h"
#include "hickoryquay/service/earlier_jobs.h"
#include "hickoryquay/service/evacuation_report.h"
#include "hickoryquay/service/idle_report.h"
#include "hickoryquay/service/intake_audit.h"
#include "hickoryquay/service/job_archive.h"
#include "hickoryquay/service/leader_report.h"
#include "hickoryquay/service/leadership.h"
#include "hickoryquay/service/start_gate.h"
#include "hickoryquay/service/table_names.h"
#include "hickoryquay/service/worker_sessions.h"
#include "hickoryquay/store/table_follower.h"

namespace hickoryquay::service {

// Parses a row of the platform's worker table; empty if it can't be parsed.
using ReadWorkerRow = std::function<std::optional<jobs::WorkerEntry>(const store::StoredRow&)>;

struct DriverSettings {
  TableNames m_tables;
  std::string m_worker_table;  // Written by the platform.
  jobs::SchedulerSettings m_scheduler;
  SessionSettings m_sessions;
  Millis m_keep_ended{120'000};  // Phases of ended jobs are kept this long.
  Millis m_evacuate{0};          // Bound after which nothing starts in an evacuated domain; 0: none is evacuated.
  StartTerms m_start_terms;
  // From one call of a feed to the next if the first brought rows. Accepted jobs and cancels are announced as well.
  Millis m_intake_pause{50};
  Millis m_workers_pause{150};
  Millis m_pending_age{1'200};  // Callers are told counts up to 2 s old, and the news of them is on its way meanwhile.
  Millis m_evacuation_wait{1'000};  // Longest wait for the first SetEvacuated, since the store may be unreachable.
};

struct DriverParts {
  store::RowStore* m_store = nullptr;
  jobs::WorkerApi* m_port = nullptr;
  jobs::WorkerDirectory* m_directory = nullptr;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  ReadWorkerRow m_read_worker;
};

// Not thread-safe. One object per term.
class SchedulerDriver : public std::enable_shared_from_this<SchedulerDriver> {
 public:
  struct Events {
    std::function<void(const std::vector<jobs::PhaseChange>&)> m_phases;  // These phases are stored now.
    std::function<void(const std::string&)> m_fenced;
  };

  SchedulerDriver(const DriverParts& parts, std::shared_ptr<Leadership> leadership, const DriverSettings& settings,
                  Events events);
  ~SchedulerDriver();

  void Start();
  void Stop();
  void SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration);
  // Until the first call nothing is placed, for at most m_evacuation_wait after Ready().
  void SetEvacuated(const std::set<DomainId>& domains);
  // An instance has stored the row of a job; see AnnouncedJobs. Ignored until Ready().
  void OnAnnounced(JobId job, const std::string& row, Version stored);
  // An instance has stored the cancel of a job. Its row comes through the feed as well; ignored until Ready().
  void OnCancelAnnounced(JobId job);
  bool Ready() const { return m_ready; }  // All tables are loaded.
  // Waiting jobs by queue; empty while what is known of accepted jobs is older than m_pending_age.
  std::optional<std::map<jobs::QueueName, int>> Pending() const;
  // Whether the part of versions before the sixteen parts may have rows of jobs, accepted or ended.
  bool MayHaveEarlierRows() const;
  // Memory that its jobs take; empty until all rows are read.
  std::optional<std::uint64_t> JobBytes() const {
    return m_ready ? std::optional(m_scheduler.JobBytes()) : std::nullopt;
  }
  const std::map<AccountId, std::uint64_t>& AccountBytes() const { return m_scheduler.AccountBytes(); }
  jobs::SchedulerCounts Counts() const { return m_scheduler.Counts(); }
  std::optional<jobs::JobPhase> Phase(JobId job) const { return m_scheduler.Phase(job); }

 private:
  void OnIntakeRows(const std::vector<store::StoredRow>& rows, bool whole);
  bool IsOutdated(JobId job, Version read_at) const;
  void OnAuditedRows(const std::vector<store::StoredRow>& rows);
  bool IsMissed(const store::StoredRow& row) const;
  void OnStateRows(const std::vector<store::StoredRow>& rows);
  void OnWorkerRows(const std::vector<store::StoredRow>& rows, bool whole);
  bool TakeWorkerRow(const store::StoredRow& row);
  bool OnWorkerRowRemoved(const std::string& key);
  void DropExpiredWorkers();
  void DropWorker(const std::string& key);
  void ReportLoading();
  void BeginIfLoaded();
  void ScheduleRound();
  void RunRound();
  void StoreBatch(jobs::Batch batch);
  void OnStored(const jobs::Batch& batch);
  void OnRowRejected(const jobs::RowChange& row, const std::string& why);
  void SendStarts();
  void ReportGuaranteeStarts();
  void ReportLoad();
  void ReportIdleJobs();
  void CountPhases(const std::vector<jobs::PhaseChange>& phases);
  void ArchiveSettled();
  bool MayPlace() const;
  void ReportUnreadable(const char* row, const std::string& key, const std::string& field);
  jobs::Now Time() const { return {m_parts.m_clock->Now(), m_parts.m_clock->Wall()}; }

  DriverParts m_parts;
  std::shared_ptr<Leadership> m_leadership;
  DriverSettings m_settings;
  Events m_events;
  jobs::Scheduler m_scheduler;
  std::shared_ptr<WorkerSessions> m_sessions;
  std::shared_ptr<JobArchive> m_archive;
  std::shared_ptr<store::TableFollower> m_intake;
  std::shared_ptr<IntakeAudit> m_audit;
  std::shared_ptr<store::TableFollower> m_state;  // Only read at the start of the term.
  std::shared_ptr<store::TableFollower> m_worker_rows;
  std::unique_ptr<StartGate> m_gate;                   // Made with them.
  std::map<std::string, jobs::WorkerEntry> m_workers;  // By row key.
  std::map<std::string, Instant> m_missing_until;      // When to drop workers whose rows expired, by row key.
  std::optional<Instant> m_reachable_since;            // When the worker table last became readable again.
  std::vector<jobs::StartCommand> m_held_starts;       // Stored, and not sent yet; see SendStarts.
  AnnouncedJobs m_announced;
  std::vector<store::StoredRow> m_buffered_intake;  // Rows received before Ready().
  std::vector<store::StoredRow> m_state_rows;
  EarlierJobs m_earlier_jobs{m_settings.m_tables};  // Not archived yet.
  bool m_intake_read = false;
  bool m_state_read = false;
  bool m_workers_read = false;
  bool m_ready = false;
  bool m_evacuations_known = false;
  bool m_stopped = false;
  bool m_write_pending = false;
  bool m_row_rejected = false;  // Of the batch that is being stored.
  Instant m_started;            // Time of the election.
  Instant m_ready_at;           // When m_ready was set.
  Instant m_last_tick;
  Instant m_write_sent;  // Of the transaction in flight.
  Instant m_last_round;  // Time of the last scheduling round.
  Instant m_round_ended;
  Millis m_round_took{0};
  std::uint64_t m_rounds = 0;
  Instant m_last_archiving;  // When settled jobs were last looked for.
  Subscription m_load_timer;
  Subscription m_tick;
  Subscription m_idle_timer;
  Subscription m_round_timer;
  Distribution* m_store_ms;
  Distribution* m_guarantee_start_s;
  Counter* m_guarantee_starts_late;
  Counter* m_jobs_announced;
  Counter* m_cancels_announced;
  Counter* m_rows_missed;
  Counter* m_rows_outdated;
  Counter* m_rows_rejected;
  std::set<std::string> m_missed;  // Keys of the rows that the audit has found, each reported once.
  EvacuationReport m_evacuation_report;
  IdleReport m_idle_report;
  LeaderReport m_report;
};

}  // namespace hickoryquay::service
