// LoopLateness: how long answers wait in this process before they are handled, judged by a periodic timer that waits in
// the same loop. What a peer or a link took is the rest. Pure: no I/O, no clock.
#pragma once

#include <algorithm>
#include <optional>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

// Not thread-safe.
class LoopLateness {
 public:
  explicit LoopLateness(Millis period) : m_period(period) {}

  void OnTick(Instant now) {
    const Millis late = m_last ? now - *m_last - m_period : Millis{0};
    m_late = std::max({Millis{0}, late, m_late - m_period});
    m_last = now;
  }

  // Of an event that is handled now: at most that of the last ticks, and of the one that is due.
  Millis At(Instant now) const { return m_last ? std::max(m_late, now - *m_last - m_period) : Millis{0}; }

 private:
  Millis m_period;
  Millis m_late{0};  // Falls by a period with each tick in time.
  std::optional<Instant> m_last;
};

}  // namespace hickoryquay::service
