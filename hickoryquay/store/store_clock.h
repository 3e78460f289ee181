// StoreClock: how old an answer of the store is, by the clock that the store tells in it. Pure: no I/O, no clock.
//
// An answer to a feed may have waited at the store for a change, then on the link, then in this process. The moment at
// which it was given bounds what it can't contain. No answer is given before its call is sent, nor after it arrives,
// which relates the two clocks: best by a call that was answered at once. The store's clock may run faster than ours,
// or step.
#pragma once

#include <algorithm>
#include <optional>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::store {

// Not thread-safe. One object per follower.
class StoreClock {
 public:
  // Returns when, on our steady clock, the store gave the answer to a call that was sent and has arrived then, or some
  // time before that, but not before `sent`. `told`: the store's steady clock in the answer; 0: not told.
  Instant AnsweredAt(Instant told, Instant sent, Instant arrived) {
    if (told == Instant{}) return sent;
    m_ahead = std::min(std::max(m_ahead.value_or(sent - told), sent - told), arrived - told);
    return std::clamp(told + *m_ahead, sent, arrived);
  }

 private:
  std::optional<Millis> m_ahead;  // Of our clock against the store's, at least, give or take an answer's way.
};

}  // namespace hickoryquay::store
