#include "hickoryquay/service/scheduler_driver.h"

#include <algorithm>
#include <set>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/service/batch_writer.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"driver"};
constexpr Millis kLoadReportInterval{1'000};
constexpr Millis kIdleReportInterval{1'000};
constexpr Millis kRoundInterval{100};  // For work that becomes due without an event, such as timed jobs and retries.
// Shortest time between scheduling rounds, per thousand workers. A round takes about 0.7 ms per thousand workers, so
// rounds use about a thirtieth of a core however many events arrive. Rounds to 0 for less than 50 workers.
constexpr std::int64_t kPausePerThousandMs = 20;
constexpr std::size_t kLeaderRowOps = 2;  // Check and write of the leader's row in each transaction.
// Workers whose rows expired during a store outage write them again within about 2 s of its end.
constexpr Millis kRowReturnWindow{2'500};
constexpr Millis kArchiveInterval{1'000};  // Between searches for jobs to archive. Nothing waits for it.
constexpr std::string_view kJobPrefix = "j/";
constexpr std::string_view kCancelPrefix = "c/";

// Returns the job id in a row key with `prefix`; empty for other prefixes, removed rows and malformed keys.
std::optional<JobId> ParseIntakeKey(const store::StoredRow& row, std::string_view prefix) {
  const std::string_view key = row.m_key.m_key;
  if (row.m_removed || !key.starts_with(prefix)) return std::nullopt;
  const auto id = jobs::ParseHexJobId(key.substr(prefix.size()));
  if (!id) log::Error(kLog, "Malformed key of an intake row", {{"key", row.m_key.m_key}});
  return id;
}

}  // namespace

std::string JobRowKey(JobId job) {
  return std::string(kJobPrefix) + jobs::HexText(job);
}

std::string CancelRowKey(JobId job) {
  return std::string(kCancelPrefix) + jobs::HexText(job);
}

SchedulerDriver::SchedulerDriver(const DriverParts& parts, std::shared_ptr<Leadership> leadership,
                                 const DriverSettings& settings, Events events)
    : m_parts(parts),
      m_leadership(std::move(leadership)),
      m_settings(settings),
      m_events(std::move(events)),
      m_scheduler(settings.m_scheduler),
      m_store_ms(&parts.m_metrics->GetDistribution("hq_store_write_ms")),
      m_guarantee_start_s(&parts.m_metrics->GetDistribution("hq_guarantee_start_seconds")),
      m_guarantee_starts_late(&parts.m_metrics->GetCounter("hq_guarantee_starts_late_total")),
      m_jobs_announced(&parts.m_metrics->GetCounter("hq_jobs_announced_total")),
      m_cancels_announced(&parts.m_metrics->GetCounter("hq_cancels_announced_total")),
      m_rows_missed(&parts.m_metrics->GetCounter("hq_intake_rows_missed_total")),
      m_rows_outdated(&parts.m_metrics->GetCounter("hq_intake_rows_outdated_total")),
      m_rows_rejected(&parts.m_metrics->GetCounter("hq_rows_rejected_total")),
      m_evacuation_report(parts.m_metrics),
      m_idle_report(parts.m_metrics),
      m_report(parts.m_metrics, parts.m_clock->Now()) {
  // Started later, a task could arrive in a domain whose evacuation is in force already.
  m_settings.m_sessions.m_longest_queued = m_settings.m_evacuate;
}

SchedulerDriver::~SchedulerDriver() {
  Stop();
}

void SchedulerDriver::Start() {
  m_started = m_parts.m_clock->Now();
  const auto weak = weak_from_this();
  const StartTerms& terms = m_settings.m_start_terms;
  const auto follow = [this](const std::string& table, std::vector<std::string> parts, Millis longest_age, Millis pause,
                             store::TableFollower::OnRows on_rows,
                             store::TableFollower::OnReachable on_reachable = nullptr) {
    store::FollowerSettings settings;
    settings.m_table = table;
    settings.m_wait = m_settings.m_start_terms.LongestWait(longest_age, settings.m_wait);
    settings.m_pause = pause;
    settings.m_parts = std::move(parts);
    auto follower = std::make_shared<store::TableFollower>(m_parts.m_store, m_parts.m_timers, m_parts.m_clock, settings,
                                                           std::move(on_rows), std::move(on_reachable));
    follower->Start();
    return follower;
  };
  using Rows = std::vector<store::StoredRow>;
  m_state = follow(m_settings.m_tables.m_state, {m_settings.m_tables.m_leader_part}, terms.LongestIntakeAge(),
                   Millis{0}, [weak](const Rows& rows, bool whole) {
                     if (const auto self = weak.lock(); self && whole) self->OnStateRows(rows);
                   });
  m_intake = follow(m_settings.m_tables.m_intake, m_settings.m_tables.AllIntakeParts(), terms.LongestIntakeAge(),
                    m_settings.m_intake_pause, [weak](const Rows& rows, bool whole) {
                      if (const auto self = weak.lock()) self->OnIntakeRows(rows, whole);
                    });
  m_worker_rows = follow(
      m_settings.m_worker_table, {""}, terms.LongestListAge(), m_settings.m_workers_pause,
      [weak](const Rows& rows, bool whole) {
        if (const auto self = weak.lock()) self->OnWorkerRows(rows, whole);
      },
      [weak](bool reachable) {
        if (const auto self = weak.lock(); self && reachable) self->m_reachable_since = self->m_parts.m_clock->Now();
      });
  m_gate = std::make_unique<StartGate>(
      StartGateParts{m_intake.get(), m_worker_rows.get(), &m_leadership->Writes(), &m_earlier_jobs,
                     m_settings.m_tables.AllIntakeParts(), m_parts.m_clock, m_parts.m_metrics},
      terms, m_started);
  m_load_timer = m_parts.m_timers->Every(kLoadReportInterval, [weak] {
    if (const auto self = weak.lock()) self->ReportLoading();
  });
}

void SchedulerDriver::Stop() {
  m_stopped = true;
  m_load_timer.Cancel();
  m_tick.Cancel();
  m_idle_timer.Cancel();
  m_round_timer.Cancel();
  for (const auto& follower : {m_state, m_intake, m_worker_rows}) {
    if (follower) follower->Stop();
  }
  if (m_sessions) m_sessions->Stop();
  if (m_archive) m_archive->Stop();
  if (m_audit) m_audit->Stop();
}

void SchedulerDriver::SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration) {
  m_scheduler.SetConfiguration(std::move(configuration));
  ScheduleRound();
}

void SchedulerDriver::SetEvacuated(const std::set<DomainId>& domains) {
  m_evacuations_known = true;
  m_scheduler.SetEvacuated(domains, Time());
  ScheduleRound();
}

//-------------------------------------------------------------------------------------------------
// Rows
//-------------------------------------------------------------------------------------------------

void SchedulerDriver::OnStateRows(const std::vector<store::StoredRow>& rows) {
  m_state->Stop();  // Only this instance writes the table from now on.
  m_state_rows = rows;
  m_state_read = true;
  BeginIfLoaded();
}

void SchedulerDriver::OnIntakeRows(const std::vector<store::StoredRow>& rows, bool whole) {
  if (whole) m_intake_read = true;
  if (!m_ready) {
    m_buffered_intake.insert(m_buffered_intake.end(), rows.begin(), rows.end());
    return BeginIfLoaded();
  }
  // Jobs first: in a full scan the cancel rows ("c/") precede the job rows ("j/").
  std::set<std::string> outdated_parts;
  for (const auto& row : rows) {
    const auto id = ParseIntakeKey(row, kJobPrefix);
    if (!id) continue;
    if (IsOutdated(*id, row.m_read_at)) {
      m_rows_outdated->Add();
      outdated_parts.insert(row.m_key.m_part);
      continue;
    }
    m_earlier_jobs.OnRow(*id, row.m_key.m_part, m_scheduler.Phase(*id).has_value());
    if (m_earlier_jobs.IsPart(row.m_key.m_part) && m_archive->AddIfEnded(*id)) continue;
    const auto job = jobs::ReadAcceptedJob(*id, row.m_value);
    if (Ok(job)) {
      m_scheduler.OnJob(ValueOf(job), Time());
    } else {
      ReportUnreadable("job", row.m_key.m_key, ErrorOf(job).m_field);
    }
  }
  for (const auto& row : rows) {
    if (const auto id = ParseIntakeKey(row, kCancelPrefix)) m_scheduler.OnCancel(*id, Time());
  }
  for (const std::string& part : outdated_parts) {
    log::Warn(kLog, "Rows of jobs were read before others were forgotten, reading the part again",
              {{"table_part", part}});
    m_intake->ReadAgain(part);
  }
  ScheduleRound();
}

// The row may be of a job that has ended and is forgotten.
bool SchedulerDriver::IsOutdated(JobId job, Version read_at) const {
  return !m_scheduler.Phase(job) && !m_scheduler.Archived().IsCurrent(read_at);
}

// A row that can't be read was reported when the feed brought it.
bool SchedulerDriver::IsMissed(const store::StoredRow& row) const {
  if (const auto job = ParseIntakeKey(row, kJobPrefix))
    return !m_scheduler.Phase(*job) && Ok(jobs::ReadAcceptedJob(*job, row.m_value));
  const auto cancel = ParseIntakeKey(row, kCancelPrefix);
  const auto phase = cancel ? m_scheduler.Phase(*cancel) : std::nullopt;
  return phase && !jobs::Ended(*phase);
}

// Rows newer than what is known of their part are on their way. For others the part is read again, cancels included.
void SchedulerDriver::OnAuditedRows(const std::vector<store::StoredRow>& rows) {
  std::set<std::string> parts;
  for (const auto& row : rows) {
    const bool awaited = row.m_version > m_intake->KnownOf(row.m_key.m_part).m_version;
    if (awaited || !m_scheduler.Archived().IsCurrent(row.m_read_at) || !IsMissed(row)) continue;
    parts.insert(row.m_key.m_part);
    if (!m_missed.insert(row.m_key.m_key).second) continue;
    m_rows_missed->Add();
    log::Warn(
        kLog, "Row of the intake table was not known",
        {{"key", row.m_key.m_key}, {"table_part", row.m_key.m_part}, {"version", std::to_string(Raw(row.m_version))}});
  }
  for (const std::string& part : parts) m_intake->ReadAgain(part);
}

void SchedulerDriver::OnAnnounced(JobId id, const std::string& row, Version stored) {
  if (!m_ready || m_stopped || IsOutdated(id, stored) || !m_announced.Take(id, stored, m_intake->At())) return;
  const auto job = jobs::ReadAcceptedJob(id, row);
  if (!Ok(job)) return ReportUnreadable("announced job", jobs::HexText(id), ErrorOf(job).m_field);
  m_jobs_announced->Add();
  m_scheduler.OnJob(ValueOf(job), Time());
  ScheduleRound();
}

void SchedulerDriver::OnCancelAnnounced(JobId id) {
  if (!m_ready || m_stopped) return;
  m_cancels_announced->Add();
  m_scheduler.OnCancel(id, Time());
  ScheduleRound();
}

// Most rows are heartbeats, which change nothing here.
void SchedulerDriver::OnWorkerRows(const std::vector<store::StoredRow>& rows, bool whole) {
  bool changed = false;
  std::set<std::string> missing;
  if (whole) {
    for (const auto& [key, worker] : m_workers) missing.insert(key);
  }
  for (const auto& row : rows) {
    missing.erase(row.m_key.m_key);
    changed = TakeWorkerRow(row) || changed;
  }
  for (const std::string& key : missing) changed = OnWorkerRowRemoved(key) || changed;
  m_workers_read = true;
  if (!m_ready) return BeginIfLoaded();
  if (changed) ScheduleRound();
}

// Returns whether anything is different now.
bool SchedulerDriver::TakeWorkerRow(const store::StoredRow& row) {
  const std::string& key = row.m_key.m_key;
  if (row.m_removed) return OnWorkerRowRemoved(key);
  const auto worker = m_parts.m_read_worker(row);
  const bool returned = m_missing_until.erase(key) > 0;
  const auto known = m_workers.find(key);
  if (!worker) {  // Can't be parsed: the worker is dropped.
    if (known == m_workers.end()) return false;
    DropWorker(key);
    return true;
  }
  if (known != m_workers.end() && known->second == *worker) return returned;
  m_workers[key] = *worker;
  if (m_ready) m_sessions->List(*worker);
  return true;
}

// A worker whose row expired during a store outage stays in use if it answers, until kRowReturnWindow is over.
bool SchedulerDriver::OnWorkerRowRemoved(const std::string& key) {
  if (!m_workers.contains(key)) return false;
  const Instant now = m_parts.m_clock->Now();
  const bool expired_in_outage = m_ready && m_reachable_since && now - *m_reachable_since < kRowReturnWindow;
  if (!expired_in_outage) {
    DropWorker(key);
    return true;
  }
  if (!m_missing_until.try_emplace(key, *m_reachable_since + kRowReturnWindow).second) return false;
  const WorkerId& worker = m_workers.at(key).m_id;
  log::Info(kLog, "Worker row expired during a store outage, polling the worker", {{"worker", worker.m_value}});
  m_sessions->MarkSuspect(worker);
  return true;
}

void SchedulerDriver::DropWorker(const std::string& key) {
  const auto found = m_workers.find(key);
  if (m_ready) m_sessions->Unlist(found->second.m_id);
  m_workers.erase(found);
}

void SchedulerDriver::DropExpiredWorkers() {
  const Instant now = m_parts.m_clock->Now();
  std::vector<std::string> expired;
  for (const auto& [key, until] : m_missing_until) {
    if (now >= until) expired.push_back(key);
  }
  for (const std::string& key : expired) {
    m_missing_until.erase(key);
    if (m_workers.contains(key)) DropWorker(key);
  }
}

// Tells how far the load has come, so that a slow one can be told from one that stands still.
void SchedulerDriver::ReportLoading() {
  const auto rows = [this](const char* table, bool read, std::size_t loaded, const auto& follower) {
    const std::size_t count = read ? loaded : follower->Scanned();
    m_parts.m_metrics->GetGauge("hq_load_rows", {{"table", table}}).Set(static_cast<double>(count));
    return std::to_string(count) + (read ? " (all)" : "");
  };
  log::Info(kLog, "Loading tables",
            {{"state", rows("state", m_state_read, m_state_rows.size(), m_state)},
             {"intake", rows("intake", m_intake_read, m_buffered_intake.size(), m_intake)},
             {"workers", rows("workers", m_workers_read, m_workers.size(), m_worker_rows)},
             {"ms", std::to_string((m_parts.m_clock->Now() - m_started).count())}});
}

void SchedulerDriver::BeginIfLoaded() {
  if (m_ready || !m_intake_read || !m_state_read || !m_workers_read) return;
  std::set<JobId> accepted;
  for (const auto& row : m_buffered_intake) {
    const auto id = ParseIntakeKey(row, kJobPrefix);
    if (!id) continue;
    accepted.insert(*id);
    m_earlier_jobs.OnRow(*id, row.m_key.m_part, m_scheduler.Phase(*id).has_value());
    const auto job = jobs::ReadAcceptedJob(*id, row.m_value);
    if (Ok(job)) {
      m_scheduler.RestoreJob(ValueOf(job));
    } else {
      ReportUnreadable("job", row.m_key.m_key, ErrorOf(job).m_field);
    }
  }
  std::vector<jobs::StepRow> steps;
  std::vector<jobs::StepRowKey> unread;
  // Rows of jobs that an earlier leader archived, and whose deletion it did not live to see.
  const auto archived = [&](const store::StoredRow& row, JobId job) {
    if (accepted.contains(job)) return false;
    m_scheduler.DeleteRow(row.m_key.m_key);
    return true;
  };
  for (const auto& row : m_state_rows) {
    if (const auto id = jobs::ParseHexJobId(row.m_key.m_key)) {
      if (archived(row, *id)) continue;
      const auto phase = jobs::ReadPhaseRow(row.m_value);
      Ok(phase) ? m_scheduler.RestorePhase(*id, ValueOf(phase).m_phase, ValueOf(phase).m_since)
                : ReportUnreadable("phase", row.m_key.m_key, ErrorOf(phase).m_field);
    } else if (const auto key = jobs::ParseStepRowKey(row.m_key.m_key)) {
      if (archived(row, key->m_step.m_job)) continue;
      auto step = jobs::ReadStepRow(*key, row.m_value);
      if (Ok(step)) {
        steps.push_back(TakeValue(std::move(step)));
      } else {
        unread.push_back(*key);
        ReportUnreadable("step", row.m_key.m_key, ErrorOf(step).m_field);
      }
    }
  }
  for (const jobs::StepRow& step : steps) m_scheduler.RestoreStep(step);
  for (const jobs::StepRowKey& row : unread) m_scheduler.RestoreUnreadStep(row);
  m_load_timer.Cancel();
  m_ready = true;
  m_ready_at = m_parts.m_clock->Now();
  m_parts.m_metrics->GetCounter("hq_takeovers_total").Add();
  m_parts.m_metrics->GetDistribution("hq_takeover_ms")
      .Add(static_cast<double>((m_parts.m_clock->Now() - m_started).count()));
  m_sessions = std::make_shared<WorkerSessions>(
      &m_scheduler, m_parts.m_port, m_parts.m_directory, m_parts.m_timers, m_parts.m_clock, m_settings.m_sessions,
      m_leadership->CurrentEpoch(), m_parts.m_metrics,
      WorkerSessions::Events{[this] { ScheduleRound(); },
                             [this] { m_events.m_fenced("a worker has seen a higher epoch"); },
                             [this] { return m_leadership->MayGrant(); }, [this] { return m_gate->Startable(); }});
  log::Info(kLog, "Tables are loaded",
            {{"intake", std::to_string(m_buffered_intake.size())},
             {"state", std::to_string(m_state_rows.size())},
             {"workers", std::to_string(m_workers.size())}});
  m_state_rows.clear();
  const auto buffered = std::exchange(m_buffered_intake, {});
  for (const auto& [key, worker] : m_workers) m_sessions->List(worker);
  for (const auto& worker : m_scheduler.OccupiedWorkers()) {
    m_sessions->AddUnlisted(worker.m_id, worker.m_address, worker.m_born);
  }
  m_sessions->Start();
  ArchiveSettings archive;
  archive.m_tables = m_settings.m_tables;
  archive.m_keep = m_settings.m_keep_ended;
  m_archive = std::make_shared<JobArchive>(
      m_parts.m_store, m_parts.m_timers, m_parts.m_clock, m_parts.m_metrics, archive,
      [this](JobId job) { return m_earlier_jobs.PartsOf(job); },
      [this](const std::vector<JobId>& jobs, Version moved) {
        m_scheduler.OnArchived(jobs, moved, Time());
        for (const JobId job : jobs) m_earlier_jobs.Remove(job);
      });
  m_archive->Start();
  OnIntakeRows(buffered, false);  // For the cancels; the jobs were restored above.
  m_scheduler.EndRestoredJobs(Time());
  m_scheduler.LogRestoredJobs();
  AuditSettings audit;
  audit.m_table = m_settings.m_tables.m_intake;
  audit.m_parts = m_settings.m_tables.AllIntakeParts();
  m_audit = std::make_shared<IntakeAudit>(m_parts.m_store, m_parts.m_timers, m_parts.m_clock, audit,
                                          [weak = weak_from_this()](const std::vector<store::StoredRow>& rows) {
                                            if (const auto self = weak.lock()) self->OnAuditedRows(rows);
                                          });
  m_audit->Start();
  m_last_tick = m_parts.m_clock->Now();
  m_tick = m_parts.m_timers->Every(kRoundInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->ReportLoad();
    self->ScheduleRound();
  });
  m_idle_timer = m_parts.m_timers->Every(kIdleReportInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ReportIdleJobs();
  });
}

