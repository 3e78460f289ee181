// LeaseMachine: who holds the placer role of a failure domain, as a state machine without I/O.
//
// The row of the lease carries holder and epoch. Taking it over raises the epoch and is a compare-and-set. No wall
// clock is compared with another: a watcher waits from when it first saw the row unchanged, by its own monotonic clock;
// the holder counts its own term from before it sent the renewal, by its own.
//
// While the table is away nobody can take over, and the holder goes on. What a paused or outlived holder still commands
// is refused by the workers, which know the higher epoch.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/placer/rows.h"

namespace hickoryquay::placer {

struct LeaseSettings {
  Millis m_term{2'000};         // A watcher takes over a row that it saw unchanged for this long.
  Millis m_holder_term{1'700};  // The holder counts on this much of it: clocks may run at different rates.
  Millis m_renew_every{600};
  Millis m_watch_every{800};  // Together with m_term and a commit this stays under 3 s.
  Millis m_retry_every{200};  // After a call that failed.
};

// The lease row as read; version 0: absent.
struct LeaseSnapshot {
  Version m_version{};
  LeaseRow m_row;
};

struct ReadLease {};
struct WriteLease {
  Version m_expected{};
  LeaseRow m_row;
};
struct LeaseAcquired {
  Epoch m_epoch{};
};
struct LeaseLost {
  Epoch m_epoch{};  // That was held.
  std::string m_why;
};
using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

// Not thread-safe. At most one ReadLease or WriteLease is under way; each is answered by exactly one On... call.
class LeaseMachine {
 public:
  LeaseMachine(const LeaseSettings& settings, InstanceId self, std::string address);

  LeaseActions Tick(Instant now, Instant wall);

  LeaseActions OnRead(const LeaseSnapshot& seen, Instant now);
  LeaseActions OnReadFailed(Instant now);

  LeaseActions OnWritten(Version version);
  LeaseActions OnConflict(const LeaseSnapshot& seen, Instant now);  // The row as it is now; nothing was written.
  LeaseActions OnNotWritten(Instant now);                           // Provably.
  LeaseActions OnWriteInDoubt(Instant now);                         // May have been written.

  // The row as another commit of this holder met it; no call of the machine's own is answered by it.
  LeaseActions OnFenceConflict(const LeaseSnapshot& seen, Instant now);

  // A worker has seen a higher epoch.
  LeaseActions OnHigherEpoch(Epoch higher);

  // Gives the role up at the next write, and never takes it again.
  void HandOver() { m_handing_over = true; }

  bool Holding() const { return m_state == State::kHolding; }
  bool HandedOver() const { return m_handing_over && m_state == State::kWatching && !m_busy; }
  Epoch HeldEpoch() const { return m_epoch; }
  Version RowVersion() const { return m_seen.m_version; }

  // Whether the holder may start work: its term runs, or the table was found away after it ended.
  bool MayStartWork(Instant now) const;

  const LeaseRow& Row() const { return m_seen.m_row; }

 private:
  enum class State { kWatching, kHolding };

  LeaseActions TickWatching(Instant now, Instant wall);
  LeaseActions TickHolding(Instant now, Instant wall);
  LeaseActions Write(const LeaseRow& row, Instant now);
  LeaseActions Lose(const std::string& why);
  void SetSeen(const LeaseSnapshot& seen, Instant now);
  bool IsOwnRow(const LeaseRow& row, Epoch epoch) const { return row.m_holder == m_self && row.m_epoch == epoch; }

  const LeaseSettings m_settings;
  const InstanceId m_self;
  const std::string m_address;
  State m_state = State::kWatching;
  bool m_handing_over = false;
  bool m_busy = false;  // A read or write is under way.
  bool m_row_known = false;
  LeaseSnapshot m_seen;      // The row as last known.
  Instant m_first_seen;      // When m_seen was first seen as it is.
  Instant m_next;            // When to read or renew next.
  LeaseRow m_row_in_flight;  // What the write under way writes.
  Instant m_write_sent;
  bool m_write_in_doubt = false;     // The last write may have taken effect.
  Epoch m_epoch{};                   // Held.
  Epoch m_highest_epoch{};           // Highest epoch heard of.
  Instant m_confirmed;               // Sending time of the last write known to be done.
  bool m_table_unavailable = false;  // The last read or write failed.
};

}  // namespace hickoryquay::placer
