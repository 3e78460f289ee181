// WorkerTable: the workers that the scheduler knows, with the room that is left on each.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/units.h"

namespace hickoryquay::jobs {

struct WorkerSlot {
  WorkerEntry m_entry;
  bool m_listed = false;  // The platform lists it.
  bool m_usable = false;  // It answers and knows this scheduler's epoch.
  Resources m_free;
  UnitMemberSet m_members;             // Not settled.
  std::int64_t m_processed_ends = 0;   // Processed.
  std::int64_t m_released_ends = 0;    // Handed out as known.
  Unit* m_reserved_for = nullptr;      // Room here is being made for this unit.
  std::optional<Instant> m_leaves_at;  // Steady time: it stays until then at least.
  int m_failures = 0;                  // Of tasks, in a row; set back by a done one.
  Instant m_avoid_until;               // Steady time.
  double m_speed_sum = 0.0;            // Of logarithms of its speed, one a finished task.
  int m_speed_samples = 0;

  // Logarithm of its speed against the other workers; drawn to 0 while few tasks have told.
  double LogSpeed() const { return m_speed_sum / (m_speed_samples + kSpeedPrior); }

  static constexpr double kSpeedPrior = 3.0;  // Samples that it takes to outweigh the assumption of equal speeds.

  bool IsSchedulable() const { return m_listed && m_usable && !m_entry.m_draining; }
};

// Slots keep their addresses while they exist.
class WorkerTable {
 public:
  WorkerSlot* Find(const WorkerId& id);
  const WorkerSlot* Find(const WorkerId& id) const;
  WorkerSlot* Add(const WorkerId& id);  // The slot that exists already, where there is one.
  void Update(const WorkerEntry& entry);
  void EraseIfUnused(const WorkerId& id);  // Neither listed nor holding anything.

  void Allocate(WorkerSlot* slot, Unit* unit, std::size_t member);
  void Release(WorkerSlot* slot, Unit* unit, std::size_t member);

  // Those of a pool that take work and bear the label, grouped by rack.
  using RackMap = std::map<std::string, std::vector<WorkerSlot*>>;
  RackMap Racks(const PoolName& pool, const std::string& label);

  std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() { return m_slots; }
  const std::map<WorkerId, std::unique_ptr<WorkerSlot>>& All() const { return m_slots; }

 private:
  std::map<WorkerId, std::unique_ptr<WorkerSlot>> m_slots;
};

}  // namespace hickoryquay::jobs
