#include "hickoryquay/service/intake.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/job_memory.h"
#include "hickoryquay/jobs/rows.h"
#include "hickoryquay/service/intake_room.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"intake"};
constexpr std::size_t kRefusalReads = 100;  // Within the time below; beyond it the outcome is answered as unknown.
constexpr Millis kRefusalReadsWithin{1'000};
constexpr int kRejectionsToAnswer = 2;  // A peer that passes calls on may have rejected one for reasons of its own.

// Returns why a request is invalid; empty if it is valid.
std::string Validate(const jobs::JobRequest& request) {
  if (request.m_steps.empty()) return "a job needs a step";
  for (std::size_t i = 0; i < request.m_steps.size(); ++i) {
    const jobs::StepSpec& step = request.m_steps[i];
    if (step.m_tasks < 1) return "a step needs a task";
    for (const int earlier : step.m_after) {
      if (earlier < 0 || earlier >= static_cast<int>(i)) return "a step may only come after earlier ones";
    }
  }
  if (request.m_repeats > 1 && request.m_interval.count() <= 0) return "a repeated job needs an interval";
  return "";
}

std::optional<jobs::PhaseRow> StoredPhase(std::string_view value) {
  const auto row = jobs::ReadPhaseRow(value);
  return Ok(row) ? std::optional(ValueOf(row)) : std::nullopt;
}

std::optional<jobs::PhaseRow> PhaseOfAccepted(std::string_view) {
  return jobs::PhaseRow{};
}

store::RowRange OnlyRow(const store::RowKey& key) {
  return {key.m_table, key.m_part, key.m_key, key.m_key + '\0'};
}

// Null if the row is absent.
const store::StoredRow* FindRow(const store::RowsDiffer& differ, const store::RowKey& key) {
  const auto found = std::find_if(differ.m_rows.begin(), differ.m_rows.end(), [&key](const store::StoredRow& row) {
    return row.m_key == key && row.m_version != Version{};
  });
  return found == differ.m_rows.end() ? nullptr : &*found;
}

bool IsTombstone(const store::StoredRow& ended) {
  const auto row = jobs::ReadPhaseRow(ended.m_value);
  return Ok(row) && ValueOf(row).m_tombstone;
}

// Where a job is found: by GET, by submissions and by cancels. In this order, since a job moves from the first to the
// last (see job_archive.h).
struct Place {
  store::RowKey (*m_key)(const TableNames& tables, JobId job);
  std::optional<jobs::PhaseRow> (*m_read)(std::string_view value);
};
constexpr Place kPlaces[] = {
    {[](const TableNames& tables, JobId job) {
       return store::RowKey{tables.m_state, tables.m_leader_part, jobs::HexText(job)};
     },
     &StoredPhase},
    {[](const TableNames& tables, JobId job) {
       return store::RowKey{tables.m_intake, tables.IntakePart(job), JobRowKey(job)};
     },
     &PhaseOfAccepted},
    {[](const TableNames& tables, JobId job) {
       return store::RowKey{tables.m_ended, tables.IntakePart(job), jobs::HexText(job)};
     },
     &StoredPhase},
    {[](const TableNames& tables, JobId job) {
       return store::RowKey{tables.m_intake, tables.m_whole_part, JobRowKey(job)};
     },
     &PhaseOfAccepted},
    {[](const TableNames& tables, JobId job) {
       return store::RowKey{tables.m_ended, tables.m_whole_part, jobs::HexText(job)};
     },
     &StoredPhase},
};
constexpr std::size_t kAccepted = 1;  // Of this version's jobs; where they end follows.
constexpr std::size_t kEarlier = 3;   // Of jobs that versions before the sixteen parts accepted, in the same order.

}  // namespace

//-------------------------------------------------------------------------------------------------
// Intake
//-------------------------------------------------------------------------------------------------

