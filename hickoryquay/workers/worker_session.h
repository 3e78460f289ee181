// WorkerSession: what one placer has to say to one worker and what it knows of it. Pure: no I/O, no clock of its own.
//
// Commands are kept until the worker answers them, so a lost answer costs a repetition. One message is under way at a
// time; all that gathers meanwhile goes into the next. Leases are renewed in messages, job by job, when a third of
// their term is over, and only while every part of the gang is known to hold its own: once one may have lapsed the
// others run out with it.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hickoryquay/workers/sync.h"

namespace hickoryquay::workers {

struct SessionSettings {
  Millis m_max_partial_run{15'000};   // No part of a gang runs alone for longer than this.
  Millis m_answer_timeout{2'000};     // Of one message.
  Millis m_idle_interval{5'000};      // Between messages to a worker that has nothing new.
  Millis m_min_report_interval{500};  // Shortest time between reports of a worker whose tasks have just begun.
  int m_report_age_divisor = 8;       // A report is due after this part of the youngest task's age.
  Millis m_retry_delay{500};          // After an unanswered message.

  // Of reservations and of running tasks. Parts are renewed while all were confirmed within ConfirmWindow(): where one
  // dies just after that, the others hold their leases for ConfirmWindow() + Lease() at most.
  Millis Lease() const { return m_max_partial_run * 3 / 5; }
  Millis ConfirmWindow() const { return m_max_partial_run * 2 / 5; }

  // Half a lease at most, so that one lost message does not make an idle worker count as silent.
  Millis MaxReportInterval() const { return std::max(m_min_report_interval, std::min(m_idle_interval, Lease() / 2)); }
};

class WorkerSession {
 public:
  explicit WorkerSession(const SessionSettings& settings, Instant now);

  // Supersedes what it makes pointless: a stop drops all other commands of the same attempt.
  void Queue(const Command& command);

  // Renews that attempt's lease from now on, until Untrack. `granted`: when its lease was granted at the earliest.
  void Track(JobId job, Attempt attempt, Instant granted, Instant now);
  void Untrack(JobId job, Attempt attempt);

  // True where the worker confirmed that attempt's lease a short while ago.
  bool RecentlyConfirmed(JobId job, Attempt attempt, Instant now) const;

  // The commands of the next message, where one is due. Leases are renewed only where `may_renew` allows.
  using MayRenew = std::function<bool(JobId, Attempt)>;
  std::optional<std::vector<Command>> NextMessage(Instant now, const MayRenew& may_renew);

  void OnAnswer(const SyncAnswer& answer, Instant now);
  void OnNoAnswer(Instant now);

  // True where the worker has been silent for so long that every lease it was given has lapsed.
  bool AllLeasesExpired(Instant now) const;

  bool HasAnswered() const { return m_has_answered; }
  Instant LastAnswerTime() const { return m_last_answer_at; }
  std::size_t Tracked() const { return m_tracked.size(); }
  std::size_t Pending() const { return m_pending.size(); }

  // Forgets everything that was asked of it: it is lost, and starts anew when it answers.
  void Reset();

 private:
  struct QueuedCommand {
    Command m_command;
    bool m_sent = false;
  };
  struct TrackedJob {
    Attempt m_attempt{};
    Instant m_tracked_at;
    Instant m_grant_sent_at;  // When the last message that may have granted its lease was sent.
    Instant m_confirmed_at;   // When the last one that the worker answered was sent.
  };

  bool MayGrantLeases(Instant now) const;
  bool RenewalDue(Instant now, const MayRenew& may_renew) const;
  Instant NextReportAt() const;
  std::vector<Command> CollectCommands(Instant now, const MayRenew& may_renew);

  SessionSettings m_settings;
  std::vector<QueuedCommand> m_pending;  // In the order asked.
  std::map<JobId, TrackedJob> m_tracked;
  bool m_in_flight = false;
  bool m_has_answered = false;
  Instant m_last_answer_at;
  Instant m_last_sent_at;
  Instant m_last_grant_at;  // Latest message that may have granted a lease.
  Instant m_retry_at;       // After an unanswered message.
  Instant m_last_tracked_at;
};

}  // namespace hickoryquay::workers
