// HeldBackTime: how long a step has waited though there was ample room. Pure.
#pragma once

#include <optional>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::jobs {

// Sums the spans in which there was ample room. A span without ample room does not count, and does not begin the wait
// anew: otherwise use that swings around a limit would postpone the end of the wait for ever.
class HeldBackTime {
 public:
  void Note(bool is_ample, Instant now) {
    if (is_ample == m_since.has_value()) return;
    if (is_ample) {
      m_since = now;
    } else {
      m_before += now - *m_since;
      m_since.reset();
    }
  }

  // The step has waited for so long already, as far as is known.
  void Credit(Millis before) { m_before += before; }
  void Clear() { *this = HeldBackTime{}; }

  bool IsEmpty() const { return !m_since && m_before == Millis{0}; }
  // There is ample room now, and there was for at least `time` in all.
  bool HasLasted(Millis time, Instant now) const { return m_since && m_before + (now - *m_since) >= time; }

 private:
  Millis m_before{0};              // In earlier spans.
  std::optional<Instant> m_since;  // Steady time: begin of the present span.
};

}  // namespace hickoryquay::jobs
