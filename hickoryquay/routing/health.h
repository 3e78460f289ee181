// Health: ejection of a backend server that fails, for a while that grows.
#pragma once

#include "hickoryquay/base/clock.h"

namespace hickoryquay::routing {

// Pure: time comes with each event. Not thread-safe.
class Health {
 public:
  void OnSuccess();
  // Returns true where this failure ejects the backend server.
  bool OnFailure(Instant now);
  // No connection could be had: ejects at once. Returns false where it is ejected already.
  bool OnUnreachable(Instant now);

  Instant EjectedUntil() const { return m_ejected_until; }

 private:
  void Eject(Instant now);

  int m_failures_in_a_row = 0;
  double m_failure_rate = 0.0;  // Moving average over answers; catches a server that fails every other request.
  int m_ejections = 0;          // Without a success in between.
  Instant m_ejected_until;
};

}  // namespace hickoryquay::routing
