// Leadership: elects the instance that schedules, and orders its writes to the store.
//
// One row names the leader, its epoch and the number of its last write. Each write of the leader checks the version of
// that row and updates it; only one write is in flight at a time. So a write whose answer was lost can be sent again, a
// delayed duplicate has no effect, and a deposed leader can't write.
//
// Other instances watch the row. One that saw it unchanged for m_takeover_after, by its own steady clock, takes over.
// The leader renews the row when it has nothing else to write. Wall clocks are never compared. Instances are ranked:
// each waits a little longer than those before it, so that the ablest one that lives takes over and the others don't
// compete with it.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] The leader's row
//   [SECTION] Leadership
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/model/json.h"
#include "hickoryquay/store/adaptive_store.h"
#include "hickoryquay/store/row_store.h"
#include "hickoryquay/store/version_times.h"

namespace hickoryquay::service {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

struct LeadershipSettings {
  store::RowKey m_row;
  std::string m_node;              // Name of the machine; survives restarts of the process.
  InstanceId m_self;               // Unique to this run of the process.
  std::string m_address;           // For calls from other instances.
  Millis m_renew_interval{350};    // A third of m_takeover_after, so that two renewals may be lost.
  Millis m_takeover_after{1'100};  // A row unchanged for this long is taken over. Limits the time without starts.
  Millis m_watch_interval{250};    // Between reads of the row while no heartbeats arrive.
  Millis m_rank_delay{50};         // Added to m_takeover_after for each instance that should lead rather than this one.
  int m_max_rank = 8;              // More of them add no more.
  Millis m_heartbeat_valid{700};   // After a heartbeat the row is not read for this long. Heartbeats come every 200 ms.
  Millis m_call_timeout{2'500};    // Upper limit of a store call; AdaptiveStore usually sets a much shorter one.
  Millis m_retry_delay{40};        // After a failed read or a refused write; doubles with each refusal of a write.
  Millis m_longest_retry{640};     // After a refused write.
  // How long a write may be silent before its row is read: at least m_least, and m_spread times what writes took lately
  // plus m_slack.
  store::AdaptiveSettings m_silence{Millis{150}, 3.0, Millis{50}, 0.1};
  Millis m_grant_window{1'500};  // After a renewal, leases may be extended this long. A successor waits for them.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] The leader's row
//-------------------------------------------------------------------------------------------------

struct LeaderRow {
  Epoch m_epoch{};
  std::string m_node;
  InstanceId m_holder;
  std::string m_address;
  std::int64_t m_write = 0;  // Number of the leader's last write.
  bool m_released = false;   // Released by its holder: may be taken over at once.
};

std::string Write(const LeaderRow& row);
Parsed<LeaderRow> ReadLeaderRow(std::string_view text);

//-------------------------------------------------------------------------------------------------
// [SECTION] Leadership
//-------------------------------------------------------------------------------------------------

// Rows to change in one transaction, besides the leader's row.
struct LeaderWrite {
  std::vector<store::RowPut> m_puts;
  std::vector<store::RowKey> m_removals;
};

// Not thread-safe. Callbacks come from timers and store answers. OnHeartbeat and StepDown may call m_deposed
// themselves, and Release calls `done` itself if this instance is not the leader.
class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  struct Events {
    std::function<void(Epoch)> m_elected;
    std::function<void(const std::string& why)> m_deposed;
    std::function<void(Epoch)> m_released = [](Epoch) {};    // After m_deposed: the row says so.
    std::function<void(Instant)> m_silent = [](Instant) {};  // A read of the row, sent then, got no answer.
  };

  Leadership(store::RowStore* store, TimerService* timers, const Clock* clock, const LeadershipSettings& settings,
             Events events);

  void Start();
  void Stop();

  // `rank` returns how many other instances should lead rather than this one.
  void SetRank(std::function<int()> rank) { m_rank = std::move(rank); }

  // Handles the news that the leader of `epoch` gave the leadership up.
  void OnReleased(Epoch epoch);

  // Handles a heartbeat of the leader of `epoch`.
  void OnHeartbeat(Epoch epoch);

  // Call when the store answers again after an outage. A write in flight since before is verified now instead of after
  // its timeout.
  void OnStoreAvailable();

  // Queues rows to be stored, retrying as needed, then calls `stored`; or `rejected`, if the store won't take them, and
  // goes on with the next write. Without `rejected` they are sent again all the same. Does nothing unless leading;
  // neither is called if the leader is deposed first.
  void Store(LeaderWrite write, std::function<void()> stored,
             std::function<void(const std::string& why)> rejected = {});

  // Releases leadership after the queued writes, then calls `done`, after `timeout` at the latest.
  void Release(Millis timeout, std::function<void()> done);

  // Stops leading at once. For when another leader is known to exist, whatever the row says.
  void StepDown(const std::string& why) { Depose(why); }

  bool Leading() const { return m_leading; }
  bool MayGrant() const;  // Whether this instance may extend leases of workers.
  Epoch CurrentEpoch() const { return m_epoch; }
  const store::VersionTimes& Writes() const { return m_writes; }  // Of this term.

 private:
  struct Pending {
    LeaderWrite m_write;
    std::function<void()> m_stored;
    std::function<void(const std::string&)> m_rejected;  // May be empty.
    bool m_release = false;
  };

  void Tick();
  Millis RankDelay() const;
  void Watch();
  void OnRowRead(const std::optional<store::StoredRow>& row);
  void TakeOver(Version expected, Epoch last);
  void OnTakenOver(Result<Version, store::TransactError> result, const LeaderRow& row);
  void ReadRow(std::function<void(Result<std::optional<store::StoredRow>, store::ReadError>)> callback);
  void SendNext();
  void OnWriteFailure(const store::TransactError& error);
  void SendAgainLater();
  void DropRejected(const std::string& why);
  void VerifyWrite(Millis silence);
  void CompleteWrite(Version version);
  void Depose(const std::string& why);

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  LeadershipSettings m_settings;
  Events m_events;
  bool m_stopped = true;
  bool m_leading = false;
  bool m_call_pending = false;  // A read of the row or a takeover is in flight.
  Epoch m_epoch{};
  Version m_version{};  // Of the leader's row.
  store::VersionTimes m_writes;
  std::int64_t m_write_count = 0;
  std::deque<Pending> m_pending;  // The first one is in flight while m_writing.
  bool m_writing = false;
  Instant m_applied_after;       // No copy of the write in flight was stored before this.
  int m_refusals = 0;            // Of the write in flight, in succession; rejections included.
  int m_rejections = 0;          // Of the write in flight.
  bool m_copy_in_doubt = false;  // A copy of it got no answer and may still be stored.
  Instant m_doubt_since;         // When the last such copy was sent.
  Instant m_write_started;       // When the write in flight was first sent.
  Instant m_write_sent;          // When the write in flight was last sent.
  int m_call_number = 0;         // Of the last store call for that write; failures of earlier calls are ignored.
  Instant m_last_renewal;        // The last successful write was stored after this.
  Instant m_last_heartbeat;      // When the last one arrived.
  Epoch m_heartbeat_epoch{};
  Version m_watched_version{};  // Of the row, as last read while not leading.
  Instant m_watched_since;
  bool m_watching = false;
  Instant m_next_watch;      // When to read the row again.
  Instant m_release_heard;   // When the news of the last release came.
  Epoch m_released_epoch{};  // Of that release.
  std::function<int()> m_rank = [] { return 0; };
  store::CallTime m_write_time;  // What writes took lately: one that takes much longer is looked for.
  Subscription m_verify;
  Subscription m_tick;
  Subscription m_retry;
};

}  // namespace hickoryquay::service
