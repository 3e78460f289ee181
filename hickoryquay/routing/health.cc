#include "hickoryquay/routing/health.h"

#include <algorithm>

namespace hickoryquay::routing {

namespace {

constexpr int kFailuresInARow = 5;
constexpr int kFailuresAfterEjection = 1;  // It comes back on trial.
constexpr double kRateWeight = 0.05;
constexpr double kHighestRate = 0.5;
constexpr Millis kFirstEjection{1'000};  // Doubles each time.
constexpr Millis kLongestEjection{30'000};
constexpr int kMostDoublings = 5;

}  // namespace

void Health::OnSuccess() {
  m_failures_in_a_row = 0;
  m_failure_rate *= 1.0 - kRateWeight;
  if (m_failure_rate < kHighestRate / 2) m_ejections = 0;
}

bool Health::OnFailure(Instant now) {
  ++m_failures_in_a_row;
  m_failure_rate += kRateWeight * (1.0 - m_failure_rate);
  if (now < m_ejected_until) return false;
  const int allowed = m_ejections > 0 ? kFailuresAfterEjection : kFailuresInARow;
  if (m_failures_in_a_row < allowed && m_failure_rate < kHighestRate) return false;
  Eject(now);
  return true;
}

bool Health::OnUnreachable(Instant now) {
  if (now < m_ejected_until) return false;
  Eject(now);
  return true;
}

void Health::Eject(Instant now) {
  const Millis wait = std::min(kFirstEjection * (1 << std::min(m_ejections, kMostDoublings)), kLongestEjection);
  m_ejected_until = now + wait;
  ++m_ejections;
  m_failures_in_a_row = 0;
  m_failure_rate = 0.0;
}

}  // namespace hickoryquay::routing