// A transaction, and what follows from its outcome.
struct Intake::Step {
  store::Transaction m_transaction;
  Result<Done, IntakeError> m_answer = Done{};              // To the caller, once it is stored.
  std::function<void(Version)> m_on_stored;                 // May be empty.
  void (Intake::*m_next)(const WritePtr& write) = nullptr;  // Goes on instead of the answer; may be null.
  void (Intake::*m_on_conflict)(const WritePtr& write, const store::RowsDiffer& differ) = nullptr;
};

// A submission or a cancel. Its step is sent again until the outcome is known.
struct Intake::Write {
  const char* m_log_text;
  JobId m_id{};
  int m_priority = 0;  // Of its queue.
  std::string m_row;   // Of the submitted job.
  StorePart m_part;    // Of the rows that the step is about.
  Step m_step;
  void (Intake::*m_begin)(const WritePtr& write) = nullptr;  // Starts over, with the first step.
  Instant m_started;
  Instant m_until;    // Deadline of the answer to the caller.
  Millis m_limit{0};  // Of the attempt under way.
  int m_rejections = 0;
  AccountId m_account;           // Of a submission.
  std::uint64_t m_taken = 0;     // Bytes of the leader's memory that are not settled yet.
  IntakeError m_refusal;         // Of a submission for which there is no room.
  bool m_maybe_applied = false;  // An attempt without an answer may still take effect.
  SubmitCallback m_callback;
};

Intake::Intake(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
               const IntakeSettings& settings)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_phases(settings.m_phase_retention, settings.m_job_memory_bytes),
      m_watch(std::make_shared<PartWatch>(store, timers, clock, PartWatchSettings{})),
      m_tombstones(settings.m_most_tombstones, settings.m_tombstone_age),
      m_refusal_reads(kRefusalReads, kRefusalReadsWithin),
      m_metrics(metrics),
      m_accepted(&metrics->GetCounter("hq_jobs_accepted_total")),
      m_unknown(&metrics->GetCounter("hq_jobs_unknown_total")),
      m_tombstones_stored(&metrics->GetCounter("hq_tombstones_stored_total")),
      m_tombstones_met(&metrics->GetCounter("hq_tombstones_met_total")),
      m_submit_ms(&metrics->GetDistribution("hq_submit_ms")) {}

void Intake::Start() {
  m_watch->SetOnBack([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    if (self->m_on_store_available) self->m_on_store_available();
    self->ReleaseHeld();
  });
}

void Intake::SetConfiguration(std::shared_ptr<const jobs::QueueConfiguration> configuration) {
  m_configuration = std::move(configuration);
}

Result<Route, IntakeError> Intake::Find(std::string_view host, std::string_view path, std::string_view key) const {
  if (!m_configuration) return IntakeError{Refusal("no configuration yet")};
  const jobs::Queue* queue = m_configuration->Find(host, path);
  if (queue == nullptr) return IntakeError{UnknownQueue{}};
  const jobs::Account* account = m_configuration->FindAccountByKey(key);
  if (account == nullptr && !queue->m_public) return IntakeError{UnknownKey{}};
  return Route{*queue, account == nullptr ? AccountId{} : account->m_id};
}

store::RowKey Intake::JobRow(const Write& write) const {
  return {m_settings.m_tables.m_intake, write.m_part.m_part, JobRowKey(write.m_id)};
}

store::RowKey Intake::CancelRow(const Write& write) const {
  return {m_settings.m_tables.m_intake, write.m_part.m_part, CancelRowKey(write.m_id)};
}

store::RowKey Intake::EndedRow(const Write& write) const {
  return {m_settings.m_tables.m_ended, write.m_part.m_part, jobs::HexText(write.m_id)};
}

//-------------------------------------------------------------------------------------------------
// Submissions
//-------------------------------------------------------------------------------------------------

