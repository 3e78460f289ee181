// PlacerLease: runs the LeaseMachine of one failure domain, and performs its reads and writes on the table.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/placer/lease_machine.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

// Dependencies of PlacerLease.
struct LeaseParts {
  store::Table* m_table = nullptr;
  store::SerialExecutor m_executor;  // Shared with the placer.
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

struct LeaseIdentity {
  DomainId m_domain;
  InstanceId m_self;
  std::string m_address;  // Address of the holder for the protocol between instances.
};

// Call everything on the executor, except Start, Stop, HandOver, OnHigherEpoch, LastSeenRow and Dump.
class PlacerLease : public std::enable_shared_from_this<PlacerLease> {
 public:
  struct Listener {
    std::function<void(Epoch)> m_acquired;
    std::function<void(Epoch, const std::string& why)> m_lost;
  };

  PlacerLease(LeaseParts parts, const LeaseSettings& settings, LeaseIdentity identity);

  void Start(Listener listener);
  void Stop();  // Does not release the lease: others take over once the term has ended.

  // Releases the role and never takes it again. `done` is called once the row is released, at the latest after `limit`.
  void HandOver(Millis limit, std::function<void()> done);

  void OnHigherEpoch(Epoch higher);

  bool Holding() const { return m_machine.Holding(); }
  bool MayStartWork() const { return m_machine.MayStartWork(m_parts.m_clock->Now()); }
  Epoch HeldEpoch() const { return m_machine.HeldEpoch(); }

  // A check for the placer's commits: they conflict once another instance has taken the lease.
  store::Check Fence() const;

  // `row`: the lease row that a commit of the placer conflicted with.
  void OnFenceConflict(const store::Row& row);

  // The lease row as last seen; its address is empty if no instance holds the lease. Thread-safe.
  LeaseRow LastSeenRow() const;

  boost::json::value Dump() const;

 private:
  void Tick();
  void RunActions(const LeaseActions& actions);
  void RunAction(const ReadLease& action);
  void RunAction(const WriteLease& action);
  void RunAction(const LeaseAcquired& action);
  void RunAction(const LeaseLost& action);
  void OnWriteFailed(const store::TableError& error);
  void FinishHandOver();

  const LeaseParts m_parts;
  const LeaseIdentity m_identity;
  const std::string m_key;
  LeaseMachine m_machine;
  Listener m_listener;
  Counter& m_acquired_count;
  Counter& m_lost_count;
  Gauge& m_holding;
  Subscription m_timer;
  std::function<void()> m_handed_over;
  mutable std::mutex m_mutex;
  LeaseRow m_last_seen_row;  // Copy for other threads; guarded by m_mutex.
};

}  // namespace hickoryquay::placer
