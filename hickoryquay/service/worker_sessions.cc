#include "hickoryquay/service/worker_sessions.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"workers"};
constexpr Millis kUpdateInterval{50};  // Short compared to the delays in SessionSettings.
// Shortest time between two looks at all sessions, for each thousand of them: rounds come more often than that.
constexpr Millis kUpdatePausePerThousand{40};

CommandWindow WindowOf(const SessionSettings& settings) {
  CommandWindow window;
  window.m_longest_queued = settings.m_longest_queued;
  return window;
}

}  // namespace

WorkerSessions::WorkerSessions(jobs::Scheduler* scheduler, jobs::WorkerApi* api, jobs::WorkerDirectory* directory,
                               TimerService* timers, const Clock* clock, const SessionSettings& settings, Epoch epoch,
                               Metrics* metrics, Events events)
    : m_scheduler(scheduler),
      m_api(api),
      m_directory(directory),
      m_timers(timers),
      m_clock(clock),
      m_settings(settings),
      m_epoch(epoch),
      m_events(std::move(events)),
      m_commands(WindowOf(settings)),
      m_contact(settings.m_domains),
      m_lateness(kUpdateInterval),
      m_started(clock->Now()),
      m_metrics(metrics),
      m_polls_sent(&metrics->GetCounter("hq_worker_looks_total")),
      m_polls_failed(&metrics->GetCounter("hq_worker_looks_failed_total")),
      m_restarts(&metrics->GetCounter("hq_worker_restarts_total")),
      m_ends_missing(&metrics->GetCounter("hq_worker_ends_missing_total")),
      m_start_ms(&metrics->GetDistribution("hq_start_answer_ms")),
      m_unwatched_ms(&metrics->GetDistribution("hq_worker_unwatched_ms")),
      m_end_stored_ms(&metrics->GetDistribution("hq_end_stored_ms")) {}

void WorkerSessions::Start() {
  m_tick = m_timers->Every(kUpdateInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->m_lateness.OnTick(self->m_clock->Now());
    self->Update();
  });
}

void WorkerSessions::Stop() {
  m_stopped = true;
  m_metrics->GetGauge("hq_domains_lost").Set(0.0);  // No leader, or another one, judges that from now on.
  m_tick.Cancel();
}

void WorkerSessions::List(const jobs::WorkerEntry& worker) {
  auto& session = m_sessions[worker.m_id];
  if (!session) {
    session = std::make_shared<Session>();
    session->m_created = m_clock->Now();
    session->m_lease_end = LatestLeaseEnd(m_started + m_settings.m_prior_grant_window);
  }
  OnRow(worker, session.get());
  // The scheduler has forgotten an idle worker that was not listed: it is usable once it answers.
  if (!std::exchange(session->m_listed, true)) session->m_established = false;
  m_scheduler->OnWorkerListed(worker, Time());
}

void WorkerSessions::Unlist(const WorkerId& worker) {
  const auto found = m_sessions.find(worker);
  if (found == m_sessions.end() || !std::exchange(found->second->m_listed, false)) return;
  log::Info(kLog, "Worker is no longer listed", {{"worker", worker.m_value}});
  m_scheduler->OnWorkerUnlisted(worker);
  m_last_listing = Instant{};  // Request the list of live workers at once.
}

void WorkerSessions::AddUnlisted(const WorkerId& id, const std::string& address, std::optional<Instant> born) {
  auto& session = m_sessions[id];
  if (session) return;
  session = std::make_shared<Session>();
  session->m_target = {id, address};
  session->m_row_born = born;
  session->m_created = m_clock->Now();
  session->m_lease_end = LatestLeaseEnd(m_started + m_settings.m_prior_grant_window);
}

void WorkerSessions::MarkSuspect(const WorkerId& worker) {
  const auto found = m_sessions.find(worker);
  if (found == m_sessions.end() || found->second->m_polls_pending > 0) return;
  found->second->m_established = false;
  m_scheduler->SetWorkerUsable(worker, false);
  m_events.m_changed();
}

