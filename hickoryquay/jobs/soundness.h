// Soundness of workers: which ones get nothing for a while because tasks failed there.
//
// A worker that fails what it starts is always free, so without a rest it attracts the work of a busy pool and uses up
// the attempts of one job after the other. A task may also fail by its own fault, on any worker: one failure rests
// nobody, and the failures of a step on several workers say less about each of them. In any case a step that failed on
// a worker goes elsewhere at first.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::jobs {

struct SoundnessSettings {
  double m_enough_doubt = 2.0;  // Failures in a row after which a worker rests.
  Millis m_first_rest{1'000};   // Doubles with each further failure that counts in full.
  // A task that only few workers may run waits no longer than this. Also how long a step avoids a worker it failed on.
  Millis m_longest_rest{2'500};
};

// What the failures on a worker say about it, since the last task that was done there.
class Soundness {
 public:
  // A task was done here.
  void OnDone() { m_doubt = 0.0; }

  // A task failed here; its step has failed on so many workers, this one included. Returns how long the worker rests.
  Millis OnFailure(std::size_t workers, const SoundnessSettings& settings) {
    m_doubt += 1.0 / static_cast<double>(std::max<std::size_t>(1, workers));
    if (m_doubt < settings.m_enough_doubt) return Millis{0};
    const int doublings = std::min(static_cast<int>(m_doubt - settings.m_enough_doubt), kMostDoublings);
    return std::min(settings.m_longest_rest, settings.m_first_rest * (1 << doublings));
  }

 private:
  static constexpr int kMostDoublings = 8;
  double m_doubt = 0.0;  // Failures, each weighted by the share that this worker has in the failures of its step.
};

}  // namespace hickoryquay::jobs