//-------------------------------------------------------------------------------------------------
// Scheduling rounds
//-------------------------------------------------------------------------------------------------

// Schedules a round to handle the events received so far: at once, or after a pause. The pause depends on the size of
// the pool, and is no shorter than the last round, so that rounds leave half of the processor to what they decide upon.
void SchedulerDriver::ScheduleRound() {
  if (!m_ready || m_stopped || m_round_timer.Active()) return;
  const Millis by_size{static_cast<std::int64_t>(m_workers.size()) * kPausePerThousandMs / 1'000};
  const Millis pause = std::max(by_size, m_round_took);
  const Millis passed = m_parts.m_clock->Now() - m_round_ended;
  m_round_timer = m_parts.m_timers->After(std::max(Millis{0}, pause - passed), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->RunRound();
  });
}

void SchedulerDriver::RunRound() {
  if (m_stopped || !m_leadership->Leading()) return;
  m_round_timer.Cancel();
  DropExpiredWorkers();
  m_last_round = m_parts.m_clock->Now();
  ++m_rounds;
  m_gate->LogChanges();
  const jobs::JobFilter startable = m_gate->Startable();
  if (MayPlace()) m_scheduler.Decide(Time(), m_gate->MayStart(), startable);
  m_evacuation_report.Update(m_scheduler.EvacuatedDomains());
  ReportGuaranteeStarts();
  m_report.OnReplaced(m_scheduler.TakeReplacedRuns());
  for (const jobs::StopCommand& stop : m_scheduler.TakeStops(Time())) m_sessions->Send(stop);
  SendStarts();
  if (m_gate->MayStart()) {
    for (const jobs::StartCommand& start : m_scheduler.TakeResends(m_last_round, startable)) m_sessions->Send(start);
  }
  if (!m_write_pending) {
    ArchiveSettled();
    jobs::Batch batch = m_scheduler.TakeBatch(store::kMaxTransactionRows - kLeaderRowOps, store::kMaxTransactionBytes);
    if (!batch.Empty()) StoreBatch(std::move(batch));
  }
  m_sessions->Update();
  m_round_ended = m_parts.m_clock->Now();
  m_round_took = m_round_ended - m_last_round;
}

