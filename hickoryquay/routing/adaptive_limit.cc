#include "hickoryquay/routing/adaptive_limit.h"

#include <algorithm>

namespace hickoryquay::routing {

namespace {

constexpr double kAverageWeight = 0.1;
constexpr double kBaselineRise = 0.002;
constexpr double kSlowedFactor = 3.0;
constexpr double kSlowedSlackMs = 50.0;
constexpr double kCutFactor = 0.7;
constexpr Millis kCutEvery{100};        // One burst of bad answers cuts the window once.
constexpr Millis kFirstProbeWait{500};  // Doubles with each refusal.
constexpr Millis kLongestWaitWithinShare{4'000};
constexpr Millis kLongestWait{30'000};
constexpr Millis kProbeEvery{60};  // While nothing is refused.

}  // namespace

void AdaptiveLimit::SetBounds(const LimitBounds& bounds) {
  if (bounds.m_share != m_bounds.m_share) m_ceiling = bounds.m_share;
  m_bounds = bounds;
  m_window = std::min(m_window, static_cast<double>(std::max(1, bounds.m_most)));
}

int AdaptiveLimit::Window() const {
  const int floor = std::min(1, m_bounds.m_most);
  return std::clamp(static_cast<int>(m_window), floor, std::max(floor, m_bounds.m_most));
}

void AdaptiveLimit::OnAnswer(Millis latency, int in_flight, Instant now) {
  if (Slowed(latency)) return OnFailure(now);
  if (in_flight >= Window()) Grow(now);
}

bool AdaptiveLimit::Slowed(Millis latency) {
  const auto sample = static_cast<double>(latency.count());
  if (m_latency_ms == 0.0) m_latency_ms = m_baseline_ms = sample;
  m_latency_ms += kAverageWeight * (sample - m_latency_ms);
  m_baseline_ms = std::min(m_baseline_ms + kBaselineRise * (m_latency_ms - m_baseline_ms), m_latency_ms);
  return m_latency_ms > static_cast<double>(SlowMark().count());
}

Millis AdaptiveLimit::SlowMark() const {
  return Millis(static_cast<std::int64_t>(kSlowedFactor * m_baseline_ms + kSlowedSlackMs));
}

void AdaptiveLimit::Grow(Instant now) {
  const double grown = m_window + 1.0 / m_window;
  if (grown < m_ceiling + 1.0) {
    m_window = std::min(grown, static_cast<double>(std::max(1, m_bounds.m_most)));
    return;
  }
  if (now < m_probe_after || Window() >= m_bounds.m_most) return;
  m_ceiling = Window() + 1;
  m_window = m_ceiling;
  m_probe_after = now + kProbeEvery;
}

void AdaptiveLimit::OnRefused(Instant now) {
  m_ceiling = std::max(1, Window() - 1);
  m_window = m_ceiling;
  if (now - m_last_cut < kCutEvery) return;
  m_last_cut = now;
  const Millis longest = m_ceiling < m_bounds.m_share ? kLongestWaitWithinShare : kLongestWait;
  m_probe_wait = std::clamp(m_probe_wait * 2, kFirstProbeWait, longest);
  m_probe_after = now + m_probe_wait;
}

void AdaptiveLimit::OnFailure(Instant now) {
  if (now - m_last_cut < kCutEvery) return;
  m_last_cut = now;
  m_window = std::max(1.0, m_window * kCutFactor);
}

void AdaptiveLimit::Restart() {
  m_window = 1.0;
  m_ceiling = m_bounds.m_share;
  m_latency_ms = 0.0;
  m_baseline_ms = 0.0;
}

}  // namespace hickoryquay::routing
