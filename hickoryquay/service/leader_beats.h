// LeaderBeats: the leader's heartbeats to every instance, and what instances learn from them.
//
// A heartbeat says that the leader lives, which jobs changed their phase and how many jobs wait. It goes out at a fixed
// interval and soon after jobs ended, since callers may be waiting for that. Many instances pass it on to each other
// (see peers/broadcast.h), and ends of jobs are then collected for a moment, so what a leader sends grows with the
// square root of the number of instances and not with the rate at which jobs end.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/jobs/scheduler.h"
#include "hickoryquay/peers/broadcast.h"
#include "hickoryquay/peers/peer_service.h"
#include "hickoryquay/service/intake.h"

namespace hickoryquay::service {

struct BeatSettings {
  Millis m_interval{200};
  Millis m_call_timeout{600};
  // Where peers pass heartbeats on, ends of jobs are sent this long after the last one at the earliest. Where all peers
  // are called directly, ends are sent at once.
  Millis m_pause{100};
  Millis m_avoid_silent_for{3'000};  // A peer that did not answer passes nothing on for this long.
  Millis m_answered_within{5'000};   // See BestAnswering().
  std::size_t m_max_pass_on = 128;   // A message that asks for more is passed on to this many.
  peers::BroadcastSettings m_broadcast;
};

// What a heartbeat says besides phases.
struct LeaderStatus {
  Epoch m_epoch{};
  std::optional<std::map<jobs::QueueName, int>> m_pending;  // Of all jobs; empty: not known.
  bool m_may_have_earlier_rows = true;                      // See SchedulerDriver::MayHaveEarlierRows.
  JobMemory m_job_memory{};
};

struct BeatParts {
  InstanceId m_self;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  PhaseCache* m_phases = nullptr;  // Of this instance.
  peers::SendMessage m_send;
  std::function<std::vector<peers::Peer>()> m_peers;
  std::function<std::optional<LeaderStatus>()> m_status;  // Empty while this instance does not lead.
  std::function<void(Epoch)> m_on_leader;                 // A heartbeat of the leader of this epoch came.
  std::function<void(Epoch)> m_on_released;               // The leader of this epoch gave the leadership up.
  std::uint64_t m_random_seed = 1;
};

// Not thread-safe. What `parts` points to must outlive it.
class LeaderBeats : public std::enable_shared_from_this<LeaderBeats> {
 public:
  LeaderBeats(BeatParts parts, const BeatSettings& settings);

  void Start();
  void Stop();

  // Leader: begins a term, and sends its first heartbeat.
  void Begin();
  // Leader: phases that are stored now.
  void AddPhases(const std::vector<jobs::PhaseChange>& phases);
  // Leader: tells that it gave up the leadership of `epoch`.
  void SendReleased(Epoch epoch);
  // Leader: the highest fitness among peers that answered within m_answered_within; 0 if there are none.
  double BestAnswering() const;

  // Where the leader of the newest heartbeat received is called; empty if it is not a known peer.
  std::optional<net::Endpoint> LeaderEndpoint() const;

  // Handles a heartbeat of the leader, and passes it on where it says so.
  void Receive(const inner::wire::LeaderBeat& beat);

 private:
  void Send();
  void SendToAll(const inner::wire::LeaderBeat& beat);
  void SendTo(const peers::BroadcastGroup& group, const inner::wire::LeaderBeat& beat);
  void PassOn(const inner::wire::LeaderBeat& beat);
  Millis Pause() const;  // Between heartbeats, however many jobs end.

  BeatParts m_parts;
  BeatSettings m_settings;
  std::mt19937_64 m_random;
  std::vector<jobs::PhaseChange> m_unsent;
  std::int64_t m_sequence = 0;  // Of the last heartbeat sent in this term.
  Instant m_last_sent;
  std::size_t m_peer_count = 0;                     // When it was sent.
  std::map<net::Endpoint, Instant> m_silent_until;  // Peers that did not answer pass nothing on until then.
  std::map<net::Endpoint, Instant> m_answered_at;   // The last answer of each peer in this term.
  InstanceId m_leader;                              // Of the newest heartbeat received.
  std::int64_t m_received_epoch = 0;                // Of the newest heartbeat received.
  std::int64_t m_received_sequence = 0;             // Of the same heartbeat.
  Subscription m_timer;
  Subscription m_early;  // The next heartbeat, ahead of the interval.
  Counter* m_sent_total;
  Counter* m_silent_total;
};

}  // namespace hickoryquay::service
