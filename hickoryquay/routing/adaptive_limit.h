// AdaptiveLimit: how many requests one entry instance keeps in flight at one backend server.
#pragma once

#include "hickoryquay/base/clock.h"

namespace hickoryquay::routing {

struct LimitBounds {
  int m_share = 1;  // This instance's part of the slots: nobody else uses it.
  int m_most = 1;   // Above the share the window grows only while the backend server refuses nothing.

  bool operator==(const LimitBounds&) const = default;
};

// A window that grows with answers and shrinks with refusals, failures and growing latency. Starts small, so that a
// backend server that is new or comes back from ejection is loaded step by step. Pure: time comes with each event.
// Not thread-safe.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const LimitBounds& bounds) : m_bounds(bounds), m_ceiling(bounds.m_share) {}

  void SetBounds(const LimitBounds& bounds);
  void OnAnswer(Millis latency, int in_flight, Instant now);  // `in_flight` includes the answered one.
  void OnRefused(Instant now);                                // The backend server had no slot free.
  void OnFailure(Instant now);
  void Restart();  // After an ejection.

  Millis SlowMark() const;  // An answer that takes longer on average means that the backend server is overloaded.
  int Window() const;       // At least 1, unless the bounds allow none.

 private:
  void Grow(Instant now);
  bool Slowed(Millis latency);

  LimitBounds m_bounds;
  double m_window = 1.0;
  double m_latency_ms = 0.0;   // Moving average.
  double m_baseline_ms = 0.0;  // Falls at once, rises slowly: the latency without a queue.
  Instant m_last_cut;
  int m_ceiling;          // Below it the window grows freely: the share, or what refusals have taught.
  Instant m_probe_after;  // When the ceiling may be tried again.
  Millis m_probe_wait{0};
};

}  // namespace hickoryquay::routing