// A batch without rows names ends of tasks whose rows are stored already.
void SchedulerDriver::StoreBatch(jobs::Batch batch) {
  m_write_pending = true;
  const Instant sent = m_write_sent = m_parts.m_clock->Now();
  std::vector<jobs::RowChange> rows = std::exchange(batch.m_rows, {});
  BatchWriter::Events events;
  events.m_stored = [weak = weak_from_this(), batch = std::move(batch), sent] {
    const auto self = weak.lock();
    if (!self || self->m_stopped) return;
    self->m_store_ms->Add(static_cast<double>((self->m_parts.m_clock->Now() - sent).count()));
    self->m_write_pending = false;
    self->OnStored(batch);
  };
  events.m_rejected = [weak = weak_from_this()](const jobs::RowChange& row, const std::string& why) {
    if (const auto self = weak.lock(); self && !self->m_stopped) self->OnRowRejected(row, why);
  };
  std::make_shared<BatchWriter>(m_leadership, m_settings.m_tables.m_state, m_settings.m_tables.m_leader_part,
                                std::move(rows), std::move(events))
      ->Start();
}

// The row stays as it was stored last, so that a later leader, or a later version, may go on from there.
void SchedulerDriver::OnRowRejected(const jobs::RowChange& row, const std::string& why) {
  m_row_rejected = true;
  m_rows_rejected->Add();
  log::Error(kLog, "Store rejects a row, its tasks are set aside",
             {{"key", row.m_key}, {"bytes", std::to_string(row.m_value.value_or("").size())}, {"why", why}});
  if (const auto key = jobs::ParseStepRowKey(row.m_key)) m_scheduler.SetAside(*key);
}

