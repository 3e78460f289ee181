#include "hickoryquay/service/intake.h"

#include <algorithm>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/jobs/rows.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"intake"};
constexpr Millis kPendingValid{1'500};  // A count may be 2 s old; beats come every 200 ms.

constexpr Millis kBeatValid{1'000};  // Several beats.

// Why a request can't be taken; empty where it can.
std::string Check(const jobs::JobRequest& request) {
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

}  // namespace

//-------------------------------------------------------------------------------------------------
// PhaseBoard
//-------------------------------------------------------------------------------------------------

void PhaseBoard::Set(JobId job, jobs::JobPhase phase, Instant now) {
  const auto found = m_phases.find(job);
  if (found != m_phases.end() && jobs::Ended(found->second.m_phase)) return;  // For good.
  m_phases[job] = {phase, now};
}

void PhaseBoard::Gap() {
  std::erase_if(m_phases, [](const auto& entry) { return !jobs::Ended(entry.second.m_phase); });
}

void PhaseBoard::SetPending(std::map<jobs::QueueName, int> pending, Instant now) {
  m_pending = std::move(pending);
  m_pending_at = now;
  m_has_pending = true;
}

std::optional<jobs::JobPhase> PhaseBoard::Find(JobId job, Instant now) const {
  const auto found = m_phases.find(job);
  if (found == m_phases.end()) return std::nullopt;
  const bool fresh = jobs::Ended(found->second.m_phase) || now - m_beat_at <= kBeatValid;
  return fresh ? std::optional(found->second.m_phase) : std::nullopt;
}

std::optional<int> PhaseBoard::Pending(const jobs::QueueName& queue, Instant now) const {
  if (!m_has_pending || now - m_pending_at > kPendingValid) return std::nullopt;
  const auto found = m_pending.find(queue);
  return found == m_pending.end() ? 0 : found->second;
}

void PhaseBoard::Sweep(Instant now) {
  std::erase_if(m_phases, [&](const auto& entry) { return now - entry.second.m_since > m_keep; });
}

//-------------------------------------------------------------------------------------------------
// Intake
//-------------------------------------------------------------------------------------------------

// A transaction that is sent until it is settled.
struct Intake::Write {
  const char* m_what;
  JobId m_id{};
  store::Transaction m_transaction;
  Instant m_begun;
  Instant m_until;            // The caller waits no longer.
  bool m_maybe_sent = false;  // Some attempt may still take effect.
  std::function<Result<Done, IntakeError>(const store::RowsDiffer&)> m_on_differ;
  SubmitCallback m_callback;
};

Intake::Intake(store::RowStore* store, TimerService* timers, const Clock* clock, Metrics* metrics,
               const IntakeSettings& settings)
    : m_store(store),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_board(settings.m_keep_phases),
      m_metrics(metrics),
      m_accepted(&metrics->GetCounter("hq_jobs_accepted_total")),
      m_unknown(&metrics->GetCounter("hq_jobs_unknown_total")),
      m_submit_ms(&metrics->GetDistribution("hq_submit_ms")) {}

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

store::RowKey Intake::IntakeKey(std::string key) const {
  return {m_settings.m_tables.m_intake, m_settings.m_tables.m_intake_part, std::move(key)};
}

void Intake::Submit(const Route& route, JobId id, jobs::JobRequest request, Millis time, SubmitCallback callback) {
  const std::string wrong = Check(request);
  if (!wrong.empty()) return callback(IntakeError{Malformed{wrong}});
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
  write->m_what = "Submission answered";
  write->m_id = id;
  write->m_transaction.m_checks.push_back({IntakeKey(JobRowKey(id)), Version{}});
  write->m_transaction.m_puts.push_back({IntakeKey(JobRowKey(id)), jobs::Write(job)});
  write->m_begun = m_clock->Now();
  write->m_until = write->m_begun + std::max(Millis{0}, time - m_settings.m_margin);
  // The same job, stored by an earlier attempt of the caller's or of ours.
  write->m_on_differ = [](const store::RowsDiffer&) { return Result<Done, IntakeError>(Done{}); };
  write->m_callback = [this, id, callback = std::move(callback)](Result<Done, IntakeError> result) {
    if (Ok(result) && !m_board.Find(id, m_clock->Now())) m_board.Set(id, jobs::JobPhase::kQueued, m_clock->Now());
    const auto* refused = Ok(result) ? nullptr : std::get_if<TryLater>(&ErrorOf(result));
    (Ok(result)           ? m_accepted
     : refused != nullptr ? &m_metrics->GetCounter("hq_jobs_refused_total", {{"why", refused->m_why}})
                          : m_unknown)
        ->Add();
    callback(std::move(result));
  };
  WhenStoreAnswers([this, write](bool answers) {
    answers ? Attempt(write) : Finish(write, IntakeError{Refusal("the store does not answer")});
  });
}

// Calls `then` at once where the store answered a moment ago, or is known to be away.
void Intake::WhenStoreAnswers(std::function<void(bool)> then) {
  if (m_away) return then(false);
  if (m_clock->Now() - m_contact <= m_settings.m_contact_valid) return then(true);
  Probe(std::move(then));
}

void Intake::Probe(std::function<void(bool)> then) {
  m_store->Read({m_settings.m_tables.m_intake, m_settings.m_tables.m_intake_part, "", ""}, 1,
                m_settings.m_probe_timeout,
                [self = shared_from_this(), sent = m_clock->Now(),
                 then = std::move(then)](const Result<store::RowPage, store::ReadError>& page) {
                  const bool answers = Ok(page) || self->AnsweredSince(sent);
                  if (Ok(page)) self->NoteContact();
                  if (!answers) self->SetAway();
                  then(answers);
                });
}

void Intake::SetAway() {
  if (!std::exchange(m_away, true)) log::Warn(kLog, "Store is away, refusing new work");
  m_probe = m_timers->After(m_settings.m_probe_every, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->Probe([self = self.get()](bool answers) {
      if (!answers || !std::exchange(self->m_away, false)) return;
      log::Info(kLog, "Store answers again");
      if (self->m_on_store_back) self->m_on_store_back();
    });
  });
}

void Intake::Cancel(JobId id, Millis time, SubmitCallback callback) {
  const Instant until = m_clock->Now() + std::max(Millis{0}, time - m_settings.m_margin);
  const std::string key = JobRowKey(id);
  const store::RowKey job = IntakeKey(key);
  m_store->Read(
      {job.m_table, job.m_part, key, key + '\0'}, 1, m_settings.m_call_timeout,
      [this, self = shared_from_this(), id, until, callback](const Result<store::RowPage, store::ReadError>& page) {
        if (!Ok(page)) {
          const Millis left = until - m_clock->Now();
          return Retry(
              until, [this, id, left, callback] { Cancel(id, left, callback); },
              [this, callback] { callback(IntakeError{Refusal("the store does not answer")}); });
        }
        NoteContact();
        if (ValueOf(page).m_rows.empty()) return callback(IntakeError{NoSuchJob{}});
        auto write = std::make_shared<Write>();
        write->m_what = "Cancel answered";
        write->m_id = id;
        write->m_transaction.m_checks.push_back({IntakeKey(JobRowKey(id)), ValueOf(page).m_rows.front().m_version});
        write->m_transaction.m_puts.push_back({IntakeKey(CancelRowKey(id)), "{}"});
        write->m_begun = m_clock->Now();
        write->m_until = until;
        write->m_on_differ = [](const store::RowsDiffer&) {
          return Result<Done, IntakeError>(IntakeError{NoSuchJob{}});
        };
        write->m_callback = callback;
        Attempt(write);
      });
}

void Intake::Attempt(const std::shared_ptr<Write>& write) {
  const Millis left = write->m_until - m_clock->Now();
  if (left.count() <= 0) {
    return Finish(
        write, write->m_maybe_sent ? IntakeError{OutcomeUnknown{}} : IntakeError{Refusal("the store does not answer")});
  }
  m_store->Transact(
      write->m_transaction, std::min(left, m_settings.m_call_timeout),
      [self = shared_from_this(), write, sent = m_clock->Now()](Result<Version, store::TransactError> result) {
        self->OnAttempt(write, sent, std::move(result));
      });
}

void Intake::OnAttempt(const std::shared_ptr<Write>& write, Instant sent,
                       Result<Version, store::TransactError> result) {
  if (Ok(result)) {
    NoteContact();
    return Finish(write, Done{});
  }
  const store::TransactError& error = ErrorOf(result);
  if (std::holds_alternative<store::StoreSilent>(error) && !m_away && !AnsweredSince(sent)) SetAway();
  if (const auto* differ = std::get_if<store::RowsDiffer>(&error)) return Finish(write, write->m_on_differ(*differ));
  write->m_maybe_sent = write->m_maybe_sent || std::holds_alternative<store::StoreSilent>(error);
  const bool late = m_clock->Now() - write->m_begun >= m_settings.m_refuse_after;
  if (late && !write->m_maybe_sent) return Finish(write, IntakeError{Refusal("the store turns writes away")});
  Retry(
      write->m_until, [this, write] { Attempt(write); },
      [this, write] {
        Finish(write,
               write->m_maybe_sent ? IntakeError{OutcomeUnknown{}} : IntakeError{Refusal("the store does not answer")});
      });
}

void Intake::Finish(const std::shared_ptr<Write>& write, Result<Done, IntakeError> result) {
  const Millis took = m_clock->Now() - write->m_begun;
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
      kLog, write->m_what,
      {{"job", jobs::HexText(write->m_id)},
       {"outcome", outcome},
       {"why", why},
       {"ms", std::to_string(took.count())},
       {"store_answered_ms_ago", m_contact.m_ms == 0 ? "never" : std::to_string((m_clock->Now() - m_contact).count())},
       {"configuration", std::to_string(m_configuration ? m_configuration->m_version : 0)}});
  write->m_callback(std::move(result));
}

