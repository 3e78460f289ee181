// Circuit: tells from the last answers whether a service is worth calling, and how many retries it can bear.
#pragma once

#include "hickoryquay/base/clock.h"

namespace hickoryquay::store {

struct CircuitSettings {
  int m_open_after = 5;         // Failures in a row.
  Millis m_probe_every{500};    // While open, one call is let through as often as this.
  double m_retry_share = 0.2;   // Retries allowed a call that succeeds or starts.
  double m_retry_burst = 20.0;  // Retries that may be saved up.
};

// Not thread-safe; pure.
class Circuit {
 public:
  explicit Circuit(const CircuitSettings& settings) : m_settings(settings), m_retries(settings.m_retry_burst) {}

  // Whether a call may be sent now. While open, only a probe may.
  bool MaySend(Instant now);

  void Succeeded();
  void Failed(Instant now);

  // Takes one retry from the budget; false where it is used up.
  bool TakeRetry();

  bool Open() const { return m_open; }
  int Failures() const { return m_failures; }

 private:
  CircuitSettings m_settings;
  double m_retries;
  int m_failures = 0;
  bool m_open = false;
  Instant m_next_probe;
};

}  // namespace hickoryquay::store
