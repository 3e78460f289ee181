// RetryBudget: retries and hedges as a share of first attempts, so that they can't multiply a failure.
#pragma once

#include <algorithm>
#include <atomic>

namespace hickoryquay::routing {

// Thread-safe, lock-free.
class RetryBudget {
 public:
  void OnRequest() { Add(kEarnedPerRequest); }

  // False where the budget is spent.
  bool TrySpend() {
    int left = m_tokens.load(std::memory_order_relaxed);
    while (left >= kCostOfRetry) {
      if (m_tokens.compare_exchange_weak(left, left - kCostOfRetry)) return true;
    }
    return false;
  }

  int Left() const { return m_tokens.load(std::memory_order_relaxed) / kCostOfRetry; }  // In retries.

 private:
  static constexpr int kCostOfRetry = 1000;
  static constexpr int kEarnedPerRequest = 100;  // One retry for ten requests.
  static constexpr int kMostTokens = 20 * kCostOfRetry;

  void Add(int tokens) {
    int left = m_tokens.load(std::memory_order_relaxed);
    while (left < kMostTokens) {
      const int more = std::min(left + tokens, kMostTokens);
      if (m_tokens.compare_exchange_weak(left, more, std::memory_order_relaxed)) return;
    }
  }

  std::atomic<int> m_tokens{kMostTokens};
};

}  // namespace hickoryquay::routing
