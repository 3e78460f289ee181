// LeaseMachine: the lease on the placer role of a failure domain, as a state machine without I/O.
//
// The lease row stores holder and epoch. A takeover is a compare-and-set that raises the epoch. Wall clocks of
// different machines are never compared: a watcher (an instance that does not hold the lease) measures on its own
// monotonic clock how long the row has been unchanged since it first read it, and the holder measures its term on its
// own monotonic clock from the moment before it sent the renewal.
//
// While the table is unavailable no instance can take over, so the holder continues. Workers reject commands of a
// holder that was paused or replaced, because they have seen a higher epoch.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/placer/rows.h"

namespace hickoryquay::placer {

struct LeaseSettings {
  Millis m_term{2'000};         // A watcher takes over after the row is unchanged for this long.
  Millis m_holder_term{1'700};  // The holder relies on less: clock rates differ between machines.
  Millis m_renew_every{600};
  Millis m_watch_every{800};  // A takeover takes at most m_term + this + one commit: under 3 s.
  Millis m_retry_every{200};  // After a failed call.
};

// The lease row as last read; version 0: the row does not exist.
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
  Epoch m_epoch{};  // The epoch that was held.
  std::string m_why;
};
using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost>;
using LeaseActions = std::vector<LeaseAction>;

// Not thread-safe. At most one ReadLease or WriteLease is in flight; exactly one On... call answers it.
class LeaseMachine {
 public:
  LeaseMachine(const LeaseSettings& settings, InstanceId self, std::string address);

  LeaseActions Tick(Instant now, Instant wall);

  LeaseActions OnRead(const LeaseSnapshot& seen, Instant now);
  LeaseActions OnReadFailed(Instant now);

  LeaseActions OnWritten(Version version);
  LeaseActions OnConflict(const LeaseSnapshot& seen, Instant now);  // `seen`: the current row; nothing was written.
  LeaseActions OnNotWritten(Instant now);                           // The row was provably not written.
  LeaseActions OnWriteInDoubt(Instant now);                         // The row may or may not have been written.

  // The row that a commit of the placer conflicted with. Does not answer a ReadLease or WriteLease.
  LeaseActions OnFenceConflict(const LeaseSnapshot& seen, Instant now);

  // A worker has seen a higher epoch.
  LeaseActions OnHigherEpoch(Epoch higher);

  // Releases the role with the next write and never takes it again.
  void HandOver() { m_handing_over = true; }

  bool Holding() const { return m_state == State::kHolding; }
  bool HandedOver() const { return m_handing_over && m_state == State::kWatching && !m_busy; }
  Epoch HeldEpoch() const { return m_epoch; }
  Version RowVersion() const { return m_seen.m_version; }

  // Whether the holder may start work: its term has not ended, or its last read or write of the row failed; the holder
  // continues while the table is unavailable, see above.
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
  bool m_busy = false;  // A read or write is in flight.
  bool m_row_known = false;
  LeaseSnapshot m_seen;      // The row as last read or written.
  Instant m_first_seen;      // When this version of the row was first seen.
  Instant m_next;            // Time of the next read or renewal.
  LeaseRow m_row_in_flight;  // The row that the write in flight writes.
  Instant m_write_sent;
  bool m_write_in_doubt = false;     // The last write may or may not have taken effect.
  Epoch m_epoch{};                   // Epoch of the last term held.
  Epoch m_highest_epoch{};           // Highest epoch seen in the row or reported by a worker.
  Instant m_confirmed;               // When the last successful write was sent.
  bool m_table_unavailable = false;  // The last read or write failed.
};

}  // namespace hickoryquay::placer