// A new leader must know the evacuated domains before it places work.
bool SchedulerDriver::MayPlace() const {
  return m_settings.m_evacuate.count() == 0 || m_evacuations_known ||
         m_last_round - m_ready_at >= m_settings.m_evacuation_wait;
}

// Call only while no write is in flight, so that all rows of a settled job are stored.
void SchedulerDriver::ArchiveSettled() {
  if (m_last_round - m_last_archiving < kArchiveInterval) return;
  m_last_archiving = m_last_round;
  const auto settled = m_scheduler.TakeSettledJobs();
  if (!settled.empty()) m_archive->Add(settled);
}

std::optional<std::map<jobs::QueueName, int>> SchedulerDriver::Pending() const {
  const bool known = m_ready && m_parts.m_clock->Now() - m_gate->View().m_intake <= m_settings.m_pending_age;
  return known ? std::optional(m_scheduler.Pending()) : std::nullopt;
}

bool SchedulerDriver::MayHaveEarlierRows() const {
  return !m_ready || !m_earlier_jobs.IsEmpty() || m_archive->MayHaveRows(m_settings.m_tables.m_whole_part);
}

// At the end of an outage a start would leave before the changes meanwhile are read, such as cancels and drains. Where
// only some parts are known too little, others may use the room of their jobs.
void SchedulerDriver::SendStarts() {
  if (!m_gate->MayStart()) return;
  const jobs::JobFilter startable = m_gate->Startable();
  for (const jobs::StartCommand& start : std::exchange(m_held_starts, {})) {
    const bool held = startable && !startable(start.m_task.m_step.m_job);
    held ? m_scheduler.OnStartWithheld(start, Time()) : m_sessions->Send(start);
  }
}