//-------------------------------------------------------------------------------------------------
// Commands
//-------------------------------------------------------------------------------------------------

// Extends the lease of all tasks on the worker. Returns its end on the worker's clock.
jobs::WorkerTime WorkerSessions::GrantLease(Session* session) {
  const Instant now = m_clock->Now();
  // The worker's clock has advanced by at least `slowest` and at most `passed`.
  const auto passed = static_cast<double>((now - session->m_clock_at).count());
  const auto slowest = static_cast<std::int64_t>(passed * (1.0 - m_settings.m_clock_drift));
  const jobs::WorkerTime until{session->m_clock.m_ms + slowest + m_settings.m_lease.count()};
  session->m_lease_end = std::max(session->m_lease_end, LatestLeaseEnd(now));
  return until;
}

// Returns when a lease granted at `granted` has certainly ended.
Instant WorkerSessions::LatestLeaseEnd(Instant granted) const {
  const auto longest = std::ceil(static_cast<double>(m_settings.m_lease.count()) / (1.0 - m_settings.m_clock_drift));
  return granted + Millis{static_cast<std::int64_t>(longest)} + m_settings.m_clock_slack;
}

void WorkerSessions::Send(const jobs::StartCommand& command) {
  m_commands.Add(command, m_clock->Now());
  SendCommands();
}

void WorkerSessions::Send(const jobs::StopCommand& command) {
  m_commands.Add(command);
  SendCommands();
}

void WorkerSessions::SendCommands() {
  for (const jobs::StartCommand& start : m_commands.TakeExpired(m_clock->Now())) {
    m_scheduler->OnStartWithheld(start, Time());
  }
  WithdrawHeldStarts(m_clock->Now());
  // Asked anew for each: a start may follow a pause of this process.
  while (const auto command = m_commands.Next(m_events.m_may_start())) {
    std::visit([this](const auto& next) { SendNow(next); }, *command);
  }
}

// The members of a gang that were sent before would wait for the others, and break the gang in the end.
void WorkerSessions::WithdrawHeldStarts(Instant now) {
  const jobs::JobFilter may_start = m_events.m_may_start();
  if (!may_start || !m_commands.HasHeld(may_start)) return m_held_since.reset();
  if (!m_held_since) m_held_since = now;
  if (now - *m_held_since < m_settings.m_longest_held) return;
  for (const jobs::StartCommand& start : m_commands.TakeHeld(may_start)) m_scheduler->OnStartWithheld(start, Time());
}

void WorkerSessions::OnCommandAnswer(Instant sent, CommandAnswer answer) {
  const Instant now = m_clock->Now();
  // What the answer waited for in this process says nothing about the link.
  (m_commands.*answer)(std::max(Millis{0}, now - sent - m_lateness.At(now)), now);
  SendCommands();
}

void WorkerSessions::SendNow(const jobs::StartCommand& command) {
  // A start extends the worker's lease, which a leader that may have a successor must not do: the successor counts on
  // its end.
  if (!m_scheduler->MaySend(command) || !m_events.m_may_grant()) return m_scheduler->OnStartWithheld(command, Time());
  m_scheduler->OnStartSent(command, Time());
  const auto found = m_sessions.find(command.m_worker);
  if (found == m_sessions.end()) return m_scheduler->OnStartAnswer(command, jobs::StartOutcome::kNotSent, Time());
  const auto session = found->second;
  jobs::StartCall call{
      command.m_task, command.m_run, command.m_payload, command.m_checkpoint, GrantLease(session.get()), m_epoch};
  const Instant sent = m_clock->Now();
  m_commands.OnSent();
  m_api->Start(session->m_target, call, m_settings.m_command_timeout,
               [weak = weak_from_this(), command, session, sent,
                incarnation = session->m_incarnation](const jobs::StartReply& reply) {
                 const auto self = weak.lock();
                 if (!self || self->m_stopped) return;
                 self->m_start_ms->Add(static_cast<double>((self->m_clock->Now() - sent).count()));
                 self->OnCommandAnswer(sent, &CommandQueue::OnAnswer);
                 const bool silent =
                     reply.m_outcome == jobs::StartOutcome::kUnknown || reply.m_outcome == jobs::StartOutcome::kNotSent;
                 self->NoteContact(*session, !silent, {command.m_worker, sent, self->m_settings.m_command_timeout});
                 if (reply.m_outcome == jobs::StartOutcome::kFenced) return self->m_events.m_fenced();
                 if (!self->IsCurrent(command.m_worker, session.get(), incarnation, reply.m_born, sent)) return;
                 self->m_scheduler->OnStartAnswer(command, reply.m_outcome, self->Time());
                 if (reply.m_outcome == jobs::StartOutcome::kOtherIncarnation)
                   self->Clear(command.m_worker, session, jobs::WorkerLoss::kReplaced);
                 self->m_events.m_changed();
               });
}

