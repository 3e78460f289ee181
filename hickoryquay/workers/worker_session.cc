#include "hickoryquay/workers/worker_session.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::workers {

namespace {

constexpr int kRenewDivisor = 3;  // A lease is due for renewal after 1/3 of its term.

bool GrantsLease(Op op) {
  return op == Op::kReserve || op == Op::kCommit || op == Op::kRenew;
}

bool EndsAttempt(Op op) {
  return op == Op::kStop || op == Op::kForget;
}

bool SameAttempt(const Command& a, const Command& b) {
  return a.m_job == b.m_job && a.m_attempt == b.m_attempt;
}

}  // namespace

WorkerSession::WorkerSession(const SessionSettings& settings, Instant now)
    : m_settings(settings),
      m_last_answer_at(now),
      m_last_sent_at(now - settings.MaxReportInterval()),
      m_last_tracked_at(now) {}

void WorkerSession::Queue(const Command& command) {
  std::erase_if(m_pending, [&](const QueuedCommand& pending) {
    const bool superseded = EndsAttempt(command.m_op) && !EndsAttempt(pending.m_command.m_op);
    return SameAttempt(pending.m_command, command) && (superseded || pending.m_command.m_op == command.m_op);
  });
  m_pending.push_back({command, false});
}

void WorkerSession::Track(JobId job, Attempt attempt, Instant granted, Instant now) {
  m_tracked[job] = TrackedJob{attempt, now, granted, granted};
  m_last_tracked_at = now;
}

void WorkerSession::Untrack(JobId job, Attempt attempt) {
  const auto found = m_tracked.find(job);
  if (found != m_tracked.end() && found->second.m_attempt == attempt) m_tracked.erase(found);
}

bool WorkerSession::RecentlyConfirmed(JobId job, Attempt attempt, Instant now) const {
  const auto found = m_tracked.find(job);
  if (found == m_tracked.end() || found->second.m_attempt != attempt) return false;
  return now < found->second.m_confirmed_at + m_settings.ConfirmWindow();
}

std::optional<std::vector<Command>> WorkerSession::NextMessage(Instant now, const MayRenew& may_renew) {
  if (m_in_flight || now < m_retry_at) return std::nullopt;
  const bool due = !m_pending.empty() || RenewalDue(now, may_renew) || now >= NextReportAt();
  if (!due) return std::nullopt;
  m_in_flight = true;
  m_last_sent_at = now;
  return CollectCommands(now, may_renew);
}

// A worker that has stopped answering is granted no more leases, so that the expiry of its last one is known.
bool WorkerSession::MayGrantLeases(Instant now) const {
  return m_has_answered && now - m_last_answer_at < m_settings.Lease() / kRenewDivisor + m_settings.m_answer_timeout;
}

bool WorkerSession::RenewalDue(Instant now, const MayRenew& may_renew) const {
  return MayGrantLeases(now) && std::any_of(m_tracked.begin(), m_tracked.end(), [&](const auto& entry) {
           const TrackedJob& tracked = entry.second;
           return now - tracked.m_grant_sent_at >= m_settings.Lease() / kRenewDivisor &&
                  may_renew(entry.first, tracked.m_attempt);
         });
}

// Finished tasks are noticed only in reports. Reports are frequent while tasks are young, so that the end of a short
// task is noticed soon, and rare once all tasks have run for long.
Instant WorkerSession::NextReportAt() const {
  if (m_tracked.empty()) return m_last_sent_at + m_settings.MaxReportInterval();
  const Millis age = (m_last_sent_at - m_last_tracked_at) / m_settings.m_report_age_divisor;
  return m_last_sent_at + std::clamp(age, m_settings.m_min_report_interval, m_settings.MaxReportInterval());
}

std::vector<Command> WorkerSession::CollectCommands(Instant now, const MayRenew& may_renew) {
  const bool may_grant = MayGrantLeases(now);
  std::vector<Command> commands;
  for (QueuedCommand& pending : m_pending) {
    if (GrantsLease(pending.m_command.m_op) && !may_grant) continue;
    pending.m_sent = true;
    commands.push_back(pending.m_command);
  }
  if (!may_grant) return commands;
  const bool renews = RenewalDue(now, may_renew);
  for (auto& [job, tracked] : m_tracked) {
    if (!renews || now - tracked.m_grant_sent_at < m_settings.Lease() / (2 * kRenewDivisor)) continue;
    if (!may_renew(job, tracked.m_attempt)) continue;
    tracked.m_grant_sent_at = now;
    commands.push_back(Command{Op::kRenew, job, tracked.m_attempt, 0, {}, ""});
  }
  const bool grants =
      std::any_of(commands.begin(), commands.end(), [](const Command& c) { return GrantsLease(c.m_op); });
  if (grants) m_last_grant_at = now;
  return commands;
}

void WorkerSession::OnAnswer(const SyncAnswer& answer, Instant now) {
  m_in_flight = false;
  m_has_answered = true;
  m_last_answer_at = now;
  m_retry_at = Instant{};
  for (const CommandResult& result : answer.m_results) {
    std::erase_if(m_pending, [&](const QueuedCommand& pending) {
      return pending.m_sent && pending.m_command.m_op == result.m_op && pending.m_command.m_job == result.m_job &&
             pending.m_command.m_attempt == result.m_attempt;
    });
    const auto tracked = m_tracked.find(result.m_job);
    if (tracked == m_tracked.end() || tracked->second.m_attempt != result.m_attempt) continue;
    if (result.m_ok && GrantsLease(result.m_op)) tracked->second.m_confirmed_at = m_last_sent_at;
  }
}

void WorkerSession::OnNoAnswer(Instant now) {
  m_in_flight = false;
  m_retry_at = now + m_settings.m_retry_delay;
  for (auto& [job, tracked] : m_tracked) tracked.m_grant_sent_at = std::min(tracked.m_grant_sent_at, m_last_answer_at);
}

bool WorkerSession::AllLeasesExpired(Instant now) const {
  const Instant last_expiry = m_last_grant_at + m_settings.m_answer_timeout + m_settings.Lease();
  return now >= m_last_answer_at + m_settings.Lease() && now >= last_expiry;
}

void WorkerSession::Reset() {
  m_pending.clear();
  m_tracked.clear();
  m_has_answered = false;
}

}  // namespace hickoryquay::workers