void Intake::Submit(const Route& route, JobId id, jobs::JobRequest request, Millis time, SubmitCallback callback) {
  const std::string problem = Validate(request);
  if (!problem.empty()) return callback(IntakeError{Malformed{problem}});
  const std::uint64_t memory = jobs::MemoryOf(request);
  const jobs::Queue& queue = route.m_queue;
  const jobs::AcceptedJob job{id,
                              queue.m_name,
                              route.m_account,
                              m_clock->Wall(),
                              queue.m_pool,
                              queue.m_priority,
                              queue.m_max_attempts,
                              queue.m_stretch,
                              queue.m_objective,
                              std::move(request)};
  auto write = std::make_shared<Write>();
  write->m_log_text = "Submission answered";
  write->m_id = id;
  write->m_priority = queue.m_priority;
  write->m_row = jobs::Write(job);
  if (write->m_row.size() > m_settings.m_max_row_bytes) {
    return callback(IntakeError{JobTooLarge{"the job takes more than a row of the store"}});
  }
  write->m_part = PartOf(id);
  write->m_begin = &Intake::BeginSubmission;
  write->m_started = m_clock->Now();
  write->m_until = write->m_started + AnswerWithin(time);
  write->m_callback = [this, id, callback = std::move(callback)](Result<Done, IntakeError> result) {
    const auto* refused = Ok(result) ? nullptr : std::get_if<TryLater>(&ErrorOf(result));
    (Ok(result)           ? m_accepted
     : refused != nullptr ? &m_metrics->GetCounter("hq_jobs_refused_total", {{"why", refused->m_why}})
                          : m_unknown)
        ->Add();
    callback(std::move(result));
  };
  if (!m_phases.Find(id, write->m_started)) {  // A repeated submission takes nothing.
    const JobRoom::Answer room = m_phases.Room().Take(route.m_account, memory);
    if (room == JobRoom::Answer::kNever) return Finish(write, RefusalOf(room));
    if (room != JobRoom::Answer::kFits) {
      write->m_refusal = RefusalOf(room);
      if (!m_refusal_reads.Take(write->m_started)) return Finish(write, IntakeError{OutcomeUnknown{}});
      write->m_begin = &Intake::BeginRefusal;
      return BeginRefusal(write);
    }
    write->m_account = route.m_account;
    write->m_taken = memory;
  }
  const Millis longest =
      HoldTime(Millis{0}, std::min(time, m_settings.m_longest_call), m_held.size(), m_settings.m_outage);
  m_watch->Check(write->m_part, longest, [self = shared_from_this(), write](bool answers) {
    answers ? self->BeginSubmission(write) : self->Hold(write);
  });
}

// An earlier attempt may have stored the job, and then a refusal would be untrue.
void Intake::BeginRefusal(const WritePtr& write) {
  const std::size_t end = m_phases.MayHaveEarlierRows(m_clock->Now()) ? std::size(kPlaces) : kEarlier;
  FindJob(write, kAccepted, end, [this, write] { Finish(write, write->m_refusal); });
}

Intake::Step Intake::SubmissionStep(const Write& write) {
  Step step;
  step.m_transaction.m_checks = {{JobRow(write), Version{}}, {EndedRow(write), Version{}}};
  step.m_transaction.m_puts = {{JobRow(write), write.m_row}};
  step.m_on_stored = [this, id = write.m_id, row = write.m_row, began = write.m_started](Version stored) {
    m_phases.SetFromStore(id, jobs::JobPhase::kQueued, began, m_clock->Now());
    if (m_on_accepted) m_on_accepted(id, row, stored);
  };
  step.m_on_conflict = &Intake::OnSubmissionConflict;
  return step;
}

// The job's cancel came first. The job is accepted and has ended, for as long as any other that was cancelled.
Intake::Step Intake::CancelledSubmissionStep(const Write& write, Version tombstone) {
  Step step;
  step.m_transaction.m_checks = {{EndedRow(write), tombstone}};
  step.m_transaction.m_puts = {
      {EndedRow(write), jobs::Write(jobs::PhaseRow{jobs::JobPhase::kCancelled, m_clock->Wall()})}};
  step.m_on_stored = [this, id = write.m_id](Version) { m_phases.Set(id, jobs::JobPhase::kCancelled, m_clock->Now()); };
  step.m_on_conflict = &Intake::OnSubmissionConflict;
  return step;
}

