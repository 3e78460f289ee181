// Settings of the scheduler, and the orders in which waiting work may be placed.
#pragma once

#include "hickoryquay/base/clock.h"
#include "hickoryquay/jobs/preemption.h"
#include "hickoryquay/jobs/soundness.h"
#include "hickoryquay/jobs/worker_choice.h"

namespace hickoryquay::jobs {

// Sort key of a waiting step, or of those of its units that were placed before.
struct SchedulingKey {
  int m_priority = 0;
  bool m_interrupted = false;  // Their runs were lost, stopped or refused.
  Instant m_accepted;          // Wall time.
  Instant m_deadline;          // Wall time: the job's objective, by the caller's estimates.
};

// Returns true if the first one is placed first.
using SchedulingOrder = bool (*)(const SchedulingKey&, const SchedulingKey&);
// By priority, then interrupted work, then by deadline. A job that has begun waits for its last task alone.
bool EarliestDeadlineFirst(const SchedulingKey& a, const SchedulingKey& b);
bool FirstComeFirstServed(const SchedulingKey& a, const SchedulingKey& b);  // Ignores priorities: a baseline.

struct SchedulerSettings {
  SchedulingOrder m_order = &EarliestDeadlineFirst;
  bool m_preempts = true;            // Urgent units may preempt others.
  PreemptionSettings m_preemption;   // Also the time that a stop takes.
  double m_remote_factor = 3.0;      // Slowdown of a gang that spans racks, or of a task away from its data.
  Millis m_forget_after{30'000};     // An archived job is remembered for so long, see ArchivedJobs.
  Millis m_stop_retry_delay{300};    // Time after which a stop without an answer is sent again.
  Millis m_avoid_refusing_for{500};  // Time that a worker gets no start after it refused one.
  int m_max_start_resends = 3;       // Resends of a start without an answer, before the run is stopped.
  Millis m_max_early_start{50};      // Timed jobs may start this much before they are due.
  // Shares of a pool's accelerators that a start must leave free for more urgent work. Lower shares make urgent work
  // wait for preemptions and lose work, higher ones delay batch work (docs/design/platform.md).
  double m_min_free_share = 0.2;        // For starts of priority 1.
  double m_min_free_share_batch = 0.3;  // For starts of lower priorities.
  // For work whose slack is below m_tight_slack_share of its estimate, and for work whose run was lost and for which
  // another step waits, without first runs of its own step.
  double m_min_free_share_tight = 0.05;
  double m_tight_slack_share = 0.5;
  // Bound of all preferences in a pool with ample room: a step waits no longer for room that would suit it better.
  Millis m_longest_preference{2'000};
  // As above, of the free share while half of the accelerators are in use. Only for jobs of which something runs, and
  // for others while more urgent jobs arrive: one has within this time.
  Millis m_longest_reserve{10'000};
  // Workers join a new scheduler within this time, for which it holds work back however long that has waited before.
  Millis m_join_time{500};
  Millis m_leave_margin{300};     // Tasks with checkpoints are stopped this much before they have to leave a worker.
  double m_evacuate_share = 0.8;  // A task that can't reach this share of its estimate before its worker leaves moves.
  Millis m_min_pace_span{500};    // Shorter intervals are too short to compute a task's pace.
  double m_min_expected_percent = 2.0;  // Pace is judged once a task should have made this much progress.
  double m_slow_pace_share = 0.4;       // A task below this share of its usual pace counts as slow.
  // Time without new tasks for a worker on which most tasks are slow. More than 2 s, the time after which a poll
  // without news is answered.
  Millis m_avoid_slow_for{2'500};
  ChoiceSettings m_choice;
  SoundnessSettings m_soundness;
};

}  // namespace hickoryquay::jobs
