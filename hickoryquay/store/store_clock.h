// StoreClock: how old an answer of the store is, by the clock that the store tells in it. Pure: no I/O, no clock.
//
// An answer to a feed may have waited at the store for a change, then on the link, then in this process. The moment at
// which it was given bounds what it can't contain. The fastest answer so far relates the two clocks; all others are
// later by what they waited on their way.
#pragma once

#include <algorithm>
#include <optional>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::store {

// Not thread-safe. One object per follower.
class StoreClock {
 public:
  // Returns when, on our steady clock, the store gave the answer to a call that was sent and has arrived then: later
  // than it really was by the way of the fastest answer at most, and not before `sent`. `told`: the store's steady
  // clock in the answer; 0: not told.
  Instant AnsweredAt(Instant told, Instant sent, Instant arrived) {
    if (told == Instant{}) return sent;
    const Millis ahead = arrived - told;
    m_least_ahead = std::min(m_least_ahead.value_or(ahead), ahead);
    return std::clamp(told + *m_least_ahead, sent, arrived);
  }

 private:
  std::optional<Millis> m_least_ahead;  // Of our clock against the store's, the way of the fastest answer included.
};

}  // namespace hickoryquay::store
