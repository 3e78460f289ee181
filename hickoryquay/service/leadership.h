// Leadership: which instance schedules, and the chain of its writes.
//
// One row names the leader, its epoch and the number of its last write. Every write of the leader checks the version of
// that row and raises it, one write at a time. So a write whose answer was lost can be sent again, a late copy of it
// changes nothing, and a deposed leader can't write.
//
// A watcher takes over a row that it saw unchanged for m_takeover_after, by its own clock; the leader renews the row
// when it has nothing else to write. No wall clocks are compared.
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
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::service {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

struct LeadershipSettings {
  store::RowKey m_row;
  std::string m_node;              // Name of the machine; the same in each life of the process.
  InstanceId m_self;               // Of this life.
  std::string m_address;           // Where other instances reach this one.
  Millis m_renew_interval{350};    // A third of m_takeover_after: two renewals may be lost.
  Millis m_takeover_after{1'100};  // A row unchanged for this long has no leader. Bounds the time without starts.
  Millis m_watch_interval{250};    // Reads of the row while no leader is heard.
  Millis m_heartbeat_valid{700};   // A leader's beat is believed for this long; beats come every 200 ms.
  Millis m_call_timeout{2'500};    // Longest time of one call; usually AdaptiveStore allows far less.
  Millis m_retry_delay{40};        // After a refused write.
  Millis m_grant_window{1'500};  // Without a renewal the leader extends leases this long. Its successor waits for them.
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
  bool m_released = false;   // Given up on purpose: may be taken over at once.
};

std::string Write(const LeaderRow& row);
Parsed<LeaderRow> ReadLeaderRow(std::string_view text);

//-------------------------------------------------------------------------------------------------
// [SECTION] Leadership
//-------------------------------------------------------------------------------------------------

// Rows of one write beside the leader's own.
struct LeaderWrite {
  std::vector<store::RowPut> m_puts;
  std::vector<store::RowKey> m_removals;
};

// One thread. Callbacks come from timers and answers of the store, never inside a call.
class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  struct Events {
    std::function<void(Epoch)> m_elected;
    std::function<void(const std::string& why)> m_deposed;
  };

  Leadership(store::RowStore* store, TimerService* timers, const Clock* clock, const LeadershipSettings& settings,
             Events events);

  void Start();
  void Stop();

  // A beat of a leader arrived.
  void OnHeartbeat(Epoch epoch);

  // The store answers again. A write that has waited for an answer since before is settled now rather than once its
  // time is over.
  void OnStoreAvailable();

  // The leader only: stores rows, however often it has to try. `stored` is not called where the leader is deposed
  // first.
  void Store(LeaderWrite write, std::function<void()> stored);

  // Gives the role up behind what is to be stored, then calls `done`, at the latest when `timeout` is over.
  void Release(Millis timeout, std::function<void()> done);

  // Somebody else leads, whatever the row says to this instance.
  void StepDown(const std::string& why) { Depose(why); }

  bool Leading() const { return m_leading; }
  bool MayGrant() const;  // The leader may still extend leases of workers.
  Epoch CurrentEpoch() const { return m_epoch; }

 private:
  struct Pending {
    LeaderWrite m_write;
    std::function<void()> m_stored;
    bool m_release = false;
  };

  void Tick();
  void Watch();
  void OnRowRead(const std::optional<store::StoredRow>& row);
  void TakeOver(Version expected, Epoch last);
  void OnTakenOver(Result<Version, store::TransactError> result, const LeaderRow& row);
  void ReadRow(std::function<void(Result<std::optional<store::StoredRow>, store::ReadError>)> callback);
  void SendNext();
  void OnWriteAnswer(Result<Version, store::TransactError> result);
  void VerifyWrite();
  void CompleteWrite(Version version);
  void Depose(const std::string& why);

  store::RowStore* m_store;
  TimerService* m_timers;
  const Clock* m_clock;
  LeadershipSettings m_settings;
  Events m_events;
  bool m_stopped = true;
  bool m_leading = false;
  bool m_call_pending = false;  // A call is under way.
  Epoch m_epoch{};
  Version m_version{};  // Of the leader's row.
  std::int64_t m_write_count = 0;
  std::deque<Pending> m_pending;  // The first is being written while m_writing.
  bool m_writing = false;
  Instant m_write_sent;      // Of the write under way.
  int m_call_number = 0;     // Counts what is asked of the store for that write; answers to earlier ones count no more.
  Instant m_call_sent;       // When that was.
  Instant m_last_renewal;    // When the last stored write was sent.
  Instant m_last_heartbeat;  // Last beat of a leader.
  Epoch m_heartbeat_epoch{};
  Version m_watched_version{};  // As a watcher.
  Instant m_watched_since;
  bool m_watching = false;
  Subscription m_tick;
  Subscription m_retry;
};

}  // namespace hickoryquay::service