void Intake::BeginSubmission(const WritePtr& write) {
  write->m_step = SubmissionStep(*write);
  if (!m_phases.MayHaveEarlierRows(m_clock->Now())) return Attempt(write);
  FindJob(write, kEarlier, std::size(kPlaces), [this, write] { Attempt(write); });
}

// Answers the submission of a job that one of the places from `place` to before `end` knows. A tombstone is no job: its
// cancel has left one where the write finds it.
void Intake::FindJob(const WritePtr& write, std::size_t place, std::size_t end, std::function<void()> absent) {
  if (place == end) return absent();
  ReadFirst(write, OnlyRow(kPlaces[place].m_key(m_settings.m_tables, write->m_id)),
            [this, write, place, end, absent = std::move(absent)](const store::StoredRow* row) {
              if (row == nullptr) return FindJob(write, place + 1, end, absent);
              const auto phase = kPlaces[place].m_read(row->m_value);
              if (phase && phase->m_tombstone) return FindJob(write, place + 1, end, absent);
              Finish(write, Done{});
            });
}

// If the job is known, an earlier attempt, of the caller or of this instance, stored the same job. It may have ended
// since, so its phase is looked up when it is asked for.
void Intake::OnSubmissionConflict(const WritePtr& write, const store::RowsDiffer& differ) {
  const store::StoredRow* ended = FindRow(differ, EndedRow(*write));
  if (ended != nullptr && IsTombstone(*ended)) {
    m_tombstones_met->Add();
    write->m_step = CancelledSubmissionStep(*write, ended->m_version);
    return Attempt(write);
  }
  const bool known = ended != nullptr || FindRow(differ, JobRow(*write)) != nullptr;
  known ? Finish(write, Done{}) : StartOver(write);
}

//-------------------------------------------------------------------------------------------------
// Cancels
//-------------------------------------------------------------------------------------------------

void Intake::Cancel(JobId id, Millis time, SubmitCallback callback) {
  auto write = std::make_shared<Write>();
  write->m_log_text = "Cancel answered";
  write->m_id = id;
  write->m_part = PartOf(id);
  write->m_begin = &Intake::BeginCancel;
  write->m_started = m_clock->Now();
  write->m_until = write->m_started + AnswerWithin(time);
  write->m_callback = std::move(callback);
  BeginCancel(write);
}

void Intake::BeginCancel(const WritePtr& write) {
  write->m_part = PartOf(write->m_id);
  CancelInPart(write, [this, write] { LookForEarlierVersions(write); });
}

void Intake::CancelInPart(const WritePtr& write, std::function<void()> absent) {
  ReadFirst(write, OnlyRow(JobRow(*write)), [this, write, absent = std::move(absent)](const store::StoredRow* job) {
    if (job == nullptr) return absent();
    write->m_step = CancelStep(*write, job->m_version);
    Attempt(write);
  });
}

// Instances of versions before the sixteen parts keep all jobs in one other part. While any is there, accepted or
// ended, such instances may have writes under way.
void Intake::LookForEarlierVersions(const WritePtr& write) {
  const store::RowKey accepted = kPlaces[kEarlier].m_key(m_settings.m_tables, write->m_id);
  const store::RowKey ended = kPlaces[kEarlier + 1].m_key(m_settings.m_tables, write->m_id);
  const auto cancel_there = [this, write, part = StorePart{accepted.m_table, accepted.m_part}] {
    write->m_part = part;
    CancelInPart(write, [this, write] { BeginTombstone(write); });
  };
  ReadFirst(write, {accepted.m_table, accepted.m_part, "", ""},
            [this, write, ended, cancel_there](const store::StoredRow* job) {
              if (job != nullptr) return cancel_there();
              ReadFirst(write, {ended.m_table, ended.m_part, "", ""},
                        [this, write, cancel_there](const store::StoredRow* row) {
                          row != nullptr ? cancel_there() : BeginTombstone(write);
                        });
            });
}

Intake::Step Intake::CancelStep(const Write& write, Version job) {
  Step step;
  step.m_transaction.m_checks = {{JobRow(write), job}};
  step.m_transaction.m_puts = {{CancelRow(write), "{}"}};
  step.m_on_stored = [this, id = write.m_id](Version stored) {
    if (m_on_cancelled) m_on_cancelled(id, stored);
  };
  step.m_on_conflict = &Intake::OnCancelConflict;
  return step;
}

