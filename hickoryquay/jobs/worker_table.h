// WorkerTable: the workers of the scheduler and the free resources of each.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hickoryquay/jobs/incarnation.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/soundness.h"
#include "hickoryquay/jobs/units.h"

namespace hickoryquay::jobs {

// Room on a worker that is kept for a unit while others are preempted for it.
struct Reservation {
  Resources m_room;
  bool m_guaranteed = false;  // The unit is within its account's guarantee.
};

// A copy of a start that got no answer and whose run is over. The worker refuses it, unless it restarts under its id
// before the copy arrives: the new incarnation knows of no run.
struct LateCopy {
  TaskKey m_task;
  RunNumber m_run{};
  Instant m_sent;                       // Steady time.
  StopState m_stop = StopState::kNone;  // Of the stop that makes the present incarnation refuse it.
  Instant m_stop_at;                    // Steady time of the next attempt.

  bool IsOpen() const { return m_stop == StopState::kRequested || m_stop == StopState::kSent; }
};

struct WorkerSlot {
  WorkerEntry m_entry;
  bool m_listed = false;                // Listed by the platform.
  bool m_usable = false;                // Answers, and has accepted this scheduler's epoch.
  bool m_evacuated = false;             // Its failure domain is evacuated: nothing new may be sent to it.
  bool m_silent_with_domain = false;    // It has not answered since its failure domain was lost.
  bool m_domain_lost = false;           // Its failure domain does not answer: nothing new is sent to it.
  std::optional<Instant> m_returns_at;  // Steady time from which it is used again after an evacuation.
  Instant m_cold_until;                 // Steady time until which it is slow after its start.
  Instant m_born;         // Wall time of the start of the incarnation that answers, as it reports; 0: never reported.
  int m_incarnation = 0;  // Counts the restarts under its id.
  Resources m_free;
  UnitMemberSet m_members;  // Members that have resources allocated here.
  std::vector<LateCopy> m_late_copies;
  int m_unrecorded_runs = 0;          // That its last reply listed and no row names; they take room until they end.
  std::int64_t m_processed_ends = 0;  // Number of the last end that was processed.
  std::int64_t m_released_ends = 0;   // Number of the last end that was handed out in Batch::m_recorded_ends.
  bool m_withholds_ends = false;      // No further ends are handed out: some are in no row.
  std::map<Unit*, Reservation, UnitLess> m_reservations;
  Instant m_silent_since;              // Steady time since which it does not answer; 0: it does.
  bool m_lost = false;                 // Its loss is counted, and it has not answered since.
  Unit* m_held_for = nullptr;          // Gets nothing but this unit, which must run alone.
  std::optional<Instant> m_leaves_at;  // Earliest steady time at which a draining worker is removed.
  int m_failures = 0;                  // Consecutive failed tasks; a successful one resets it.
  Soundness m_soundness;
  int m_refusals = 0;     // Consecutive refused starts.
  Instant m_avoid_until;  // Steady time until which nothing new is placed here.
  WorkerSpeed m_speed;

  // The entry describes the incarnation that answers, which may be of another kind than the one before.
  bool IsDescribed() const { return CompareRow(m_born, m_entry.m_born) == RowIncarnation::kCurrent; }
  bool IsInService() const {
    return m_listed && m_usable && !m_entry.m_draining && IsDescribed() && !m_evacuated && !m_domain_lost;
  }
  bool IsSchedulable() const { return IsInService() && !m_returns_at; }

  bool IsOverCapacity() const { return !Resources{}.FitsIn(m_free); }
  // Whether starts that were decided before may still be sent.
  bool TakesStarts() const { return !m_entry.m_draining && !m_evacuated && !IsOverCapacity(); }
  int CountUnits() const;         // Whose starts were sent here.
  bool MayRunLateCopies() const;  // This incarnation has not refused all of them.
  // Call when a run that was placed here is over. Workers that report no start time have one incarnation, which refuses
  // its copies.
  void KeepLateCopy(const Member& member, const TaskKey& task, RunNumber run);
  LateCopy* FindStopping(const TaskKey& task, RunNumber run);  // Whose stop was sent; nullptr: none.

  void OnRestarted();  // Forgets what is known of the earlier incarnation; its members stay.
};

constexpr double kLightUse = 0.5;  // Share of a pool in use, below which room is not short.

// What is in use of some workers.
struct PoolUse {
  Resources m_used;
  Resources m_capacity;

  double OfAccelerators() const;  // Share of the accelerators in use; of the cores if there are none.
  double OfProcessors() const;    // Share of cores and accelerators together.
};

// What is free and in use in a pool.
struct PoolRoom {
  int m_free = 0;        // Accelerators of schedulable workers.
  int m_total = 0;       // Accelerators of schedulable workers, whether free or not.
  PoolUse m_listed;      // Of all listed workers.
  PoolUse m_in_service;  // Of those in service: what others hold is missed by nobody here.

  void Take(const Resources& task, int times);
  double AcceleratorUse() const;  // The lesser of the two.
  bool IsLightlyUsed() const;     // Less than kLightUse, of either, of accelerators or of processors.
};
using PoolRooms = std::map<PoolName, PoolRoom>;

// Racks or failure domains, by name.
using WorkerGroups = std::map<std::string, std::vector<WorkerSlot*>>;

// Schedulable workers that a step may run on.
struct Candidates {
  WorkerGroups m_racks;
  WorkerGroups m_domains;
  std::vector<WorkerSlot*> m_all;        // Rack by rack; the domains have the same order.
  std::vector<WorkerSlot*> m_returning;  // Not schedulable yet, see WorkerSlot::m_returns_at.
};

// The address of a slot is stable until the slot is erased.
class WorkerTable {
 public:
  WorkerSlot* Find(const WorkerId& id);
  const WorkerSlot* Find(const WorkerId& id) const;
  WorkerSlot* Add(const WorkerId& id);  // Returns the existing slot if there is one.
  void Update(const WorkerEntry& entry);
  // Erases a slot that is not listed, has no members and no late copies.
  void EraseIfUnused(const WorkerId& id);
  void DropLateCopies(Instant now);  // Those that can't arrive any more.

  void Allocate(WorkerSlot* slot, Unit* unit, std::size_t member);
  void Release(WorkerSlot* slot, Unit* unit, std::size_t member);

  Candidates CandidatesOf(const PoolName& pool, const std::string& label);  // Of any label if it is empty.

  PoolRooms CountPools() const;

  std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() { return m_slots; }
  const std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() const { return m_slots; }
  const std::vector<WorkerSlot*>& Slots() const { return m_in_order; }  // By id; faster to read through.

 private:
  std::map<WorkerId, std::unique_ptr<WorkerSlot>> m_slots;
  std::unordered_map<WorkerId, WorkerSlot*> m_by_id;
  std::vector<WorkerSlot*> m_in_order;
};

}  // namespace hickoryquay::jobs
