// The choice of workers for a unit, in the order of the chance that the unit meets its objective there. Pure.
#pragma once

#include <functional>
#include <vector>

#include "hickoryquay/jobs/preemption.h"
#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

struct ChoiceSettings {
  SpeedSettings m_speed;
  CrashSettings m_crashes;
  // A gang waits for its longest member: it took 0.7 to 1.9 times its estimate on the workers' speed, with a median
  // above 1, and starts take time. Both are of the logarithm.
  double m_duration_spread = 0.35;
  double m_duration_bias = 0.3;
  double m_chance_step = 0.1;        // Smaller differences in chance are ignored, so that packing decides.
  double m_enough_chance = 0.75;     // A worker with at least this chance is good enough for work of lower priority.
  double m_speed_step = 0.1;         // Resolution of log(speed) among workers that are equal otherwise.
  int m_min_slow_workers = 3;        // A pool with fewer workers that are too slow counts as even.
  double m_min_slow_share = 0.1;     // As above, of its measured workers.
  double m_enough_measured = 0.9;    // Share of the pool's workers above which no more are measured on purpose.
  double m_max_probed_share = 0.25;  // Of the wholly free workers, that may be measured on purpose at the same time.
};

// The workers of a pool as seen by its tightest queue, the one of priority 0 with the least stretch.
struct PoolPace {
  bool m_uneven = false;    // Some workers are too slow for the tightest queue.
  int m_probes = 0;         // Workers that may still be measured on purpose.
  double m_too_slow = 0.0;  // Logarithm of the speed below which a worker is too slow.
};
PoolPace JudgePool(const std::vector<const WorkerSlot*>& workers, double tightest_stretch, Instant now,
                   const ChoiceSettings& settings);

// What the choice depends on beside the workers.
struct ChoiceInput {
  const Unit* m_unit = nullptr;
  int m_priority = 0;
  Millis m_estimate{0};
  Millis m_budget{0};  // Left until the unit's objective.
  PoolPace m_pace;
  bool m_guaranteed = false;    // The unit is within its account's guarantee.
  Instant m_now;                // Steady time.
  bool m_uses_resting = false;  // Workers that rest are taken where no others have room.
};

struct Choice {
  std::vector<WorkerSlot*> m_slots;  // One for each member; empty if there are not enough.
  int m_rank = 0;                    // Of the slowest member's worker; lower ones are better. 0 in even pools.
  bool m_cold = false;               // Urgent work would get a worker that is still slow after its start.
  bool m_rests = false;              // A member would get a worker that rests.
};

// Within a rank, workers with the fewest free accelerators come first, then warm ones. Urgent work takes a cold worker
// only where no warm one fits.
Choice ChooseWorkers(const ChoiceInput& input, const std::vector<WorkerSlot*>& candidates,
                     const ChoiceSettings& settings);

// A worker that can take members of a unit. Better ones compare by the fields in this order, lower values first.
struct WorkerOption {
  bool m_rests = false;       // See WorkerSlot::m_avoid_until.
  bool m_avoid_cold = false;  // Urgent work, and the worker is cold.
  int m_failures = 0;
  int m_rank = 0;
  int m_free = 0;  // Accelerators.
  int m_speed = 0;
  bool m_cold = false;
  std::size_t m_index = 0;  // Among the candidates.
  WorkerSlot* m_slot = nullptr;
  int m_times = 0;  // Members that fit.
};

// Workers for the single tasks of one step, which are placed one after the other. Each gets the worker that
// ChooseWorkers would choose, without a look at all the others again. Valid while nothing else changes.
class RankedWorkers {
 public:
  // `input` is that of the step's first unit to be placed.
  RankedWorkers(const ChoiceInput& input, const std::vector<WorkerSlot*>& candidates, const ChoiceSettings& settings);

  Choice Best() const;  // Empty if no worker has room.
  void OnPlaced();      // A task of the step was placed on the best worker.

 private:
  ChoiceInput m_input;
  const ChoiceSettings& m_settings;
  std::vector<WorkerOption> m_options;  // A heap, the best one first.
};

// A gang that spans groups runs slower, or is lost with any of them. Packing puts it into the group with the least
// room, spreading into the one with the most, so that a group that is lost takes no more than its share of the work.
enum class GroupOrder { kPack, kSpread };

// The best choice for a unit in a single group; empty if no group holds the whole unit. Better ranks come first in
// uneven pools, then `order`. `choose` chooses among the workers of one group.
Choice ChooseGroup(const WorkerGroups& groups, GroupOrder order, bool uneven,
                   const std::function<Choice(const std::vector<WorkerSlot*>&)>& choose);

}  // namespace hickoryquay::jobs