// The job was archived since it was read.
void Intake::OnCancelConflict(const WritePtr& write, const store::RowsDiffer&) {
  StartOver(write);
}

void Intake::BeginTombstone(const WritePtr& write) {
  if (m_tombstones.Take(m_clock->Now())) {
    write->m_step = TombstoneStep(*write);
    return Attempt(write);
  }
  ReadFirst(write, OnlyRow(EndedRow(*write)), [this, write](const store::StoredRow* ended) {
    if (ended != nullptr) return AnswerCancel(write, *ended);
    GiveUp(write, {m_tombstones.FreeIn(m_clock->Now()), "too many cancels of unknown jobs"});
  });
}

void Intake::BeginOwnTombstone(const WritePtr& write) {
  write->m_part = PartOf(write->m_id);
  BeginTombstone(write);
}

Intake::Step Intake::TombstoneStep(const Write& write) {
  const jobs::PhaseRow tombstone{jobs::JobPhase::kCancelled, m_clock->Wall(), true};
  Step step;
  step.m_transaction.m_checks = {{JobRow(write), Version{}}, {EndedRow(write), Version{}}};
  step.m_transaction.m_puts = {{EndedRow(write), jobs::Write(tombstone)}};
  step.m_answer = IntakeError{NoSuchJob{}};
  step.m_on_stored = [this](Version) { m_tombstones_stored->Add(); };
  if (write.m_part != PartOf(write.m_id)) step.m_next = &Intake::BeginOwnTombstone;
  step.m_on_conflict = &Intake::OnTombstoneConflict;
  return step;
}

void Intake::OnTombstoneConflict(const WritePtr& write, const store::RowsDiffer& differ) {
  if (!write->m_maybe_applied) m_tombstones.Return();
  if (const store::StoredRow* ended = FindRow(differ, EndedRow(*write))) return AnswerCancel(write, *ended);
  StartOver(write);  // The job was accepted since it was read.
}

// A job that has ended exists until its row expires.
void Intake::AnswerCancel(const WritePtr& write, const store::StoredRow& ended) {
  const auto row = jobs::ReadPhaseRow(ended.m_value);
  if (!Ok(row)) {
    log::Error(kLog, "Phase row of a job can't be read", {{"key", ended.m_key.m_key}});
    return GiveUp(write, Refusal("the job's row can't be read"));
  }
  if (!ValueOf(row).m_tombstone) return Finish(write, Done{});
  if (write->m_part != PartOf(write->m_id)) return BeginOwnTombstone(write);
  Finish(write, IntakeError{NoSuchJob{}});
}

//-------------------------------------------------------------------------------------------------
// Writes
//-------------------------------------------------------------------------------------------------

// Reads the first row of a range, which decides on the next step; `then` gets null if there is none.
void Intake::ReadFirst(const WritePtr& write, const store::RowRange& range,
                       std::function<void(const store::StoredRow*)> then) {
  m_store->Read(range, 1, m_settings.m_call_timeout,
                [this, self = shared_from_this(), write, part = StorePart{range.m_table, range.m_part},
                 then = std::move(then), sent = m_clock->Now()](const Result<store::RowPage, store::ReadError>& page) {
                  if (!Ok(page)) return StartOver(write);
                  m_watch->NoteAnswer(part, sent);
                  then(ValueOf(page).m_rows.empty() ? nullptr : &ValueOf(page).m_rows.front());
                });
}

// What is known of the rows does not hold, or could not be read.
void Intake::StartOver(const WritePtr& write) {
  const bool submission = !write->m_row.empty();
  const bool expired = m_clock->Now() - write->m_started >= m_settings.m_refuse_after;
  if (submission && expired) return GiveUp(write, Refusal("the store does not answer", write->m_part));
  Retry(
      write->m_until, [this, write] { (this->*write->m_begin)(write); },
      [this, write] { GiveUp(write, Refusal("the store does not answer", write->m_part)); });
}