void WorkerSessions::SendNow(const jobs::StopCommand& command) {
  const auto found = m_sessions.find(command.m_worker);
  if (found == m_sessions.end()) return m_scheduler->OnStopAnswer(command, jobs::StopOutcome::kNoAnswer, Time());
  const auto session = found->second;
  m_commands.OnStopSent();
  m_api->Stop(session->m_target, {command.m_task, command.m_run, m_epoch}, m_settings.m_command_timeout,
              [weak = weak_from_this(), command, session, sent = m_clock->Now(),
               incarnation = session->m_incarnation](jobs::StopOutcome outcome) {
                const auto self = weak.lock();
                if (!self || self->m_stopped) return;
                self->OnCommandAnswer(sent, &CommandQueue::OnStopAnswer);
                self->NoteContact(*session, outcome != jobs::StopOutcome::kNoAnswer,
                                  {command.m_worker, sent, self->m_settings.m_command_timeout});
                if (outcome == jobs::StopOutcome::kFenced) return self->m_events.m_fenced();
                if (!self->IsCurrent(command.m_worker, session.get(), incarnation, std::nullopt, sent)) return;
                self->m_scheduler->OnStopAnswer(command, outcome, self->Time());
                if (outcome == jobs::StopOutcome::kOtherIncarnation)
                  self->Clear(command.m_worker, session, jobs::WorkerLoss::kReplaced);
                self->m_events.m_changed();
              });
}

void WorkerSessions::SetRecordedEnds(const jobs::RecordedEnds& ends) {
  const auto found = m_sessions.find(ends.m_worker);
  if (found == m_sessions.end()) return;
  Session& session = *found->second;
  if (ends.m_born.m_ms != 0 && ends.m_born != session.m_known.m_born) return;  // Numbers start anew.
  session.m_recorded_ends = std::max(session.m_recorded_ends, ends.m_number);
  if (session.m_reported_at == Instant{} || session.m_recorded_ends < session.m_reported_ends) return;
  m_end_stored_ms->Add(static_cast<double>((m_clock->Now() - session.m_reported_at).count()));
  session.m_reported_at = Instant{};
}

//-------------------------------------------------------------------------------------------------
// Contact with failure domains
//-------------------------------------------------------------------------------------------------

void WorkerSessions::NoteContact(const Session& session, bool answered, const UnansweredCall& call) {
  const bool changed = answered ? m_contact.OnAnswer(session.m_domain, m_clock->Now())
                                : m_contact.OnSilence(session.m_domain, call, m_clock->Now());
  if (changed) OnContactChanged(session.m_domain);
}

void WorkerSessions::OnContactChanged(const DomainId& domain) {
  if (m_contact.IsLost(domain)) {
    log::Warn(kLog, "Failure domain does not answer, nothing is started there", {{"domain", domain.m_value}});
  } else {
    log::Info(kLog, "Failure domain answers again", {{"domain", domain.m_value}});
  }
  m_metrics->GetGauge("hq_domains_lost").Set(static_cast<double>(m_contact.Lost().size()));
  m_scheduler->SetLost(m_contact.Lost(), Time());
  m_events.m_changed();
}

