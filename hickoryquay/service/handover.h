// Handover: when a leader gives the leadership up to an abler instance. Pure: no I/O, no clock.
//
// Any instance may become the leader, since others may be dead at that moment; a small one on a slow link then decides
// for all. It gives the role up once an instance with at least m_better times its fitness answers it. Where no instance
// takes the role in spite of that, the next attempts come at growing intervals.
#pragma once

#include <algorithm>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

struct HandoverSettings {
  double m_better = 2.0;
  Millis m_settle_time{2'000};      // After an election, for others to be heard.
  Millis m_load_limit{4'000};       // A leader that has not loaded its tables by then gives up.
  Millis m_first_pause{5'000};      // From one handover of this instance to its next.
  Millis m_longest_pause{120'000};  // The pause doubles up to this.
};

// Not thread-safe.
class Handover {
 public:
  explicit Handover(const HandoverSettings& settings) : m_settings(settings), m_pause(settings.m_first_pause) {}

  void OnElected(Instant now) { m_elected = now; }

  // Whether to give the leadership up now. `best` is the highest fitness among the instances that answer.
  bool IsDue(Instant now, bool loaded, double own, double best) {
    const bool settled = now - m_elected >= (loaded ? m_settings.m_settle_time : m_settings.m_load_limit);
    if (!settled || best < m_settings.m_better * own || now < m_next) return false;
    m_next = now + m_pause;
    m_pause = std::min(2 * m_pause, m_settings.m_longest_pause);
    return true;
  }

 private:
  HandoverSettings m_settings;
  Instant m_elected;
  Instant m_next;
  Millis m_pause;
};

}  // namespace hickoryquay::service
