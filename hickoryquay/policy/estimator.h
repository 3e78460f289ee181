// Learning: what jobs of a client account and class really take, against what they declare.
//
// Declared run times and sizes are wrong by up to a factor of ten either way, while the true ones are much alike within
// one client account and class. So moving averages of what was seen are kept for each such pair.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "hickoryquay/policy/cluster.h"

namespace hickoryquay::policy {

class Estimator {
 public:
  // A gang finished after this run time in all.
  void ObserveRun(const JobEntry& job, Millis ran);

  // One task was seen to use this much.
  void ObserveTask(const JobEntry& job, const Resources& used);

  // The account called on its guarantees: borrowers had to go, or would have had to.
  void ObserveCall(AccountIndex account, Instant now);

  // How likely the account calls within this time.
  double CallProbability(AccountIndex account, Millis within, Instant now) const;

  // Run time in all, by declaration and experience.
  Millis ExpectedRun(const JobEntry& job) const;

  // What is left of it. A job that has outrun the expectation is expected to run as long again as it has.
  Millis ExpectedRemaining(const JobEntry& job, Instant now) const;

  // What a task should be given: at least what is declared, more where experience says so, never more than its share
  // of the largest worker, so that whatever fits by declaration still fits an empty one.
  Resources TaskSize(const JobEntry& job, const Resources& largest_worker) const;

 private:
  struct MovingAverage {
    double m_mean = 0.0;
    int m_count = 0;
    void Add(double value);
  };
  struct Experience {
    MovingAverage m_log_run_ratio;  // Of true to declared.
    MovingAverage m_log_run_ms;
    MovingAverage m_log_millicores;  // Used by one task, for each of its accelerators.
    MovingAverage m_log_memory_mb;
  };

  // Calls of one account, fading with time.
  struct CallCount {
    double m_count = 0.0;
    Instant m_updated;  // When the count was right.
  };

  static std::uint64_t KeyOf(const JobEntry& job);
  const Experience* Find(const JobEntry& job) const;

  std::unordered_map<std::uint64_t, Experience> m_experience;
  std::unordered_map<AccountIndex, CallCount> m_calls;
};

}  // namespace hickoryquay::policy
