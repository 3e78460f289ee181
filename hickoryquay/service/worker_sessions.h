// WorkerSessions: the leader's communication with workers. Polls them, extends leases, sends starts and stops.
//
// A busy worker has one long poll in flight, which is answered when a task ends and extends the lease of all its tasks.
// An idle worker is not polled once it has seen this leader's epoch. An unreachable worker is declared clear, that is
// free of running tasks, when the last lease that it may have received is over, the platform no longer lists its
// incarnation, or another incarnation answers. An incarnation is one run of the worker's process.
//
// Where workers report when they started, they may restart under their id (see jobs/incarnation.h). The new incarnation
// counts from its first reply to a poll; answers to commands that were sent before are ignored then.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/incarnation.h"
#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/jobs/worker_api.h"
#include "hickoryquay/service/command_queue.h"
#include "hickoryquay/service/domain_contact.h"
#include "hickoryquay/service/loop_lateness.h"

namespace hickoryquay::service {

struct SessionSettings {
  Millis m_lease{10'000};             // Of all tasks on a worker; limited to what the platform allows.
  Millis m_prior_grant_window{400};   // Time after the takeover in which the previous leader may have extended leases.
  Millis m_poll_wait{1'500};          // Of a long poll; short enough to extend the lease well before its end.
  Millis m_poll_timeout{700};         // Of a poll, in addition to its wait.
  Millis m_command_timeout{350};      // Of a start or stop; a hundred round trips within the region.
  Millis m_retry_delay{150};          // After a failed poll.
  Millis m_unstored_poll_delay{300};  // Between polls while ended tasks are not stored yet.
  Millis m_min_restart{1'000};        // Shortest time in which a crashed worker is back under its id.
  double m_clock_drift = 0.02;        // Share by which workers' clocks may be slow.
  Millis m_clock_slack{100};          // Added to the end of every lease that is waited for.
  Millis m_list_interval{1'000};    // Between requests for the ids of live workers, while a busy worker is unreachable.
  Millis m_list_max_lag{3'000};     // An incarnation younger than this may be missing from the list.
  Millis m_max_wall_error{10'000};  // Between the wall clocks of a worker and of this instance, jumps included.
  Millis m_list_timeout{1'500};     // Of the whole list.
  Millis m_longest_held{500};       // Starts that may not be sent for longer are withdrawn: their gangs wait in part.
  Millis m_longest_queued{0};       // A start that waits longer for the link is not sent; 0: no limit.
  DomainContactSettings m_domains;
};

// Not thread-safe. `scheduler`, `api`, `directory`, `timers` and `clock` must outlive it.
class WorkerSessions : public std::enable_shared_from_this<WorkerSessions> {
 public:
  struct Events {
    std::function<void()> m_changed;               // Events were passed to the scheduler: decide again.
    std::function<void()> m_fenced;                // A worker has seen a higher epoch.
    std::function<bool()> m_may_grant;             // Whether leases may be extended.
    std::function<jobs::JobFilter()> m_may_start;  // Jobs whose starts may be sent now; others wait.
  };

  WorkerSessions(jobs::Scheduler* scheduler, jobs::WorkerApi* api, jobs::WorkerDirectory* directory,
                 TimerService* timers, const Clock* clock, const SessionSettings& settings, Epoch epoch,
                 Metrics* metrics, Events events);

  void Start();
  void Stop();

  // The worker is listed, or its entry has changed.
  void List(const jobs::WorkerEntry& worker);
  void Unlist(const WorkerId& worker);

  // Adds a worker that stored rows refer to and that is not listed. Its tasks may still run. `born`: wall time of its
  // start, if known.
  void AddUnlisted(const WorkerId& id, const std::string& address, std::optional<Instant> born);

  // The worker may be dead: it gets no new tasks until it answers a poll. No effect while a poll is in flight, since
  // its answer or failure decides.
  void MarkSuspect(const WorkerId& worker);

  // Commands are sent as the link carries them (see command_queue.h), starts while m_may_start allows it and unless
  // they are withdrawn before.
  void Send(const jobs::StartCommand& command);
  void Send(const jobs::StopCommand& command);
  void SetRecordedEnds(const jobs::RecordedEnds& ends);  // Ignored if the worker has restarted since.
  // Sends the polls that are due. Call after each scheduling round; with many workers, only some calls look at them.
  void Update();
  std::size_t QueuedCommands() const { return m_commands.Queued(); }

 private:
  struct Session {
    jobs::WorkerTarget m_target;
    DomainId m_domain;  // Empty if no row has told it.
    bool m_listed = false;
    bool m_established = false;  // The worker has seen this leader's epoch.
    bool m_long_poll_pending = false;
    int m_polls_pending = 0;  // In flight, the long one included.
    int m_failures = 0;       // Consecutive failed polls.
    Instant m_retry_at;
    Instant m_created;
    Instant m_last_poll;        // When it was sent.
    Instant m_last_reply;       // When the present incarnation gave its last one, at the earliest.
    Instant m_unwatched_since;  // When it last had no poll in flight while it was busy; 0: it has one, or is idle.
    std::int64_t m_reported_ends = 0;  // Highest number of an ended task that the worker reported.
    Instant m_reported_at;             // When the first end arrived that is not stored yet; 0: all are.
    std::int64_t m_recorded_ends = 0;  // Highest one that is stored.
    std::int64_t m_acked_ends = 0;     // Highest one that the worker knows to be stored.
    jobs::WorkerTime m_clock;          // The worker's clock at m_clock_at, or slightly before.
    Instant m_clock_at;
    std::optional<Instant> m_clock_zero;  // When the worker's clock showed zero, at the earliest.
    Instant m_lease_end;                  // All tasks there have ended by then, unless the lease is extended.
    bool m_cleared = false;               // Declared clear since the last answer.
    bool m_awaits_late_starts = false;    // It is gone, and busy until no start can arrive any more if it returns.
    jobs::KnownIncarnation m_known;
    std::optional<Instant> m_row_born;  // Wall time of its start by its row, or by those of its runs.
    int m_incarnation = 0;              // Counts the restarts under its id.
  };
  using Sessions = std::map<WorkerId, std::shared_ptr<Session>>;

  bool IsUnreachable(const WorkerId& id, const Session& session) const;
  void SendCommands();
  void WithdrawHeldStarts(Instant now);
  void SendNow(const jobs::StartCommand& command);
  void SendNow(const jobs::StopCommand& command);
  using CommandAnswer = void (CommandQueue::*)(Millis, Instant);
  void OnCommandAnswer(Instant sent, CommandAnswer answer);
  void NoteContact(const Session& session, bool answered, const UnansweredCall& call);
  void OnContactChanged(const DomainId& domain);
  void ProbeLostDomains();
  void ListWorkerIds();
  void OnWorkerIds(const std::set<WorkerId>& worker_ids, Instant asked);
  bool IsOldEnoughToBeListed(const Session& session, Instant asked) const;
  void OnRow(const jobs::WorkerEntry& worker, Session* session);
  bool IdentifyIncarnation(const WorkerId& id, Session* session, const jobs::PollCall& call,
                           const jobs::PollReply& reply, Instant sent);
  void OnRestarted(const WorkerId& id, Session* session, Instant born, std::int64_t told_ends);
  void NoteMissingEnds(const WorkerId& id, const Session& session, const jobs::PollReply& reply);
  // Whether an answer belongs to the present incarnation; `incarnation` is the one that the call was sent to.
  bool IsCurrent(const WorkerId& id, Session* session, int incarnation, std::optional<Instant> born, Instant sent);
  std::int64_t EndsToTell(const Session& session) const;
  bool UpdateOne(const WorkerId& id, const std::shared_ptr<Session>& session);
  void Poll(const WorkerId& id, const std::shared_ptr<Session>& session, Millis wait);
  void OnPollReply(const WorkerId& id, const std::shared_ptr<Session>& session, const jobs::PollCall& call,
                   Instant sent, Result<jobs::PollReply, jobs::PollFailure> result);
  void OnFailure(const WorkerId& id, const std::shared_ptr<Session>& session, jobs::PollFailure failure);
  void Clear(const WorkerId& id, const std::shared_ptr<Session>& session, jobs::WorkerLoss loss);
  jobs::WorkerTime GrantLease(Session* session);
  Instant LatestLeaseEnd(Instant granted) const;
  jobs::Now Time() const { return {m_clock->Now(), m_clock->Wall()}; }

  jobs::Scheduler* m_scheduler;
  jobs::WorkerApi* m_api;
  jobs::WorkerDirectory* m_directory;
  TimerService* m_timers;
  const Clock* m_clock;
  SessionSettings m_settings;
  Epoch m_epoch;
  Events m_events;
  Sessions m_sessions;
  CommandQueue m_commands;
  std::optional<Instant> m_held_since;  // When starts began to be held back.
  DomainContact m_contact;
  LoopLateness m_lateness;
  Instant m_last_update;  // Of all sessions.
  Instant m_last_probe;   // Of idle workers of lost domains.
  Instant m_started;
  Instant m_last_listing;  // When the ids of live workers were last requested.
  bool m_listing = false;
  bool m_stopped = false;
  Subscription m_tick;
  Metrics* m_metrics;
  Counter* m_polls_sent;
  Counter* m_polls_failed;
  Counter* m_restarts;
  Counter* m_ends_missing;
  Distribution* m_start_ms;
  Distribution* m_unwatched_ms;
  Distribution* m_end_stored_ms;
};

}  // namespace hickoryquay::service
