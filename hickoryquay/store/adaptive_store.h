// AdaptiveStore: gives calls the time that the store takes these days, within what the caller allows.
//
// A store that answers in milliseconds is not waited for seconds where a connection went silent, and a store that has
// become slow is not asked the same thing again and again, which would make it slower. A call without an answer makes
// the store slow only if no call that was sent later was answered: otherwise its answer was lost, or a part of the
// store is away.
#pragma once

#include <algorithm>
#include <memory>
#include <utility>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/store/row_store.h"

namespace hickoryquay::store {

struct AdaptiveSettings {
  Millis m_least{400};    // Of a call: a hundred times what a healthy store takes.
  double m_spread = 3.0;  // Times what calls took lately.
  Millis m_slack{200};    // Added to that.
  double m_forget = 0.1;  // Share by which a faster answer lowers what calls are said to take.
};

// What calls took lately: rises at once, falls slowly. Pure.
class CallTime {
 public:
  explicit CallTime(const AdaptiveSettings& settings) : m_settings(settings) {}

  Millis Allow(Millis longest) const {
    const Millis wanted{static_cast<std::int64_t>(m_settings.m_spread * m_usual_ms)};
    return std::min(longest, std::max(m_settings.m_least, wanted + m_settings.m_slack));
  }
  void Answered(Instant sent, Millis took) {
    m_last_answered = std::max(m_last_answered, sent);
    Answered(took);
  }
  void Answered(Millis took) {
    const auto ms = static_cast<double>(took.count());
    m_usual_ms = ms > m_usual_ms ? ms : m_usual_ms + m_settings.m_forget * (ms - m_usual_ms);
  }
  // The call sent then got no answer.
  void TimedOut(Instant sent, Millis allowed) {
    if (m_last_answered < sent) TimedOut(allowed);
  }
  // The next call gets twice the time.
  void TimedOut(Millis allowed) {
    m_usual_ms = std::max(m_usual_ms, 2.0 * static_cast<double>(allowed.count()) / m_settings.m_spread);
  }

 private:
  AdaptiveSettings m_settings;
  double m_usual_ms = 0.0;
  Instant m_last_answered;  // When the latest of the calls that were answered was sent.
};

// `inner`, `clock` and `metrics` outlive it. Feeds wait for changes and keep their time. One thread.
//
// Counts calls as hq_store_calls_total by call and outcome, and times writes and reads as hq_store_call_ms by call.
class AdaptiveStore final : public RowStore {
 public:
  AdaptiveStore(RowStore* inner, const Clock* clock, Metrics* metrics, const AdaptiveSettings& settings)
      : m_inner(inner), m_clock(clock), m_metrics(metrics), m_time(std::make_shared<CallTime>(settings)) {}

  void Transact(const Transaction& transaction, Millis timeout, TransactCallback callback) override;
  void Read(const RowRange& range, int limit, Millis timeout, ReadCallback callback) override;
  void Feed(const FeedRange& range, Millis timeout, ReadCallback callback) override;

 private:
  RowStore* m_inner;
  const Clock* m_clock;
  Metrics* m_metrics;
  std::shared_ptr<CallTime> m_time;
};

}  // namespace hickoryquay::store