// Without busy workers nothing else would show that a domain answers again.
void WorkerSessions::ProbeLostDomains() {
  const Instant now = m_clock->Now();
  if (m_contact.Lost().empty() || now - m_last_probe < m_settings.m_domains.m_probe_interval) return;
  m_last_probe = now;
  std::map<DomainId, std::size_t> probed;
  for (const auto& [id, session] : m_sessions) {
    const bool idle = session->m_established && session->m_polls_pending == 0 && session->m_listed;
    if (!idle || !m_contact.IsLost(session->m_domain)) continue;
    if (++probed[session->m_domain] > m_settings.m_domains.m_probes_at_once) continue;
    session->m_established = false;
    m_scheduler->SetWorkerUsable(id, false);
  }
}

//-------------------------------------------------------------------------------------------------
// Incarnations
//-------------------------------------------------------------------------------------------------

void WorkerSessions::OnRow(const jobs::WorkerEntry& worker, Session* session) {
  const auto row = jobs::CompareRow(session->m_known.m_born, worker.m_born);
  if (row != jobs::RowIncarnation::kLagging) session->m_target = {worker.m_id, worker.m_address};
  session->m_domain = worker.m_domain;
  // Polled at once, but only once for each change, since the row may be wrong.
  const bool changed = worker.m_born != session->m_row_born;
  session->m_row_born = worker.m_born;
  if (changed && row == jobs::RowIncarnation::kNewer) session->m_established = false;
}

// Returns false if the reply says nothing about the present incarnation.
bool WorkerSessions::IdentifyIncarnation(const WorkerId& id, Session* session, const jobs::PollCall& call,
                                         const jobs::PollReply& reply, Instant sent) {
  switch (jobs::Compare(session->m_known, reply.m_born, sent)) {
    case jobs::ReportedIncarnation::kSame:
      return true;
    case jobs::ReportedIncarnation::kNewer:
      OnRestarted(id, session, *reply.m_born, call.m_recorded_ends);
      [[fallthrough]];
    case jobs::ReportedIncarnation::kFirst:
      session->m_known = {*reply.m_born, m_clock->Now()};
      session->m_clock_zero.reset();
      return true;
    case jobs::ReportedIncarnation::kStale:
    case jobs::ReportedIncarnation::kUnidentified:
      break;
  }
  return false;
}

// An incarnation numbers its ends without gaps. A gap shows ends that it has forgotten and no leader has read.
void WorkerSessions::NoteMissingEnds(const WorkerId& id, const Session& session, const jobs::PollReply& reply) {
  // The first ends that a leader reads of an incarnation that it did not see start may follow on recorded ones.
  if (session.m_incarnation == 0 && session.m_reported_ends == 0) return;
  std::int64_t last = session.m_reported_ends;
  for (const jobs::EndedTask& end : reply.m_ended) {
    if (end.m_number > last + 1) {
      log::Error(kLog, "Ends of runs are missing",
                 {{"worker", id.m_value},
                  {"after", std::to_string(last)},
                  {"next", std::to_string(end.m_number)},
                  {"acknowledged", std::to_string(session.m_acked_ends)}});
      m_ends_missing->Add(static_cast<std::uint64_t>(end.m_number - last - 1));
    }
    last = std::max(last, end.m_number);
  }
}

void WorkerSessions::OnRestarted(const WorkerId& id, Session* session, Instant born, std::int64_t told_ends) {
  log::Warn(kLog, "Worker has restarted",
            {{"worker", id.m_value},
             {"before", std::to_string(session->m_known.m_born.m_ms)},
             {"now", std::to_string(born.m_ms)},
             {"recorded_ends_before", std::to_string(session->m_recorded_ends)},
             {"told_ends", std::to_string(told_ends)}});
  m_restarts->Add();
  ++session->m_incarnation;
  session->m_reported_ends = 0;
  session->m_reported_at = Instant{};
  session->m_recorded_ends = 0;
  session->m_acked_ends = 0;
  session->m_clock = {};
  session->m_clock_at = m_clock->Now();
  session->m_last_reply = Instant{};
  session->m_lease_end = LatestLeaseEnd(m_clock->Now());  // Starts and polls that were sent before may extend it.
}

