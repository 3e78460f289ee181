// StartView: whether what the leader knows is recent enough to start something. Pure: no I/O, no clock.
//
// A start promises that its job was not cancelled, and that its worker did not begin to leave, longer ago than the
// terms allow. The leader hears of both through feeds, which may be late for any reason: the store, the link, or its
// own lack of processor time. So the age of what it knows bounds what it may promise, less the time that a start is
// under way.
#pragma once

#include <algorithm>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

struct StartTerms {
  Millis m_cancel{3'000};    // From a cancel that is stored, until nothing of its job may start.
  Millis m_drain{2'000};     // From a worker's announcement that it leaves, until nothing may start there.
  Millis m_under_way{700};   // Of a start: its timeout, and a margin for clocks and the way of an answer.
  int m_answers_in_age = 3;  // Answers of a quiet feed within the longest age, so that one late answer does no harm.

  Millis LongestIntakeAge() const { return std::max(m_under_way, m_cancel - m_under_way); }
  Millis LongestListAge() const { return std::max(m_under_way, m_drain - m_under_way); }
  // How long a feed call may wait for changes.
  Millis LongestWait(Millis age, Millis usual) const { return std::min(usual, age / m_answers_in_age); }
};

// Up to when all changes are known, in steady time.
struct StartView {
  Instant m_intake;   // Of accepted jobs and cancels.
  Instant m_workers;  // Of the list of workers.

  bool MayStart(const StartTerms& terms, Instant now) const {
    return now - m_intake <= terms.LongestIntakeAge() && now - m_workers <= terms.LongestListAge();
  }
};

}  // namespace hickoryquay::service
