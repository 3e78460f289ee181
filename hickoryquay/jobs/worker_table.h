// WorkerTable: the workers of the scheduler and the free resources of each.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/units.h"

namespace hickoryquay::jobs {

// Room on a worker that is kept for a unit while others are preempted for it.
struct Reservation {
  Resources m_room;
  bool m_guaranteed = false;  // The unit is within its account's guarantee.
};

struct WorkerSlot {
  WorkerEntry m_entry;
  bool m_listed = false;  // Listed by the platform.
  bool m_usable = false;  // Answers, and has accepted this scheduler's epoch.
  Resources m_free;
  UnitMemberSet m_members;            // Members that have resources allocated here.
  std::int64_t m_processed_ends = 0;  // Number of the last end that was processed.
  std::int64_t m_released_ends = 0;   // Number of the last end that was handed out in Batch::m_recorded_ends.
  std::map<Unit*, Reservation, UnitLess> m_reservations;
  std::optional<Instant> m_leaves_at;  // Earliest steady time at which a draining worker is removed.
  int m_failures = 0;                  // Consecutive failed tasks; a successful one resets it.
  int m_refusals = 0;                  // Consecutive refused starts.
  Instant m_avoid_until;               // Steady time until which nothing new is placed here.
  double m_speed_sum = 0.0;            // Sum of log(speed) samples, one per finished task.
  int m_speed_samples = 0;

  // Logarithm of its speed relative to the other workers; biased towards 0 while there are few samples.
  double LogSpeed() const { return m_speed_sum / (m_speed_samples + kSpeedPrior); }

  static constexpr double kSpeedPrior = 3.0;  // Weight, in samples, of the prior assumption of equal speeds.

  bool IsSchedulable() const { return m_listed && m_usable && !m_entry.m_draining; }
};

// The address of a slot is stable until the slot is erased.
class WorkerTable {
 public:
  WorkerSlot* Find(const WorkerId& id);
  const WorkerSlot* Find(const WorkerId& id) const;
  WorkerSlot* Add(const WorkerId& id);  // Returns the existing slot if there is one.
  void Update(const WorkerEntry& entry);
  void EraseIfUnused(const WorkerId& id);  // Erases a slot that is not listed and has no members.

  void Allocate(WorkerSlot* slot, Unit* unit, std::size_t member);
  void Release(WorkerSlot* slot, Unit* unit, std::size_t member);

  // Schedulable workers of a pool that have the label (empty: any), grouped by rack.
  using RackMap = std::map<std::string, std::vector<WorkerSlot*>>;
  RackMap Racks(const PoolName& pool, const std::string& label);

  std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() { return m_slots; }
  const std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() const { return m_slots; }

 private:
  std::map<WorkerId, std::unique_ptr<WorkerSlot>> m_slots;
};

}  // namespace hickoryquay::jobs