void SchedulerDriver::OnStored(const jobs::Batch& batch) {
  m_held_starts.insert(m_held_starts.end(), batch.m_starts.begin(), batch.m_starts.end());
  SendStarts();
  // The worker keeps ends that may not be in a row, so that the next leader reads them.
  const bool rejected = std::exchange(m_row_rejected, false);
  for (const jobs::RecordedEnds& known : batch.m_recorded_ends) {
    rejected ? m_scheduler.WithholdEnds(known.m_worker) : m_sessions->SetRecordedEnds(known);
  }
  if (!batch.m_phases.empty()) {
    CountPhases(batch.m_phases);
    m_events.m_phases(batch.m_phases);
  }
  ScheduleRound();
}

void SchedulerDriver::ReportGuaranteeStarts() {
  const Millis bound = m_settings.m_scheduler.m_preemption.m_reclaim;
  for (const jobs::GuaranteeStart& start : m_scheduler.TakeGuaranteeStarts()) {
    m_guarantee_start_s->Add(static_cast<double>(start.m_since_accepted.count()) / 1'000.0);
    if (start.m_since_accepted > bound) m_guarantee_starts_late->Add();
    if (2 * start.m_since_accepted <= bound) continue;
    log::Warn(kLog, "Job within its account's guarantee began late",
              {{"job", jobs::HexText(start.m_job)},
               {"account", start.m_account.m_value},
               {"since_accepted_ms", std::to_string(start.m_since_accepted.count())},
               {"since_taken_in_ms", std::to_string(start.m_since_taken_in.count())},
               {"bound_ms", std::to_string(bound.count())}});
  }
}

void SchedulerDriver::ReportLoad() {
  const Instant now = m_parts.m_clock->Now();
  const jobs::SchedulerCounts scheduled = m_scheduler.Counts();
  LeaderSample sample;
  sample.m_loop_late = std::max(Millis{0}, now - m_last_tick - kRoundInterval);
  const StartView view = m_gate->View();
  sample.m_intake_age = now - view.m_intake;
  sample.m_list_age = now - view.m_workers;
  sample.m_write_age = m_write_pending ? now - m_write_sent : Millis{0};
  sample.m_queued = static_cast<int>(m_sessions->QueuedCommands());
  sample.m_open = scheduled.m_open_jobs;
  sample.m_active = scheduled.m_active_units;
  LeaderCounts counts;
  counts.m_rounds = m_rounds;
  counts.m_polls = m_parts.m_metrics->GetCounter("hq_worker_looks_total").Value();
  counts.m_starts = static_cast<std::uint64_t>(scheduled.m_starts);
  counts.m_rows = m_intake->RowsRead() + m_worker_rows->RowsRead();
  counts.m_scans = m_intake->Scans() + m_worker_rows->Scans();
  counts.m_lost_runs = static_cast<std::uint64_t>(scheduled.m_lost_runs);
  counts.m_lost_ends = static_cast<std::uint64_t>(scheduled.m_lost_ends);
  m_last_tick = now;
  m_report.Update(sample, counts, now);
}

void SchedulerDriver::ReportIdleJobs() {
  m_idle_report.Update(m_scheduler.IdleJobs(IdleReport::kMostJobs, Time()), MayPlace() && m_gate->MayStartAll(),
                       m_parts.m_clock->Now());
}

void SchedulerDriver::CountPhases(const std::vector<jobs::PhaseChange>& phases) {
  const Instant now = m_parts.m_clock->Wall();
  for (const jobs::PhaseChange& change : phases) {
    const Labels labels{{"priority", std::to_string(change.m_priority)}};
    const bool ended = jobs::Ended(change.m_phase);
    Distribution& times = m_parts.m_metrics->GetDistribution(ended ? "hq_job_ms" : "hq_job_wait_ms", labels);
    times.Add(static_cast<double>((now - change.m_accepted).count()));
    if (!ended) continue;
    m_parts.m_metrics->GetCounter("hq_jobs_ended_total", {{"phase", ToString(change.m_phase)}}).Add();
  }
}

// The job or step goes on as if it had no such row.
void SchedulerDriver::ReportUnreadable(const char* row, const std::string& key, const std::string& field) {
  log::Error(kLog, "Row can't be read", {{"row", row}, {"key", key}, {"field", field}});
  m_parts.m_metrics->GetCounter("hq_rows_unreadable_total", {{"row", row}}).Add();
}

}  // namespace hickoryquay::service
