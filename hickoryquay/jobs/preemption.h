// Preemption: which running units are stopped to make room for an urgent one, and which work is protected.
//
// Within a guarantee: a unit of priority 0 whose account's urgent jobs together need no more accelerators than the
// account is guaranteed. It may stop lower priorities, and urgent units that use more than their own account is
// guaranteed (borrowed). Cost chooses between plans and never forbids one.
//
// Beyond a guarantee: a unit of priority 0 may stop lower priorities only, and only if that is worth the work to be
// repeated (see IsWorthIt).
//
// Pure: reads the state of units and workers and changes nothing.
#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "hickoryquay/jobs/crash_isolation.h"
#include "hickoryquay/jobs/job.h"
#include "hickoryquay/jobs/units.h"
#include "hickoryquay/jobs/worker_table.h"

namespace hickoryquay::jobs {

struct PreemptionSettings {
  Millis m_stop_timeout{1'000};  // Time within which a worker ends a stopped task.
  // A stop that has not led to an end this long after m_stop_timeout is not relied on any more. Covers the way of the
  // stop and of the report of the end.
  Millis m_stop_margin{500};
  Millis m_restore{250};    // Cost of a start from a checkpoint.
  Millis m_reclaim{2'700};  // Bound within which a unit within its guarantee begins.
  // Beyond a guarantee: most work to be repeated, in multiples of the core-seconds of the urgent unit itself. Repeated
  // work delays the callers of the stopped units and all that wait behind them.
  double m_max_repeated_share = 2.0;
  // A unit that was stopped this often, or replaces a run that it lost, is stopped only for a guarantee; the latter
  // until it has run for its estimate.
  int m_max_stops = 2;
};

// Which jobs of priority 0 their accounts' guarantees cover. A job needs the accelerators of the tasks of its current
// steps: those that are not done and wait for no earlier step.
class Guarantees {
 public:
  Guarantees() = default;
  Guarantees(const std::map<JobId, JobState*>& jobs, const QueueConfiguration& configuration);

  // The guarantee covers all of the account's jobs, so that this one may reclaim room.
  bool Covers(const JobState& job) const { return m_covered.contains(&job); }
  // The guarantee covers the job and those that were accepted before it, so that it is never stopped for another.
  bool Protects(const JobState& job) const { return m_protected.contains(&job); }

 private:
  std::set<const JobState*> m_covered;
  std::set<const JobState*> m_protected;
};

// State of the decision round that plans are made in.
struct PreemptionRound {
  const PreemptionSettings* m_settings = nullptr;
  const CrashSettings* m_crashes = nullptr;
  const Guarantees* m_guarantees = nullptr;
  Instant m_steady;
  Instant m_wall;
};

// Plans are compared by the number of stopped urgent units first.
struct PreemptionCost {
  int m_borrowed = 0;
  double m_core_seconds = 0.0;  // Work to be repeated, in core-seconds of the workers.

  auto operator<=>(const PreemptionCost&) const = default;
};

// Workers for all members of a unit, and the units that must be stopped first.
struct PreemptionPlan {
  std::vector<WorkerSlot*> m_slots;
  UnitSet m_victims;
  PreemptionCost m_cost;
};

// Number of tasks that fit into the room.
int CountFitting(const Resources& room, const Resources& task);

// The worker takes work of the unit, if there is room and it does not rest.
bool IsOpenTo(const WorkerSlot& slot, const Unit& unit, const CrashSettings& crashes, Instant steady);

// The unit may be placed on the worker if there is room. Planning and placing use this same rule.
bool MayHost(const WorkerSlot& slot, const Unit& unit, const CrashSettings& crashes, Instant steady);

// Number of further members that the step's limit per worker allows there, at most `fitting`.
int LimitPerWorker(const WorkerSlot& slot, const Unit& unit, int fitting);

// Free room that is not reserved for others. A unit within its guarantee (`guaranteed`) may use what is reserved for
// units that are not.
Resources RoomFor(const WorkerSlot& slot, const Unit& unit, bool guaranteed);

// The workers of the unit's reservation still can host it, and the stops that it waits for are under way.
bool ReservationHolds(const WorkerSlot& slot, const Unit& unit, const PreemptionRound& round);

// Greedily chooses the cheapest units to stop so that all members fit on `candidates`; empty if that is impossible.
std::optional<PreemptionPlan> PlanPreemption(const Unit& unit, const std::vector<WorkerSlot*>& candidates,
                                             const PreemptionRound& round);

// Beyond a guarantee: the unit meets its objective if room is made now, so that its caller gains, and the work to be
// repeated is within m_max_repeated_share.
bool IsWorthIt(const Unit& unit, const PreemptionPlan& plan, const PreemptionRound& round);

}  // namespace hickoryquay::jobs
