// Estimator: predicts run times, task sizes and calls on guarantees from what was observed.
//
// Declared run times and sizes are wrong by up to a factor of ten either way, while the true ones are much alike within
// one client account and class. So moving averages of the observed values are kept for each such pair.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

class Estimator {
 public:
  // A gang finished after this total run time.
  void ObserveRun(const JobEntry& job, Millis ran);

  // One task was seen to use this much.
  void ObserveTask(const JobEntry& job, const Resources& used);

  // The account called on its guarantees, whether borrowers had to be stopped or not.
  void ObserveCall(AccountIndex account, Instant now);

  // Probability from 0 to 1 that the account calls on its guarantees within this time.
  double CallProbability(AccountIndex account, Millis within, Instant now) const;

  // Total run time, from the declaration and what was observed.
  Millis ExpectedRun(const JobEntry& job) const;

  // Remaining run time. A job past its expected run time is expected to run as long again as it has.
  Millis ExpectedRemaining(const JobEntry& job, Instant now) const;

  // Resources to reserve for a task: at least the declared size, more where more was observed, never more than its
  // share of the largest worker, so that a gang that fits an empty worker by its declaration still does.
  Resources TaskSize(const JobEntry& job, const Resources& largest_worker) const;

 private:
  struct MovingAverage {
    double m_mean = 0.0;
    int m_count = 0;
    void Add(double value);
  };

  // What was observed for one account and class.
  struct Experience {
    MovingAverage m_log_run_ratio;  // Logarithm of actual to declared.
    MovingAverage m_log_run_ms;
    MovingAverage m_log_millicores;  // Used by one task, per accelerator.
    MovingAverage m_log_memory_mb;
  };

  // Calls by one account, decaying exponentially.
  struct CallCount {
    double m_count = 0.0;
    Instant m_updated;  // Time for which the count holds.
  };

  static std::uint64_t KeyOf(const JobEntry& job);
  const Experience* Find(const JobEntry& job) const;

  std::unordered_map<std::uint64_t, Experience> m_experience;
  std::unordered_map<AccountIndex, CallCount> m_calls;
};

}  // namespace hickoryquay::policy
