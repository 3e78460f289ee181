// HedgeDelay: when a second copy of a repeatable request is worth sending.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::routing {

// Mean latency plus four mean deviations, as TCP's retransmission timer has it. Thread-safe; samples that race may get
// lost, which an estimate bears.
class HedgeDelay {
 public:
  void OnAnswer(Millis latency) {
    const std::int64_t sample = latency.count() * kScale;
    const std::int64_t mean = m_mean.load(std::memory_order_relaxed);
    const std::int64_t deviation = m_deviation.load(std::memory_order_relaxed);
    m_mean.store(mean + (sample - mean) / kMeanWeight, std::memory_order_relaxed);
    m_deviation.store(deviation + (std::abs(sample - mean) - deviation) / kDeviationWeight, std::memory_order_relaxed);
  }

  Millis Get() const {
    const std::int64_t scaled =
        m_mean.load(std::memory_order_relaxed) + kDeviations * m_deviation.load(std::memory_order_relaxed);
    return std::max(kShortest, Millis(scaled / kScale));
  }

 private:
  static constexpr std::int64_t kScale = 1024;  // Units in a millisecond.
  static constexpr std::int64_t kMeanWeight = 8;
  static constexpr std::int64_t kDeviationWeight = 4;
  static constexpr std::int64_t kDeviations = 4;
  static constexpr Millis kShortest{20};

  std::atomic<std::int64_t> m_mean{1000 * kScale};
  std::atomic<std::int64_t> m_deviation{0};
};

}  // namespace hickoryquay::routing
