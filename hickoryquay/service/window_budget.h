// WindowBudget: how often something may be done within a time, whatever callers ask for: tombstones left in the store
// by cancels of jobs that nobody submitted, reads for submissions that are refused.
//
// Pure.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

// Not thread-safe.
class WindowBudget {
 public:
  // `most` at a time; each counts for `age`.
  WindowBudget(std::size_t most, Millis age) : m_most(most), m_age(age) {}

  // Returns false if there are `most` already.
  bool Take(Instant now) {
    while (!m_taken.empty() && now - m_taken.front() >= m_age) m_taken.pop_front();
    if (m_taken.size() >= m_most) return false;
    m_taken.push_back(now);
    return true;
  }

  // The one taken last was not done.
  void Return() {
    if (!m_taken.empty()) m_taken.pop_back();
  }

  // How long until Take succeeds again.
  Millis FreeIn(Instant now) const {
    if (m_taken.size() < m_most) return Millis{0};
    return m_taken.empty() ? m_age : std::max(Millis{0}, m_taken.front() + m_age - now);
  }

 private:
  std::size_t m_most;
  Millis m_age;
  std::deque<Instant> m_taken;  // When, in order.
};

}  // namespace hickoryquay::service
