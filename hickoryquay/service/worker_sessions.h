// WorkerSessions: the leader's conversations with workers: looks, leases, starts and stops.
//
// A busy worker has one long look outstanding, which comes back when a task ends and renews the lease of everything on
// it. An idle worker is left alone once it has seen this leader's epoch. A worker that can't be reached is declared
// clear once the last lease that may have reached it is over, or once the platform no longer knows its life.
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
#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/jobs/worker_api.h"

namespace hickoryquay::service {

struct SessionSettings {
  Millis m_lease{10'000};             // Of what runs on a worker; cut to what the platform allows.
  Millis m_prior_grant_window{400};   // How long after the takeover an earlier leader may have granted leases.
  Millis m_poll_wait{1'500};          // Of one long look; renews the lease well within its length.
  Millis m_poll_timeout{700};         // Of a look, beyond its wait.
  Millis m_command_timeout{350};      // Of a start or stop: a hundred round trips within the region.
  Millis m_retry_delay{150};          // After a look that failed.
  Millis m_unstored_poll_delay{300};  // Between looks while ends wait to be stored.
  double m_clock_drift = 0.02;        // Workers' clocks may be this much slow.
  Millis m_clock_slack{100};          // Added to every lease that is waited for.
  Millis m_list_interval{1'000};      // While a worker with tasks does not answer or is not listed.
  Millis m_list_max_lag{3'000};       // The list of lives may miss one that is younger than this.
  Millis m_list_timeout{1'500};       // Of all pages of that list.
};

// One thread. `scheduler`, `port`, `lives`, `timers` and `clock` outlive it.
class WorkerSessions : public std::enable_shared_from_this<WorkerSessions> {
 public:
  struct Events {
    std::function<void()> m_changed;    // The scheduler was told something.
    std::function<void()> m_fenced;     // A worker has seen a higher epoch.
    std::function<bool()> m_may_grant;  // Leases may be extended.
  };

  WorkerSessions(jobs::Scheduler* scheduler, jobs::WorkerApi* port, jobs::WorkerDirectory* directory,
                 TimerService* timers, const Clock* clock, const SessionSettings& settings, Epoch epoch,
                 Metrics* metrics, Events events);

  void Start();
  void Stop();

  // The whole list, each time anything in it changed.
  void SetListed(const std::vector<jobs::WorkerEntry>& workers);

  // Workers that stand in rows but are not listed: what was placed there may still run.
  void AddUnlisted(const WorkerId& id, const std::string& address);

  // It may be gone: gets nothing new until it has answered a look. One that is under way tells as well.
  void MarkSuspect(const WorkerId& worker);

  void Send(const jobs::StartCommand& command);
  void Send(const jobs::StopCommand& command);
  void SetRecordedEnds(const WorkerId& worker, std::int64_t number);
  void Update();  // After the scheduler has decided.

 private:
  struct Session {
    jobs::WorkerTarget m_target;
    bool m_listed = false;
    bool m_established = false;        // It has seen this leader's epoch.
    bool m_long_poll_pending = false;  // Under way.
    int m_polls_pending = 0;           // Under way, the long one included.
    int m_failures = 0;                // In a row.
    Instant m_retry_at;
    Instant m_created;
    Instant m_last_poll;  // When the last one was sent.
    std::int64_t m_reported_ends = 0;
    std::int64_t m_recorded_ends = 0;  // Stored.
    std::int64_t m_acked_ends = 0;     // The worker knows that they are.
    jobs::WorkerTime m_clock;          // At m_clock_at, or a little before.
    Instant m_clock_at;
    Instant m_lease_end;     // By then everything that was started there has ended, unless leases are extended.
    bool m_cleared = false;  // Since the last answer.
  };
  using Sessions = std::map<WorkerId, std::shared_ptr<Session>>;

  bool IsUnreachable(const WorkerId& id, const Session& session) const;
  void ListWorkerIds();
  void OnWorkerIds(const std::set<WorkerId>& worker_ids, Instant asked);
  void UpdateOne(const WorkerId& id, const std::shared_ptr<Session>& session);
  void Poll(const WorkerId& id, const std::shared_ptr<Session>& session, Millis wait);
  void OnPollReply(const WorkerId& id, const std::shared_ptr<Session>& session, const jobs::PollCall& call,
                   Instant sent, Result<jobs::PollReply, jobs::PollFailure> result);
  void OnFailure(const WorkerId& id, const std::shared_ptr<Session>& session, jobs::PollFailure failure);
  void Clear(const WorkerId& id, const std::shared_ptr<Session>& session, const char* why);
  jobs::WorkerTime GrantLease(Session* session);
  Instant LatestLeaseEnd(Instant granted) const;
  jobs::Now Time() const { return {m_clock->Now(), m_clock->Wall()}; }

  jobs::Scheduler* m_scheduler;
  jobs::WorkerApi* m_port;
  jobs::WorkerDirectory* m_directory;
  TimerService* m_timers;
  const Clock* m_clock;
  SessionSettings m_settings;
  Epoch m_epoch;
  Events m_events;
  Sessions m_sessions;
  Instant m_started;
  Instant m_last_listing;  // When they were last asked for.
  bool m_listing = false;
  bool m_stopped = false;
  Subscription m_tick;
  Counter* m_polls_sent;
  Counter* m_polls_failed;
  Distribution* m_start_ms;
};

}  // namespace hickoryquay::service
