// OutagePolicy: what callers are told while the store, or the part of it that keeps their job, does not answer.
//
// A submission is held for a share of its caller's time: it is stored the moment the store is back, earlier than its
// caller could come again. The rest of the time is left for attempts at other instances, which may reach the store. In
// an outage that has lasted long compared to the caller's time, waiting is in vain, and the submission is refused at
// once. An outage that has lasted long is likely to go on for long, so callers are told to return later.
//
// Pure.
#pragma once

#include <algorithm>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::service {

struct OutageSettings {
  double m_hold_share = 1.0 / 3.0;  // Of the caller's time: two more attempts are possible.
  double m_longest_age = 3.0;       // In multiples of the caller's time; older outages hold nothing.
  double m_return_share = 0.25;     // Of the outage's age: callers return after that.
  Millis m_earliest_return{1'000};  // About the duration of a takeover.
  Millis m_latest_return{10'000};   // A store that is back is not left unused for longer.
  std::size_t m_most_held = 1'000;  // Bounds the memory of an instance.
};

// How long a submission may be held that arrives when the outage has lasted for `age`; 0: it is refused at once.
// `time`: how long its caller waits.
inline Millis HoldTime(Millis age, Millis time, std::size_t held, const OutageSettings& settings) {
  const double longest = settings.m_longest_age * static_cast<double>(time.count());
  if (held >= settings.m_most_held || static_cast<double>(age.count()) > longest) return Millis{0};
  return Millis{static_cast<std::int64_t>(settings.m_hold_share * static_cast<double>(time.count()))};
}

// When a refused caller is told to return.
inline Millis ReturnAfter(Millis age, const OutageSettings& settings) {
  const Millis wanted{static_cast<std::int64_t>(settings.m_return_share * static_cast<double>(age.count()))};
  return std::clamp(wanted, settings.m_earliest_return, settings.m_latest_return);
}

}  // namespace hickoryquay::service
