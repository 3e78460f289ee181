// Worker speeds, learned from the progress of the tasks that run there. Pure computations without clock or I/O.
//
// Model: log(pace of a run) = log(speed of its worker) + log(pace of its step) + noise. The caller's estimate is the
// first belief about a step's pace; workers are believed to be of speed 1 at first. Both beliefs are normal
// distributions of the logarithm. Each run holds what it has told about its worker and its step, so that a later report
// of the same run replaces the earlier one. An observation costs O(1). Beliefs about a worker fade with time and end
// with its slot, beliefs about a step end with the step.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] Beliefs
//   [SECTION] Observations
//   [SECTION] Pool
#pragma once

#include <vector>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::jobs {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

// Deviations are of the natural logarithm.
struct SpeedSettings {
  double m_speed_spread = 0.4;     // Of the speeds of unknown workers: that of a mix of 0.6, 1.0 and 1.6.
  double m_estimate_spread = 0.5;  // Of a step's work around the caller's estimate.
  double m_task_spread = 0.25;     // Of the tasks of a step around each other: 0.15 to 0.3 was seen.
  double m_outlier = 2.0;       // Deviations beyond which a report loses weight; some tasks take seven times as long.
  Millis m_half_life{20'000};   // Of the weight of a report about a worker.
  int m_min_percent = 5;        // Progress is an integer; below this, rounding hides the pace.
  double m_known_spread = 0.3;  // A worker is measured if its belief deviates by less.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Beliefs
//-------------------------------------------------------------------------------------------------

// Independent reports, summed.
struct Evidence {
  double m_weight = 0.0;  // Sum of 1 / variance.
  double m_sum = 0.0;     // Sum of value / variance.
};

// A normal distribution of a logarithm.
struct LogBelief {
  double m_mean = 0.0;
  double m_variance = 0.0;
};

struct WorkerSpeed {
  Evidence m_evidence;  // As of m_at.
  Instant m_at;         // Steady time.

  LogBelief At(Instant now, const SpeedSettings& settings) const;
  bool IsMeasured(Instant now, const SpeedSettings& settings) const;
};

// Pace of a step's tasks on a worker of speed 1, as the logarithm of the share of work per millisecond.
struct StepPace {
  Evidence m_evidence;
};

// What one run has told so far.
struct RunPace {
  Evidence m_about_worker;  // As of m_at.
  Evidence m_about_step;
  Instant m_at;
  int m_first_percent = -1;  // Progress at m_first_at; -1: no report yet.
  Instant m_first_at;        // When the run began to work, or its first report.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Observations
//-------------------------------------------------------------------------------------------------

// A run has made `share` of its work in `span`. `estimate` is the caller's, of the whole work.
void ObservePace(double share, Millis span, Millis estimate, Instant now, const SpeedSettings& settings,
                 WorkerSpeed* worker, StepPace* step, RunPace* run);

// Progress of a run in percent. `begin`: when the run began to work; Instant{} if that is unknown or if it resumed from
// a checkpoint, then the first report is the base of later ones. Ignores reports that tell no pace.
void ObserveProgress(int percent, Instant begin, Millis estimate, Instant now, const SpeedSettings& settings,
                     WorkerSpeed* worker, StepPace* step, RunPace* run);

//-------------------------------------------------------------------------------------------------
// [SECTION] Pool
//-------------------------------------------------------------------------------------------------

// Probability that work estimated at `estimate` ends within `budget` on a worker of this belief. `spread`: deviation of
// the real duration; `bias`: of its mean, both of the logarithm.
double ChanceToMeet(Millis estimate, Millis budget, const LogBelief& speed, double spread, double bias);

}  // namespace hickoryquay::jobs