// Keeps a write while its part of the store is silent, for as long as the policy allows.
void Intake::Hold(const WritePtr& write) {
  const Instant now = m_clock->Now();
  const Millis time = write->m_until + m_settings.m_answer_margin - write->m_started;
  const Millis silent = m_watch->SilentFor(write->m_part);
  const Millis hold = HoldTime(silent, time, m_held.size(), m_settings.m_outage) - (now - write->m_started);
  if (hold.count() <= 0) return GiveUp(write, Refusal("the store does not answer", write->m_part));
  m_held.emplace(write->m_priority, write);
  m_timers
      ->After(hold,
              [weak = weak_from_this(), write] {
                const auto self = weak.lock();
                if (!self) return;
                const auto held = std::find_if(self->m_held.begin(), self->m_held.end(),
                                               [&](const auto& entry) { return entry.second == write; });
                if (held == self->m_held.end()) return;
                self->m_held.erase(held);
                // It has waited here: another instance may be asked at once.
                self->GiveUp(write, {Millis{0}, "the store does not answer"});
              })
      .Detach();
}

void Intake::ReleaseHeld() {
  std::vector<std::shared_ptr<Write>> released;
  std::erase_if(m_held, [&](const auto& entry) {
    if (m_watch->IsSilent(entry.second->m_part)) return false;
    released.push_back(entry.second);
    return true;
  });
  for (const auto& write : released) (this->*write->m_begin)(write);
}

void Intake::Attempt(const WritePtr& write) {
  const Millis left = write->m_until - m_clock->Now();
  if (left.count() <= 0) return GiveUp(write, Refusal("the store does not answer", write->m_part));
  write->m_limit = std::min(left, m_settings.m_call_timeout);
  m_store->Transact(
      write->m_step.m_transaction, write->m_limit,
      [self = shared_from_this(), write, sent = m_clock->Now()](Result<Version, store::TransactError> result) {
        self->OnAttempt(write, sent, std::move(result));
      });
}

void Intake::OnAttempt(const WritePtr& write, Instant sent, Result<Version, store::TransactError> result) {
  if (Ok(result)) {
    m_watch->NoteAnswer(write->m_part, sent);
    if (write->m_step.m_on_stored) write->m_step.m_on_stored(ValueOf(result));
    if (write->m_step.m_next == nullptr) return Finish(write, write->m_step.m_answer);
    write->m_maybe_applied = true;
    return (this->*write->m_step.m_next)(write);
  }
  const store::TransactError& error = ErrorOf(result);
  if (std::holds_alternative<store::StoreSilent>(error)) m_watch->NoteSilence(write->m_part, sent, write->m_limit);
  if (const auto* differ = std::get_if<store::RowsDiffer>(&error)) {
    m_watch->NoteAnswer(write->m_part, sent);
    return (this->*write->m_step.m_on_conflict)(write, *differ);
  }
  const bool rejected = std::holds_alternative<store::StoreRejected>(error);
  if (rejected && ++write->m_rejections >= kRejectionsToAnswer && !write->m_maybe_applied) {
    m_watch->NoteAnswer(write->m_part, sent);
    if (write->m_row.empty()) return GiveUp(write, Refusal("the store does not take the row"));
    return Finish(write, IntakeError{Malformed{"the store does not take the row: " + store::ToString(error)}});
  }
  write->m_maybe_applied = write->m_maybe_applied || std::holds_alternative<store::StoreSilent>(error);
  if (m_watch->IsSilent(write->m_part)) return Hold(write);
  const bool expired = m_clock->Now() - write->m_started >= m_settings.m_refuse_after;
  if (expired && !write->m_maybe_applied) return Finish(write, IntakeError{Refusal("the store turns writes away")});
  Retry(
      write->m_until, [this, write] { Attempt(write); },
      [this, write] { GiveUp(write, Refusal("the store does not answer", write->m_part)); });
}