bool WorkerSessions::IsCurrent(const WorkerId& id, Session* session, int incarnation, std::optional<Instant> born,
                               Instant sent) {
  if (incarnation != session->m_incarnation) return false;
  // The answer of a restarted worker counts for the earlier incarnation until a poll has resolved what ran there.
  if (born && jobs::Compare(session->m_known, born, sent) == jobs::ReportedIncarnation::kNewer) {
    session->m_established = false;
    m_scheduler->SetWorkerUsable(id, false);
  }
  return true;
}

//-------------------------------------------------------------------------------------------------
// Polls
//-------------------------------------------------------------------------------------------------

void WorkerSessions::Update() {
  SendCommands();
  const Instant now = m_clock->Now();
  if (now - m_last_update < static_cast<std::int64_t>(m_sessions.size()) * kUpdatePausePerThousand / 1'000) return;
  m_last_update = now;
  ProbeLostDomains();
  bool unreachable = false;
  for (auto next = m_sessions.begin(); next != m_sessions.end();) {
    const auto current = next++;
    if (!UpdateOne(current->first, current->second)) {
      m_sessions.erase(current);
      continue;
    }
    unreachable = unreachable || IsUnreachable(current->first, *current->second);
  }
  if (unreachable && !m_listing && m_clock->Now() - m_last_listing >= m_settings.m_list_interval) ListWorkerIds();
}

// Whether the worker has tasks that it can't be asked about: it does not answer or is not listed.
bool WorkerSessions::IsUnreachable(const WorkerId& id, const Session& session) const {
  return (session.m_failures > 1 || !session.m_listed) && !session.m_cleared && m_scheduler->IsBusy(id);
}

void WorkerSessions::ListWorkerIds() {
  m_listing = true;
  m_last_listing = m_clock->Now();
  m_directory->ListWorkerIds(m_settings.m_list_timeout, [weak = weak_from_this(), asked = m_last_listing](
                                                            Result<std::set<WorkerId>, std::string> worker_ids) {
    const auto self = weak.lock();
    if (!self || self->m_stopped) return;
    self->m_listing = false;
    if (Ok(worker_ids)) return self->OnWorkerIds(ValueOf(worker_ids), asked);
    log::Warn(kLog, "Request for the list of live workers failed", {{"why", ErrorOf(worker_ids)}});
  });
}

void WorkerSessions::OnWorkerIds(const std::set<WorkerId>& worker_ids, Instant asked) {
  const Sessions sessions = m_sessions;
  for (const auto& [id, session] : sessions) {
    if (!IsUnreachable(id, *session) || session->m_awaits_late_starts || worker_ids.contains(id) ||
        !IsOldEnoughToBeListed(*session, asked))
      continue;
    Clear(id, session, jobs::WorkerLoss::kUnlisted);
  }
  m_events.m_changed();
}

// A new leader knows the worker since its takeover only, which says nothing about the worker's age.
bool WorkerSessions::IsOldEnoughToBeListed(const Session& session, Instant asked) const {
  if (asked - session.m_created >= m_settings.m_list_max_lag) return true;
  const Instant born = std::max(session.m_row_born.value_or(Instant{}), session.m_known.m_born);
  return born != Instant{} && m_clock->Wall() - born >= m_settings.m_list_max_lag + m_settings.m_max_wall_error;
}

// Returns false if the session has nothing left to do.
bool WorkerSessions::UpdateOne(const WorkerId& id, const std::shared_ptr<Session>& session) {
  const Instant now = m_clock->Now();
  const bool busy = m_scheduler->IsBusy(id);
  if (!busy) session->m_unwatched_since = Instant{};
  if (!session->m_listed && !busy && session->m_polls_pending == 0 &&
      session->m_acked_ends >= session->m_reported_ends) {
    return false;
  }
  if (busy && session->m_failures > 0 && now >= session->m_lease_end && !session->m_cleared) {
    Clear(id, session, jobs::WorkerLoss::kLeaseOver);
    m_events.m_changed();
  }
  if (session->m_polls_pending > 0) {
    const bool poll_now = session->m_long_poll_pending && session->m_polls_pending == 1 &&
                          (!session->m_established || m_scheduler->NeedsPoll(id, session->m_last_poll));
    if (poll_now) Poll(id, session, Millis{0});
    return true;
  }
  if (now < session->m_retry_at) return true;
  if (!session->m_established) {
    Poll(id, session, Millis{0});
    return true;
  }
  const bool unstored = session->m_reported_ends > session->m_recorded_ends;
  if (unstored) {
    if (busy && now - session->m_last_poll >= m_settings.m_unstored_poll_delay) Poll(id, session, Millis{0});
    return true;
  }
  if (busy) {
    // Ends that may not be told yet need a reply soon, and a worker may wait for another end.
    const bool untold = session->m_acked_ends < session->m_recorded_ends && EndsToTell(*session) == 0;
    const bool soon = untold || m_scheduler->NeedsPoll(id, session->m_last_poll);
    Poll(id, session, soon ? Millis{0} : m_settings.m_poll_wait);
    return true;
  }
  const bool waits_for_end =
      m_scheduler->HasUnrecordedRuns(id) && now - session->m_last_poll >= m_settings.m_unstored_poll_delay;
  if (session->m_acked_ends < session->m_recorded_ends || session->m_failures > 0 || waits_for_end)
    Poll(id, session, Millis{0});
  return true;
}

// The number of ends that the next poll tells the worker are recorded; 0: none.
std::int64_t WorkerSessions::EndsToTell(const Session& session) const {
  const bool knows = session.m_acked_ends >= session.m_recorded_ends && session.m_known.m_born.m_ms != 0;
  const bool may_tell = jobs::MayTellRecordedEnds(session.m_known, m_clock->Now() - session.m_last_reply,
                                                  session.m_failures > 0, m_settings.m_min_restart);
  return !knows && may_tell ? session.m_recorded_ends : 0;
}

void WorkerSessions::Poll(const WorkerId& id, const std::shared_ptr<Session>& session, Millis wait) {
  jobs::PollCall call{m_epoch, EndsToTell(*session), std::nullopt, wait};
  // The lease of a worker that does not answer is not extended: the call may still arrive, and the end of the lease
  // would be postponed forever.
  const bool grant = session->m_established && session->m_failures == 0 && m_events.m_may_grant();
  if (grant && m_scheduler->IsBusy(id)) {
    call.m_lease_until = GrantLease(session.get());
  }
  const Instant sent = m_clock->Now();
  session->m_last_poll = sent;
  if (session->m_polls_pending == 0 && session->m_unwatched_since != Instant{})
    m_unwatched_ms->Add(static_cast<double>((sent - session->m_unwatched_since).count()));
  session->m_unwatched_since = Instant{};
  ++session->m_polls_pending;
  if (wait.count() > 0) session->m_long_poll_pending = true;
  m_polls_sent->Add();
  m_api->Poll(session->m_target, call, wait + m_settings.m_poll_timeout,
              [weak = weak_from_this(), id, session, call, sent,
               incarnation = session->m_incarnation](Result<jobs::PollReply, jobs::PollFailure> result) {
                const auto self = weak.lock();
                if (!self || self->m_stopped) return;
                jobs::PollCall answered = call;
                if (incarnation != session->m_incarnation) answered.m_recorded_ends = 0;  // Numbers start anew.
                self->OnPollReply(id, session, answered, sent, std::move(result));
              });
}

void WorkerSessions::OnPollReply(const WorkerId& id, const std::shared_ptr<Session>& session,
                                 const jobs::PollCall& call, Instant sent,
                                 Result<jobs::PollReply, jobs::PollFailure> result) {
  --session->m_polls_pending;
  if (call.m_wait.count() > 0) session->m_long_poll_pending = false;
  const bool answered = Ok(result) || ErrorOf(result) == jobs::PollFailure::kFenced ||
                        ErrorOf(result) == jobs::PollFailure::kOtherIncarnation;
  NoteContact(*session, answered, {id, sent, call.m_wait + m_settings.m_poll_timeout});
  if (!Ok(result)) return OnFailure(id, session, ErrorOf(result));
  const jobs::PollReply& reply = ValueOf(result);
  const int incarnation = session->m_incarnation;
  if (!IdentifyIncarnation(id, session.get(), call, reply, sent)) {
    // A reply without a start time proves nothing; a stale one was sent before the restart.
    return reply.m_born ? void() : OnFailure(id, session, jobs::PollFailure::kNoAnswer);
  }
  const bool was_silent = session->m_failures > 1;
  session->m_failures = 0;
  session->m_awaits_late_starts = false;
  session->m_cleared = false;
  if (incarnation == session->m_incarnation)
    session->m_acked_ends = std::max(session->m_acked_ends, call.m_recorded_ends);
  if (reply.m_clock > session->m_clock) {
    session->m_clock = reply.m_clock;
    session->m_clock_at = m_clock->Now();
  }
  const jobs::ReplyGiven given = jobs::WhenGiven(session->m_clock_zero, reply.m_clock, sent, m_clock->Now());
  session->m_clock_zero = given.m_clock_zero;
  session->m_last_reply = std::max(session->m_last_reply, given.m_at);
  NoteMissingEnds(id, *session, reply);
  const std::int64_t reported_before = session->m_reported_ends;
  for (const jobs::EndedTask& end : reply.m_ended)
    session->m_reported_ends = std::max(session->m_reported_ends, end.m_number);
  if (session->m_reported_ends > reported_before && session->m_reported_at == Instant{})
    session->m_reported_at = m_clock->Now();
  if (!session->m_established || was_silent) log::Info(kLog, "Worker answers", {{"worker", id.m_value}});
  session->m_established = true;
  m_scheduler->SetWorkerUsable(id, true);
  m_scheduler->OnPollReply(id, reply, sent, Time());
  if (session->m_polls_pending == 0 && m_scheduler->IsBusy(id)) session->m_unwatched_since = m_clock->Now();
  if (incarnation != session->m_incarnation && m_scheduler->IsBusy(id))
    session->m_lease_end = LatestLeaseEnd(m_clock->Now() + jobs::kMaxCallDelay);
  m_events.m_changed();
}

void WorkerSessions::OnFailure(const WorkerId& id, const std::shared_ptr<Session>& session, jobs::PollFailure failure) {
  m_polls_failed->Add();
  if (failure == jobs::PollFailure::kFenced) return m_events.m_fenced();
  ++session->m_failures;
  session->m_retry_at = m_clock->Now() + m_settings.m_retry_delay;
  m_scheduler->SetWorkerUsable(id, false);
  m_scheduler->OnWorkerSilent(id, Time());
  if (session->m_failures == 2) log::Warn(kLog, "Worker does not answer", {{"worker", id.m_value}});
  if (failure == jobs::PollFailure::kOtherIncarnation) Clear(id, session, jobs::WorkerLoss::kReplaced);
  m_events.m_changed();
}

void WorkerSessions::Clear(const WorkerId& id, const std::shared_ptr<Session>& session, jobs::WorkerLoss loss) {
  log::Info(kLog, "Worker is clear", {{"worker", id.m_value}, {"why", ToString(loss)}});
  if (m_scheduler->IsBusy(id)) m_metrics->GetCounter("hq_workers_lost_total", {{"why", ToString(loss)}}).Add();
  session->m_cleared = true;
  session->m_acked_ends = session->m_reported_ends;
  m_scheduler->SetWorkerUsable(id, false);
  m_scheduler->OnWorkerCleared(id, loss, Time());
  if (!m_scheduler->IsBusy(id)) return;
  session->m_cleared = false;
  session->m_awaits_late_starts = true;
  session->m_lease_end = m_clock->Now() + jobs::kMaxCallDelay;
}

}  // namespace hickoryquay::service
