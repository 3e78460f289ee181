#include "hickoryquay/workers/worker_session.h"

#include <algorithm>
#include <utility>

namespace hickoryquay::workers {

namespace {

constexpr int kRenewShare = 3;  // A lease is renewed when this part of its term is over.

bool Grants(Op op) {
  return op == Op::kReserve || op == Op::kCommit || op == Op::kRenew;
}

bool Ends(Op op) {
  return op == Op::kStop || op == Op::kForget;
}

bool SameAttempt(const Command& a, const Command& b) {
  return a.m_job == b.m_job && a.m_attempt == b.m_attempt;
}

}  // namespace

WorkerSession::WorkerSession(const SessionSettings& settings, Instant now)
    : m_settings(settings), m_last_heard(now), m_last_sent(now - settings.Idle()), m_youngest_began(now) {}

void WorkerSession::Queue(const Command& command) {
  std::erase_if(m_pending, [&](const QueuedCommand& pending) {
    const bool superseded = Ends(command.m_op) && !Ends(pending.m_command.m_op);
    return SameAttempt(pending.m_command, command) && (superseded || pending.m_command.m_op == command.m_op);
  });
  m_pending.push_back({command, false});
}

void WorkerSession::Track(JobId job, Attempt attempt, Instant granted, Instant now) {
  m_tracked[job] = TrackedJob{attempt, now, granted, granted};
  m_youngest_began = now;
}

void WorkerSession::Untrack(JobId job, Attempt attempt) {
  const auto found = m_tracked.find(job);
  if (found != m_tracked.end() && found->second.m_attempt == attempt) m_tracked.erase(found);
}

bool WorkerSession::ConfirmWindow(JobId job, Attempt attempt, Instant now) const {
  const auto found = m_tracked.find(job);
  if (found == m_tracked.end() || found->second.m_attempt != attempt) return false;
  return now < found->second.m_confirmed + m_settings.ConfirmWindow();
}

std::optional<std::vector<Command>> WorkerSession::NextMessage(Instant now, const MayRenew& may_renew) {
  if (m_in_flight || now < m_not_before) return std::nullopt;
  const bool due = !m_pending.empty() || RenewalDue(now, may_renew) || now >= NextReport();
  if (!due) return std::nullopt;
  m_in_flight = true;
  m_last_sent = now;
  return Gather(now, may_renew);
}

// A worker that is silent gets no more leases, so that it is known when the last one lapses.
bool WorkerSession::MayGrant(Instant now) const {
  return m_heard && now - m_last_heard < m_settings.Lease() / kRenewShare + m_settings.m_answer_timeout;
}

bool WorkerSession::RenewalDue(Instant now, const MayRenew& may_renew) const {
  return MayGrant(now) && std::any_of(m_tracked.begin(), m_tracked.end(), [&](const auto& entry) {
           const TrackedJob& tracked = entry.second;
           return now - tracked.m_granted >= m_settings.Lease() / kRenewShare &&
                  may_renew(entry.first, tracked.m_attempt);
         });
}

// Finishes are noticed by reports: they come often while tasks are young, so that short ones are not held up much,
// and rarely once all have run for long.
Instant WorkerSession::NextReport() const {
  if (m_tracked.empty()) return m_last_sent + m_settings.Idle();
  const Millis age = (m_last_sent - m_youngest_began) / m_settings.m_age_share;
  return m_last_sent + std::clamp(age, m_settings.m_busy_every, m_settings.Idle());
}

std::vector<Command> WorkerSession::Gather(Instant now, const MayRenew& may_renew) {
  const bool may_grant = MayGrant(now);
  std::vector<Command> commands;
  for (QueuedCommand& pending : m_pending) {
    if (Grants(pending.m_command.m_op) && !may_grant) continue;
    pending.m_sent = true;
    commands.push_back(pending.m_command);
  }
  if (!may_grant) return commands;
  const bool renews = RenewalDue(now, may_renew);
  for (auto& [job, tracked] : m_tracked) {
    if (!renews || now - tracked.m_granted < m_settings.Lease() / (2 * kRenewShare)) continue;
    if (!may_renew(job, tracked.m_attempt)) continue;
    tracked.m_granted = now;
    commands.push_back(Command{Op::kRenew, job, tracked.m_attempt, 0, {}, ""});
  }
  const bool grants = std::any_of(commands.begin(), commands.end(), [](const Command& c) { return Grants(c.m_op); });
  if (grants) m_last_grant = now;
  return commands;
}

void WorkerSession::OnAnswer(const SyncAnswer& answer, Instant now) {
  m_in_flight = false;
  m_heard = true;
  m_last_heard = now;
  m_not_before = Instant{};
  for (const CommandResult& result : answer.m_results) {
    std::erase_if(m_pending, [&](const QueuedCommand& pending) {
      return pending.m_sent && pending.m_command.m_op == result.m_op && pending.m_command.m_job == result.m_job &&
             pending.m_command.m_attempt == result.m_attempt;
    });
    const auto tracked = m_tracked.find(result.m_job);
    if (tracked == m_tracked.end() || tracked->second.m_attempt != result.m_attempt) continue;
    if (result.m_ok && Grants(result.m_op)) tracked->second.m_confirmed = m_last_sent;
  }
}

void WorkerSession::OnNoAnswer(Instant now) {
  m_in_flight = false;
  m_not_before = now + m_settings.m_retry_every;
  for (auto& [job, tracked] : m_tracked) tracked.m_granted = std::min(tracked.m_granted, m_last_heard);
}

bool WorkerSession::Silent(Instant now) const {
  const Instant last_lapse = m_last_grant + m_settings.m_answer_timeout + m_settings.Lease();
  return now >= m_last_heard + m_settings.Lease() && now >= last_lapse;
}

void WorkerSession::Reset() {
  m_pending.clear();
  m_tracked.clear();
  m_heard = false;
}

}  // namespace hickoryquay::workers
