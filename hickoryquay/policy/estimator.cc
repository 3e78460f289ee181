#include "hickoryquay/policy/estimator.h"

#include <algorithm>
#include <cmath>

namespace hickoryquay::policy {
namespace {

constexpr double kNewestWeight = 0.1;             // Weight of the newest observation, at least.
constexpr double kMaxRatio = 10.0;                // Larger corrections are taken for measurement errors.
constexpr Millis kDefaultRun{10 * 60 * 1000};     // Expected run time where nothing is declared or observed.
constexpr Millis kCallDecay{8 * 60 * 60 * 1000};  // Time after which a call's weight has decayed to 1/e.
constexpr int kMinObservations = 3;               // Averages of fewer observations are ignored.

double ClampRatio(double ratio) {
  return std::clamp(ratio, 1.0 / kMaxRatio, kMaxRatio);
}

// The needed size, limited to the share, but never below the declared size.
std::int64_t SizeWithin(std::int64_t declared, std::int64_t needed, std::int64_t share) {
  return std::max(declared, std::min(needed, share));
}

}  // namespace

void Estimator::MovingAverage::Add(double value) {
  ++m_count;
  m_mean += (value - m_mean) * std::max(kNewestWeight, 1.0 / m_count);
}

std::uint64_t Estimator::KeyOf(const JobEntry& job) {
  return (static_cast<std::uint64_t>(job.m_account) << 32) | static_cast<std::uint32_t>(job.m_class);
}

const Estimator::Experience* Estimator::Find(const JobEntry& job) const {
  const auto at = m_experience.find(KeyOf(job));
  return at == m_experience.end() ? nullptr : &at->second;
}

void Estimator::ObserveRun(const JobEntry& job, Millis ran) {
  const double ran_ms = std::max<double>(1.0, static_cast<double>(ran.count()));
  Experience& experience = m_experience[KeyOf(job)];
  experience.m_log_run_ms.Add(std::log(ran_ms));
  if (job.m_declared_run.count() <= 0) return;
  experience.m_log_run_ratio.Add(std::log(ClampRatio(ran_ms / static_cast<double>(job.m_declared_run.count()))));
}

void Estimator::ObserveTask(const JobEntry& job, const Resources& used) {
  const int accelerators = std::max(1, job.m_shape.m_task.m_accelerators);
  Experience& experience = m_experience[KeyOf(job)];
  const auto add = [accelerators](std::int64_t value, MovingAverage* average) {
    if (value > 0) average->Add(std::log(static_cast<double>(value) / accelerators));
  };
  add(used.m_millicores, &experience.m_log_millicores);
  add(used.m_memory_mb, &experience.m_log_memory_mb);
}

void Estimator::ObserveCall(AccountIndex account, Instant now) {
  CallCount& calls = m_calls[account];
  const double age = static_cast<double>((now - calls.m_updated).count()) / kCallDecay.count();
  calls.m_count = calls.m_count * std::exp(-age) + 1.0;
  calls.m_updated = now;
}

double Estimator::CallProbability(AccountIndex account, Millis within, Instant now) const {
  const auto at = m_calls.find(account);
  if (at == m_calls.end()) return 0.0;
  const double age = static_cast<double>((now - at->second.m_updated).count()) / kCallDecay.count();
  const double expected =
      at->second.m_count * std::exp(-age) * static_cast<double>(within.count()) / kCallDecay.count();
  return 1.0 - std::exp(-expected);
}

Millis Estimator::ExpectedRun(const JobEntry& job) const {
  const Experience* experience = Find(job);
  const bool known = experience != nullptr && experience->m_log_run_ms.m_count >= kMinObservations;
  const bool corrected = experience != nullptr && experience->m_log_run_ratio.m_count >= kMinObservations;
  const auto declared_ms = static_cast<double>(job.m_declared_run.count());
  if (declared_ms <= 0.0 && !known) return kDefaultRun;
  if (declared_ms <= 0.0) return Millis{std::llround(std::exp(experience->m_log_run_ms.m_mean))};
  if (!corrected) return job.m_declared_run;
  // Declaration and experience are two noisy estimates: their geometric mean is closer than either.
  const double by_ratio = std::log(declared_ms) + experience->m_log_run_ratio.m_mean;
  return Millis{std::llround(std::exp((by_ratio + experience->m_log_run_ms.m_mean) / 2))};
}

Millis Estimator::ExpectedRemaining(const JobEntry& job, Instant now) const {
  Millis ran = job.m_attained;
  if (job.m_phase == Phase::kRunning) ran += now - job.m_started;
  const Millis expected = ExpectedRun(job);
  return ran < expected ? expected - ran : std::max(ran, Millis{1});
}

Resources Estimator::TaskSize(const JobEntry& job, const Resources& largest_worker) const {
  const Resources& declared = job.m_shape.m_task;
  const Experience* experience = Find(job);
  Resources share = largest_worker;
  int tasks_a_worker = std::max(1, job.m_shape.m_tasks);
  if (declared.m_accelerators > 0)
    tasks_a_worker = std::max(1, largest_worker.m_accelerators / declared.m_accelerators);
  share.m_millicores /= tasks_a_worker;
  share.m_memory_mb /= tasks_a_worker;
  const int accelerators = std::max(1, declared.m_accelerators);
  const auto expected = [accelerators](const MovingAverage& average) {
    if (average.m_count < kMinObservations) return std::int64_t{0};
    return static_cast<std::int64_t>(std::exp(average.m_mean) * accelerators);
  };
  const Resources& seen = job.m_observed_task;
  const std::int64_t millicores = experience == nullptr ? 0 : expected(experience->m_log_millicores);
  const std::int64_t memory_mb = experience == nullptr ? 0 : expected(experience->m_log_memory_mb);
  Resources size = declared;
  size.m_millicores = SizeWithin(declared.m_millicores, std::max(seen.m_millicores, millicores), share.m_millicores);
  size.m_memory_mb = SizeWithin(declared.m_memory_mb, std::max(seen.m_memory_mb, memory_mb), share.m_memory_mb);
  return size;
}

}  // namespace hickoryquay::policy
