// Finds new job rows and cancel rows, and writes the jobs' states back.

#include <algorithm>
#include <boost/json/object.hpp>

#include "hickoryquay/base/log.h"
#include "hickoryquay/placer/placer_term.h"

namespace hickoryquay::placer {

namespace {

constexpr log::Part kLog{"placer"};
constexpr int kCancelRows = 200;

bool HasPlacements(JobState state) {
  return state == JobState::kStarting || state == JobState::kRunning;
}

}  // namespace

//-------------------------------------------------------------------------------------------------
// [SECTION] New jobs
//-------------------------------------------------------------------------------------------------

void Placer::Term::Notify(JobId job) {
  if (!m_live) return;  // The rebuild or the sweep will find the row.
  FetchJob(job);
}

void Placer::Term::FetchJob(JobId job) {
  if (!m_jobs_being_fetched.insert(job).second) return;
  const bool known = FindJob(job) != nullptr;
  const std::string key = known ? CancelKey(m_settings.m_domain, job) : JobKey(m_settings.m_domain, job);
  m_parts.m_table->Get(key, [self = shared_from_this(), job, known](const auto& result) {
    self->m_parts.m_executor([self, job, known, result] {
      self->m_jobs_being_fetched.erase(job);
      if (self->m_ended || !Ok(result) || ValueOf(result).m_version == Version{0}) return;
      if (known) return self->CancelJob(job);
      self->OnJobRow(job, ValueOf(result));
    });
  });
}

void Placer::Term::OnJobRow(JobId id, const store::Row& row) {
  if (FindJob(id) != nullptr) return;
  auto parsed = ParseJobValue(row.m_value);
  if (!Ok(parsed)) {
    return log::Error(kLog, "Job row can't be read", {{"key", row.m_key}, {"field", ErrorOf(parsed).m_field}});
  }
  Job job = TakeValue(std::move(parsed));
  if (job.m_state == JobState::kWaiting) AddNewJob(std::move(job), row.m_version);
}

// The instance that accepted the job may have a newer configuration than this one.
bool Placer::Term::IsConfigured(const JobSpec& spec) const {
  const Market* market = m_configuration->FindMarket(spec.m_market);
  return market != nullptr && market->FindAccount(spec.m_account) != nullptr &&
         market->FindClass(spec.m_class) != nullptr;
}

void Placer::Term::AddNewJob(Job job, Version version) {
  const JobId id = job.m_id;
  const bool may_wait = m_parts.m_clock->Wall() - job.m_accepted < m_settings.m_configuration_timeout;
  if (!IsConfigured(job.m_spec) && may_wait) {
    m_deferred_jobs.insert(id);
    return;
  }
  m_writer->SetVersion(JobKey(m_settings.m_domain, id), version);
  JobRecord& record = m_jobs[id];
  record.m_durable_attempt = job.m_attempt;
  record.m_job = std::move(job);
  record.m_once = RunsAtMostOnce(record.m_job.m_spec);
  if (m_cancelled_unknown.erase(id) > 0) {
    record.m_cancelled = true;
    return EndJob(&record, JobState::kCancelled, "cancelled before it was known");
  }
  const auto admitted = m_scheduler->Admit(record.m_job.m_spec, DecisionTime());
  if (!Ok(admitted)) return EndJob(&record, JobState::kRefused, "not run: " + policy::ToString(ErrorOf(admitted)));
  ApplyEvent(policy::JobSubmitted{record.m_job});
}

// A job of an unknown class is treated as one that runs at most once.
bool Placer::Term::RunsAtMostOnce(const JobSpec& spec) const {
  const Market* market = m_configuration->FindMarket(spec.m_market);
  const ClassOfWork* work = market == nullptr ? nullptr : market->FindClass(spec.m_class);
  return work == nullptr || RunsOnce(spec, *work);
}

void Placer::Term::FetchDeferred() {
  const auto deferred = std::exchange(m_deferred_jobs, {});
  for (const JobId id : deferred) FetchJob(id);
}

// Cycles through the job rows, a few per call, to find jobs whose notification was lost when its sender crashed.
void Placer::Term::Sweep() {
  FetchDeferred();
  if (m_sweeping) return;
  m_sweeping = true;
  m_parts.m_table->Scan(JobPrefix(m_settings.m_domain), m_sweep_after, m_settings.m_sweep_rows,
                        [self = shared_from_this()](const auto& result) {
                          self->m_parts.m_executor([self, result] {
                            self->m_sweeping = false;
                            if (!self->m_ended && Ok(result)) self->OnSweepPage(ValueOf(result));
                          });
                        });
}

void Placer::Term::OnSweepPage(const store::Page& page) {
  m_sweep_after = page.m_more && !page.m_rows.empty() ? page.m_rows.back().m_key : std::string();
  for (const store::Row& row : page.m_rows) {
    JobId id{};
    if (!ParseJobKey(row.m_key, &id) || FindJob(id) != nullptr) continue;
    const auto parsed = ParseJobValue(row.m_value);
    if (!Ok(parsed)) continue;
    const Job& job = ValueOf(parsed);
    if (!Ended(job.m_state)) {
      OnJobRow(id, row);
      continue;
    }
    const Millis keep = job.m_spec.m_key.empty() ? m_settings.m_keep_ended : m_settings.m_keep_keyed;
    if (m_parts.m_clock->Wall() - job.m_ended > keep) DeleteEnded(row);
  }
}

void Placer::Term::DeleteEnded(const store::Row& row) {
  store::Commit commit;
  commit.m_checks = {Fence(), {row.m_key, row.m_version}};
  commit.m_writes = {{row.m_key, std::nullopt}};
  m_parts.m_table->Submit(std::move(commit), [](const auto&) {});  // The next sweep retries.
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Cancellations
//-------------------------------------------------------------------------------------------------

void Placer::Term::ReadCancelRows() {
  if (m_reading_cancels) return;
  m_reading_cancels = true;
  ReadCancelPage("");
}

void Placer::Term::ReadCancelPage(const std::string& after) {
  m_parts.m_table->Scan(CancelPrefix(m_settings.m_domain), after, kCancelRows,
                        [self = shared_from_this()](const auto& result) {
                          self->m_parts.m_executor([self, result] {
                            if (self->m_ended) return;
                            const bool more = Ok(result) && ValueOf(result).m_more && !ValueOf(result).m_rows.empty();
                            self->m_reading_cancels = more;
                            if (Ok(result)) self->OnCancelRows(ValueOf(result));
                            if (more) self->ReadCancelPage(ValueOf(result).m_rows.back().m_key);
                          });
                        });
}

// The cancel row of a known job is deleted in the commit that writes the job's end. That of an unknown job is kept for
// a while: the write of the job's row may still be under way.
void Placer::Term::OnCancelRows(const store::Page& page) {
  for (const store::Row& row : page.m_rows) {
    JobId id{};
    if (!ParseJobKey(row.m_key, &id)) continue;
    if (FindJob(id) != nullptr) {
      CancelJob(id);
    } else if (m_cancelled_unknown.insert(id).second) {
      ResolveCancelRow(id, row);
    } else if (m_parts.m_clock->Wall() - CancelledAt(row.m_value) >= m_settings.m_keep_cancels) {
      DeleteCancelRow(id, row, Version{0});
    }
  }
}

// Reads the job's row, since the job may be new here, or have ended.
void Placer::Term::ResolveCancelRow(JobId id, const store::Row& cancel) {
  if (!m_jobs_being_fetched.insert(id).second) return;
  m_parts.m_table->Get(JobKey(m_settings.m_domain, id), [self = shared_from_this(), id, cancel](const auto& result) {
    self->m_parts.m_executor([self, id, cancel, result] {
      self->m_jobs_being_fetched.erase(id);
      if (self->m_ended || !Ok(result) || ValueOf(result).m_version == Version{0}) return;
      const store::Row& job = ValueOf(result);
      self->OnJobRow(id, job);
      const auto parsed = ParseJobValue(job.m_value);
      if (Ok(parsed) && Ended(ValueOf(parsed).m_state)) self->DeleteCancelRow(id, cancel, job.m_version);
    });
  });
}

// `job` is the version of the job's row, 0 if it is absent. Where that has changed, the next read looks at it again.
void Placer::Term::DeleteCancelRow(JobId id, const store::Row& cancel, Version job) {
  store::Commit commit;
  commit.m_checks = {Fence(), {cancel.m_key, cancel.m_version}, {JobKey(m_settings.m_domain, id), job}};
  commit.m_writes = {{cancel.m_key, std::nullopt}};
  m_parts.m_table->Submit(std::move(commit), [self = shared_from_this(), id](const auto&) {
    self->m_parts.m_executor([self, id] { self->m_cancelled_unknown.erase(id); });
  });
}

void Placer::Term::CancelJob(JobId id) {
  JobRecord* record = FindJob(id);
  if (record == nullptr || record->m_cancelled || Ended(record->m_job.m_state)) return;
  record->m_cancelled = true;
  ApplyEvent(policy::JobCancelled{id});
  record = FindJob(id);
  if (record == nullptr || Ended(record->m_job.m_state)) return;
  AttemptRecord* attempt = FindAttempt({id, record->m_job.m_attempt});
  const bool active = HasPlacements(record->m_job.m_state) && attempt != nullptr && !attempt->m_gang.Ended();
  if (!active) return EndJob(record, JobState::kCancelled, "cancelled before it ran");
  if (attempt->m_gang.CurrentPhase() != Gang::Phase::kStopping) {
    HandleOutputs({id, record->m_job.m_attempt}, attempt->m_gang.OnStop(false));
  }
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Writing back
//-------------------------------------------------------------------------------------------------

void Placer::Term::MarkDirty(const JobRecord& record, Millis delay) {
  m_writer->MarkDirty(JobKey(m_settings.m_domain, record.m_job.m_id), delay);
}

void Placer::Term::EndJob(JobRecord* record, JobState state, const std::string& why) {
  if (Ended(record->m_job.m_state)) return;
  record->m_job.m_state = state;
  record->m_job.m_why = why;
  record->m_job.m_ended = m_parts.m_clock->Wall();
  MarkDirty(*record, m_settings.m_end_write_delay);
}

store::Check Placer::Term::Fence() const {
  return m_parts.m_lease->Fence();
}

void Placer::Term::OnFenceConflict(const store::Row& row) {
  m_parts.m_lease->OnFenceConflict(row);
}

std::optional<RowUpdate> Placer::Term::MakeUpdate(const std::string& key) {
  JobId id{};
  const JobRecord* record = ParseJobKey(key, &id) ? FindJob(id) : nullptr;
  if (record == nullptr) return std::nullopt;
  RowUpdate update{JobValue(record->m_job), {}};
  if (Ended(record->m_job.m_state) && record->m_cancelled) {
    update.m_deletes.push_back(CancelKey(m_settings.m_domain, id));
  }
  return update;
}

void Placer::Term::OnWritten(const std::string& key, const std::string& value) {
  JobId id{};
  JobRecord* record = ParseJobKey(key, &id) ? FindJob(id) : nullptr;
  const auto written = ParseJobValue(value);
  if (record == nullptr || !Ok(written)) return;
  record->m_durable_state = ValueOf(written).m_state;
  record->m_durable_attempt = ValueOf(written).m_attempt;
  const AttemptKey attempt_key{id, record->m_durable_attempt};
  AttemptRecord* attempt = FindAttempt(attempt_key);
  if (attempt != nullptr && record->m_durable_state == JobState::kStarting) {
    HandleOutputs(attempt_key, attempt->m_gang.OnRecorded());
  }
  ForgetDurableAttempts(id);
}

// Lets workers forget ended attempts once the end is written to the table. Until then, only their reports show it.
void Placer::Term::ForgetDurableAttempts(JobId id) {
  const JobRecord* record = FindJob(id);
  if (record == nullptr) return;
  const bool durably_ended = !HasPlacements(record->m_durable_state);
  auto attempt = m_attempts.lower_bound({id, Attempt{0}});
  while (attempt != m_attempts.end() && attempt->first.first == id) {
    const Attempt number = attempt->first.second;
    const bool durable = number < record->m_durable_attempt || (number == record->m_durable_attempt && durably_ended);
    if (!attempt->second.m_gang.Ended() || !durable) {
      ++attempt;
      continue;
    }
    for (const WorkerId& worker : attempt->second.m_gang.WorkerIds()) {
      m_pool->Queue(worker, workers::Command{workers::Op::kForget, id, number, 0, {}, ""});
      m_attempts_by_worker[worker].erase(attempt->first);
    }
    attempt = m_attempts.erase(attempt);
  }
  const auto remaining = m_attempts.lower_bound({id, Attempt{0}});
  const bool has_attempts = remaining != m_attempts.end() && remaining->first.first == id;
  if (!Ended(record->m_durable_state) || has_attempts) return;
  m_writer->Forget(JobKey(m_settings.m_domain, id));
  m_jobs.erase(id);
}

// The job was moved to another failure domain, which may start it now, so stop all its attempts here.
void Placer::Term::OnRowRemoved(const std::string& key) {
  JobId id{};
  if (!ParseJobKey(key, &id) || FindJob(id) == nullptr) return;
  log::Info(kLog, "Job no longer belongs to this failure domain", {{"job", ToString(id)}});
  ApplyEvent(policy::JobCancelled{id});
  std::vector<AttemptKey> attempts;
  for (const auto& [attempt, unused] : m_attempts) {
    if (attempt.first == id) attempts.push_back(attempt);
  }
  for (const AttemptKey& attempt_key : attempts) {
    if (AttemptRecord* attempt = FindAttempt(attempt_key)) HandleOutputs(attempt_key, attempt->m_gang.OnStop(false));
  }
  m_jobs.erase(id);
}

}  // namespace hickoryquay::placer
