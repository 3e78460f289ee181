// Rebuilds the view from the table's rows, the workers' reports and the configuration.

#include <algorithm>

#include "hickoryquay/base/log.h"
#include "hickoryquay/placer/placer_term.h"

namespace hickoryquay::placer {

namespace {

constexpr log::Part kLog{"placer"};
constexpr double kMillisPerSecond = 1000.0;

bool HasPlacements(JobState state) {
  return state == JobState::kStarting || state == JobState::kRunning;
}

}  // namespace

void Placer::Term::ReadRows(const std::string& after) {
  m_parts.m_table->Scan(JobPrefix(m_settings.m_domain), after, m_settings.m_page_rows,
                        [self = shared_from_this(), after](const Result<store::Page, store::TableError>& result) {
                          self->m_parts.m_executor([self, after, result] {
                            if (self->m_ended) return;
                            if (Ok(result)) return self->OnRows(ValueOf(result));
                            self->m_parts.m_timers
                                ->After(self->m_settings.m_read_retry,
                                        [self, after] {
                                          self->m_parts.m_executor([self, after] {
                                            if (!self->m_ended) self->ReadRows(after);
                                          });
                                        })
                                .Detach();
                          });
                        });
}

void Placer::Term::OnRows(const store::Page& page) {
  for (const store::Row& row : page.m_rows) LoadRow(row);
  if (page.m_more && !page.m_rows.empty()) return ReadRows(page.m_rows.back().m_key);
  m_rows_read = true;
  m_rows_read_at = m_parts.m_clock->Now();
  GoLiveWhenReady();
}

void Placer::Term::LoadRow(const store::Row& row) {
  auto parsed = ParseJobValue(row.m_value);
  if (!Ok(parsed)) {
    return log::Error(kLog, "Job row can't be read", {{"key", row.m_key}, {"field", ErrorOf(parsed).m_field}});
  }
  Job job = TakeValue(std::move(parsed));
  if (Ended(job.m_state)) return;
  m_writer->SetVersion(row.m_key, row.m_version);
  JobRecord record;
  record.m_durable_state = job.m_state;
  record.m_durable_attempt = job.m_attempt;
  record.m_job = std::move(job);
  const JobId id = record.m_job.m_id;
  m_jobs[id] = std::move(record);
}

// Waits up to m_worker_report_wait for the workers, since their reports show which attempts run. Workers that report
// later are handled then, or become lost.
void Placer::Term::GoLiveWhenReady() {
  if (m_live || m_ended || !m_rows_read) return;
  if (m_parts.m_instances() == nullptr) return;
  if (!m_jobs.empty() && m_parts.m_configuration()->m_markets.empty()) return;  // The configuration is not read yet.
  const bool waited = m_parts.m_clock->Now() - m_rows_read_at >= m_settings.m_worker_report_wait;
  if (m_pool->AllAnswered() || waited) GoLive();
}

void Placer::Term::GoLive() {
  m_live = true;
  ConfigurationChanged();
  JoinInitialWorkers();
  RaiseAttemptNumbers();
  std::vector<JobRecord*> records;
  for (auto& [id, record] : m_jobs) records.push_back(&record);
  std::stable_sort(records.begin(), records.end(), [](const JobRecord* a, const JobRecord* b) {
    const bool a_placed = HasPlacements(a->m_job.m_state);
    const bool b_placed = HasPlacements(b->m_job.m_state);
    return a_placed != b_placed ? a_placed : a->m_job.m_accepted < b->m_job.m_accepted;
  });
  std::vector<JobId> order;
  for (const JobRecord* record : records) order.push_back(record->m_job.m_id);
  for (const JobId id : order) {
    if (JobRecord* record = FindJob(id)) RestoreJob(record);
  }
  const auto early = std::exchange(m_early_reports, {});
  for (const auto& [id, report] : early) HandleReport(report.first, report.second);
  const double seconds = static_cast<double>((m_parts.m_clock->Now() - m_began_at).count()) / kMillisPerSecond;
  m_rebuild_s.Add(seconds);
  m_live_gauge.Set(1.0);
  log::Info(kLog, "View rebuilt", {{"jobs", std::to_string(order.size())}, {"seconds", std::to_string(seconds)}});
  RunEvery(m_settings.m_cancels_every, &Term::ReadCancelRows, &m_cancels_timer);
  RunEvery(m_settings.m_sweep_every, &Term::Sweep, &m_sweep_timer);
  ReadCancelRows();
}

// Joins listed workers that have reported or that a row names; the latter count as present until they report or are
// lost. Named workers that are not listed are remembered in m_missing_workers.
void Placer::Term::JoinInitialWorkers() {
  std::set<WorkerId> named;
  for (const auto& [id, record] : m_jobs) {
    if (!HasPlacements(record.m_job.m_state)) continue;
    for (const Placement& placement : record.m_job.m_placements) named.insert(placement.m_worker);
  }
  for (const Worker& worker : m_pool->Workers()) {
    if (m_early_reports.contains(worker.m_id) || named.contains(worker.m_id)) JoinWorker(worker);
    named.erase(worker.m_id);
  }
  m_missing_workers = std::move(named);
}

// A worker that a row names is lost if it is not listed for a whole lease. The lease counts from the earliest time at
// which this placer could have received its report: m_began_at plus the answer timeout.
void Placer::Term::CheckMissingWorkers() {
  const auto& session = m_settings.m_pool.m_session;
  std::erase_if(m_missing_workers, [this](const WorkerId& id) { return m_pool->HasWorker(id); });
  if (m_missing_workers.empty()) return;
  if (m_parts.m_clock->Now() < m_began_at + session.Lease() + session.m_answer_timeout) return;
  const auto missing = std::exchange(m_missing_workers, {});
  for (const WorkerId& id : missing) OnLost(id);
}

// Attempts that were started while the table was unavailable are in no row, but workers report them. The next attempt
// number must be higher.
void Placer::Term::RaiseAttemptNumbers() {
  for (const auto& [id, report] : m_early_reports) {
    for (const workers::TaskReport& task : report.second.m_tasks) {
      JobRecord* record = FindJob(task.m_job);
      if (record == nullptr || HasPlacements(record->m_job.m_state)) continue;
      record->m_job.m_attempt = std::max(record->m_job.m_attempt, task.m_attempt);
    }
  }
}

void Placer::Term::RestoreJob(JobRecord* record) {
  record->m_once = RunsAtMostOnce(record->m_job.m_spec);
  if (HasPlacements(record->m_job.m_state)) return RestoreAttempt(record);
  ApplyEvent(policy::JobRestored{record->m_job});
}

// All parts were reported as running, so the oldest of these reports bounds when a lease may have lapsed. The result
// lets the attempt be renewed until m_adopt_timeout after that report.
Instant Placer::Term::AdoptedGrantTime(const Gang& gang) const {
  Instant oldest = m_parts.m_clock->Now();
  for (const WorkerId& worker : gang.RunningWorkers()) oldest = std::min(oldest, m_pool->LastAnswerTime(worker));
  return oldest - m_settings.m_pool.m_session.ConfirmWindow() + m_settings.m_adopt_timeout;
}

// The attempt's record exists before the scheduler gets the job, so that decisions on it find the attempt.
void Placer::Term::RestoreAttempt(JobRecord* record) {
  const Job& job = record->m_job;
  const AttemptKey key{job.m_id, job.m_attempt};
  const bool was_running = job.m_state == JobState::kRunning;
  const Instant now = m_parts.m_clock->Now();
  AttemptRecord& attempt =
      m_attempts.emplace(key, AttemptRecord{Gang(job.m_placements, record->m_once), now, now, now}).first->second;
  attempt.m_gang.Restore(was_running);
  ApplyEvent(policy::JobRestored{job});
  attempt.m_restored = true;
  const std::vector<Placement> placements = job.m_placements;
  for (const Placement& placement : placements) {
    m_attempts_by_worker[placement.m_worker].insert(key);
    m_pool->Track(placement.m_worker, key.first, key.second, Instant{});  // Requests reports; no renewal yet.
  }
  for (const Placement& placement : placements) {
    const auto early = m_early_reports.find(placement.m_worker);
    AttemptRecord* current = FindAttempt(key);
    if (early == m_early_reports.end() || current == nullptr) continue;
    const auto report = workers::FindReport(early->second.second, key.first, key.second);
    HandleOutputs(key, current->m_gang.OnReport(placement.m_worker, report));
  }
}

}  // namespace hickoryquay::placer