// Answers `refusal` only if no attempt can take effect.
void Intake::GiveUp(const WritePtr& write, const TryLater& refusal) {
  Finish(write, write->m_maybe_applied ? IntakeError{OutcomeUnknown{}} : IntakeError{refusal});
}

void Intake::Finish(const WritePtr& write, Result<Done, IntakeError> result) {
  if (write->m_taken > 0) {
    const std::uint64_t bytes = std::exchange(write->m_taken, 0);
    m_phases.Room().Settle(write->m_account, bytes, OutcomeOf(result), m_clock->Now());
  }
  const Millis took = m_clock->Now() - write->m_started;
  m_submit_ms->Add(static_cast<double>(took.count()));
  const char* outcome = "stored";
  std::string why;
  if (!Ok(result)) {
    const IntakeError& error = ErrorOf(result);
    const auto* later = std::get_if<TryLater>(&error);
    outcome = later != nullptr ? "refused" : std::holds_alternative<OutcomeUnknown>(error) ? "unknown" : "no such job";
    if (later != nullptr) why = later->m_why;
  }
  log::Info(
      kLog, write->m_log_text,
      {{"job", jobs::HexText(write->m_id)},
       {"outcome", outcome},
       {"why", why},
       {"ms", std::to_string(took.count())},
       {"store_answered_ms_ago",
        m_watch->LastAnswer().m_ms == 0 ? "never" : std::to_string((m_clock->Now() - m_watch->LastAnswer()).count())},
       {"configuration", std::to_string(m_configuration ? m_configuration->m_version : 0)}});
  write->m_callback(std::move(result));
}

void Intake::Retry(Instant until, std::function<void()> again, std::function<void()> give_up) {
  if (m_clock->Now() + m_settings.m_retry_delay >= until) return give_up();
  m_timers->After(m_settings.m_retry_delay, [self = shared_from_this(), again = std::move(again)] { again(); })
      .Detach();
}

//-------------------------------------------------------------------------------------------------
// Queries
//-------------------------------------------------------------------------------------------------

void Intake::State(JobId id, Millis time, PhaseCallback callback) {
  if (const auto phase = m_phases.Find(id, m_clock->Now())) return callback(*phase);
  LookUp(id, 0, m_clock->Now() + AnswerWithin(time), std::move(callback));
}

// Reads one place after the other until one knows the job.
void Intake::LookUp(JobId id, std::size_t place, Instant until, PhaseCallback callback) {
  if (place == std::size(kPlaces)) return callback(IntakeError{NoSuchJob{}});
  const store::RowKey key = kPlaces[place].m_key(m_settings.m_tables, id);
  m_store->Read(OnlyRow(key), 1, m_settings.m_call_timeout,
                [this, self = shared_from_this(), id, place, until, callback, part = StorePart{key.m_table, key.m_part},
                 sent = m_clock->Now()](const Result<store::RowPage, store::ReadError>& page) {
                  if (!Ok(page)) {
                    return Retry(
                        until, [this, id, place, until, callback] { LookUp(id, place, until, callback); },
                        [this, callback] { callback(IntakeError{Refusal("the store does not answer")}); });
                  }
                  m_watch->NoteAnswer(part, sent);
                  if (ValueOf(page).m_rows.empty()) return LookUp(id, place + 1, until, callback);
                  const store::StoredRow& row = ValueOf(page).m_rows.front();
                  const auto phase = kPlaces[place].m_read(row.m_value);
                  if (!phase) {
                    log::Error(kLog, "Phase row of a job can't be read", {{"key", row.m_key.m_key}});
                    return callback(IntakeError{Refusal("the job's row can't be read")});
                  }
                  if (phase->m_tombstone) return LookUp(id, place + 1, until, callback);
                  m_phases.SetFromStore(id, phase->m_phase, sent, m_clock->Now());
                  callback(phase->m_phase);
                });
}

Result<int, IntakeError> Intake::Pending(const jobs::QueueName& queue) const {
  const auto pending = m_phases.Pending(queue, m_clock->Now());
  if (!pending) return IntakeError{Refusal("no leader has reported")};
  return *pending;
}

}  // namespace hickoryquay::service