void Intake::Retry(Instant until, std::function<void()> again, std::function<void()> give_up) {
  if (m_clock->Now() + m_settings.m_retry >= until) return give_up();
  m_timers->After(m_settings.m_retry, [self = shared_from_this(), again = std::move(again)] { again(); }).Detach();
}

//-------------------------------------------------------------------------------------------------
// Questions
//-------------------------------------------------------------------------------------------------

void Intake::State(JobId id, Millis time, PhaseCallback callback) {
  if (const auto phase = m_board.Find(id, m_clock->Now())) return callback(*phase);
  ReadPhase(id, m_clock->Now() + std::max(Millis{0}, time - m_settings.m_margin), std::move(callback));
}

void Intake::ReadPhase(JobId id, Instant until, PhaseCallback callback) {
  const std::string key = jobs::HexText(id);
  m_store->Read(
      {m_settings.m_tables.m_state, m_settings.m_tables.m_leader_part, key, key + '\0'}, 1, m_settings.m_call_timeout,
      [this, self = shared_from_this(), id, until, callback](const Result<store::RowPage, store::ReadError>& page) {
        if (!Ok(page)) {
          return Retry(
              until, [this, id, until, callback] { ReadPhase(id, until, callback); },
              [this, callback] { callback(IntakeError{Refusal("the store does not answer")}); });
        }
        NoteContact();
        if (ValueOf(page).m_rows.empty()) return ReadAccepted(id, until, callback);
        const auto row = jobs::ReadPhaseRow(ValueOf(page).m_rows.front().m_value);
        if (!Ok(row)) {
          log::Error(kLog, "Row of a job's phase can't be read", {{"job", jobs::HexText(id)}});
          return callback(IntakeError{Refusal("the job's row can't be read")});
        }
        m_board.Set(id, ValueOf(row).m_phase, m_clock->Now());
        callback(ValueOf(row).m_phase);
      });
}

void Intake::ReadAccepted(JobId id, Instant until, PhaseCallback callback) {
  const std::string key = JobRowKey(id);
  const store::RowKey row = IntakeKey(key);
  m_store->Read(
      {row.m_table, row.m_part, key, key + '\0'}, 1, m_settings.m_call_timeout,
      [this, self = shared_from_this(), id, until, callback](const Result<store::RowPage, store::ReadError>& page) {
        if (!Ok(page)) {
          return Retry(
              until, [this, id, until, callback] { ReadAccepted(id, until, callback); },
              [this, callback] { callback(IntakeError{Refusal("the store does not answer")}); });
        }
        NoteContact();
        if (ValueOf(page).m_rows.empty()) return callback(IntakeError{NoSuchJob{}});
        m_board.Set(id, jobs::JobPhase::kQueued, m_clock->Now());
        callback(jobs::JobPhase::kQueued);
      });
}

Result<int, IntakeError> Intake::Pending(const jobs::QueueName& queue) const {
  const auto pending = m_board.Pending(queue, m_clock->Now());
  if (!pending) return IntakeError{Refusal("no leader has reported")};
  return *pending;
}

}  // namespace hickoryquay::service
