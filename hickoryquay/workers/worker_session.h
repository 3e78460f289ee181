// WorkerSession: command queue and lease state of one placer for one worker. Pure: no I/O, callers pass the time.
//
// A command stays queued until the worker acknowledges it, and is sent again if the answer is lost. One message is in
// flight at a time; commands queued meanwhile go into the next. Leases are renewed per job, after a third of their
// term, and only while every part of the gang is known to hold its lease: once one part's lease may have expired, the
// leases of the others are left to expire too.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "hickoryquay/workers/sync.h"

namespace hickoryquay::workers {

struct SessionSettings {
  Millis m_max_partial_run{15'000};   // Longest time that part of a gang runs after another part was lost.
  Millis m_answer_timeout{2'000};     // Per message.
  Millis m_idle_interval{5'000};      // Longest time between messages; see MaxReportInterval().
  Millis m_min_report_interval{500};  // Shortest time between reports, while tasks are young.
  int m_report_age_divisor = 8;       // The next report is due after the youngest task's age / this.
  Millis m_retry_delay{500};          // Wait after an unanswered message.

  // Lease term of reservations and running tasks. A gang's parts are renewed only while all were confirmed within
  // ConfirmWindow(): if one dies just after its confirmation, the others hold their leases for at most
  // ConfirmWindow() + Lease().
  Millis Lease() const { return m_max_partial_run * 3 / 5; }
  Millis ConfirmWindow() const { return m_max_partial_run * 2 / 5; }

  // At most half a lease, so that one lost message does not make an idle worker count as lost.
  Millis MaxReportInterval() const { return std::max(m_min_report_interval, std::min(m_idle_interval, Lease() / 2)); }
};

class WorkerSession {
 public:
  explicit WorkerSession(const SessionSettings& settings, Instant now);

  // Replaces a queued command of the same kind and attempt. kStop and kForget drop all others of their attempt except
  // each other.
  void Queue(const Command& command);

  // Renews the attempt's lease until Untrack(). `granted`: the earliest time at which it may have been granted.
  void Track(JobId job, Attempt attempt, Instant granted, Instant now);
  void Untrack(JobId job, Attempt attempt);

  // True if the worker confirmed the attempt's lease within ConfirmWindow().
  bool RecentlyConfirmed(JobId job, Attempt attempt, Instant now) const;

  // Returns the commands of the next message if one is due, possibly none. Renews only leases that `may_renew` allows.
  using MayRenew = std::function<bool(JobId, Attempt)>;
  std::optional<std::vector<Command>> NextMessage(Instant now, const MayRenew& may_renew);

  void OnAnswer(const SyncAnswer& answer, Instant now);
  void OnNoAnswer(Instant now);

  // True if the worker has not answered for a lease and all leases granted to it have expired.
  bool AllLeasesExpired(Instant now) const;

  bool HasAnswered() const { return m_has_answered; }
  Instant LastAnswerTime() const { return m_last_answer_at; }
  std::size_t Tracked() const { return m_tracked.size(); }
  std::size_t Pending() const { return m_pending.size(); }

  // Drops all commands and tracked leases of a lost worker. The session starts afresh with its next answer.
  void Reset();

 private:
  struct QueuedCommand {
    Command m_command;
    bool m_sent = false;
  };
  struct TrackedJob {
    Attempt m_attempt{};
    Instant m_tracked_at;
    Instant m_grant_sent_at;  // When its last grant was sent. Moved back if no answer came, so that renewal is due.
    Instant m_confirmed_at;   // When the last grant that the worker confirmed was sent.
  };

  bool MayGrantLeases(Instant now) const;
  bool RenewalDue(Instant now, const MayRenew& may_renew) const;
  Instant NextReportAt() const;
  std::vector<Command> CollectCommands(Instant now, const MayRenew& may_renew);

  SessionSettings m_settings;
  std::vector<QueuedCommand> m_pending;  // In the order queued.
  std::map<JobId, TrackedJob> m_tracked;
  bool m_in_flight = false;
  bool m_has_answered = false;
  Instant m_last_answer_at;
  Instant m_last_sent_at;
  Instant m_last_grant_at;  // When the last message that may have granted a lease was sent.
  Instant m_retry_at;       // Earliest time of the next message, after an unanswered one.
  Instant m_last_tracked_at;
};

}  // namespace hickoryquay::workers
