#include "hickoryquay/jobs/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace hickoryquay::jobs {

namespace {

constexpr int kWhole = 100;

double Square(double value) {
  return value * value;
}

double Fading(Instant from, Instant now, Millis half_life) {
  const double span = static_cast<double>(std::max<std::int64_t>(0, (now - from).count()));
  return std::exp2(-span / static_cast<double>(half_life.count()));
}

Evidence Faded(const Evidence& evidence, double factor) {
  return {evidence.m_weight * factor, evidence.m_sum * factor};
}

// Without a report that it contains. Rounding must not leave a negative weight.
Evidence Without(const Evidence& all, const Evidence& report) {
  return {std::max(0.0, all.m_weight - report.m_weight), all.m_sum - report.m_sum};
}

Evidence With(const Evidence& all, const Evidence& report) {
  return {all.m_weight + report.m_weight, all.m_sum + report.m_sum};
}

LogBelief Combine(double prior_mean, double prior_spread, const Evidence& evidence) {
  const double prior_weight = 1.0 / Square(prior_spread);
  const double weight = prior_weight + evidence.m_weight;
  return {(prior_weight * prior_mean + evidence.m_sum) / weight, 1.0 / weight};
}

}  // namespace

LogBelief WorkerSpeed::At(Instant now, const SpeedSettings& settings) const {
  return Combine(0.0, settings.m_speed_spread, Faded(m_evidence, Fading(m_at, now, settings.m_half_life)));
}

bool WorkerSpeed::IsMeasured(Instant now, const SpeedSettings& settings) const {
  return At(now, settings).m_variance < Square(settings.m_known_spread);
}

void ObservePace(double share, Millis span, Millis estimate, Instant now, const SpeedSettings& settings,
                 WorkerSpeed* worker, StepPace* step, RunPace* run) {
  if (share <= 0.0 || span.count() <= 0 || estimate.count() <= 0) return;
  const double pace = std::log(share / static_cast<double>(span.count()));
  const Evidence about_worker = Faded(worker->m_evidence, Fading(worker->m_at, now, settings.m_half_life));
  const Evidence others_worker =
      Without(about_worker, Faded(run->m_about_worker, Fading(run->m_at, now, settings.m_half_life)));
  const Evidence others_step = Without(step->m_evidence, run->m_about_step);
  const LogBelief speed = Combine(0.0, settings.m_speed_spread, others_worker);
  const double expected = -std::log(static_cast<double>(estimate.count()));
  const LogBelief usual = Combine(expected, settings.m_estimate_spread, others_step);
  const double noise = Square(settings.m_task_spread);
  const double residual = std::abs(pace - speed.m_mean - usual.m_mean);
  const double limit = settings.m_outlier * std::sqrt(speed.m_variance + usual.m_variance + noise);
  const double trust = residual <= limit ? 1.0 : Square(limit / residual);
  const double worker_weight = trust / (usual.m_variance + noise);
  const double step_weight = trust / (speed.m_variance + noise);
  run->m_about_worker = {worker_weight, worker_weight * (pace - usual.m_mean)};
  run->m_about_step = {step_weight, step_weight * (pace - speed.m_mean)};
  run->m_at = now;
  worker->m_evidence = With(others_worker, run->m_about_worker);
  worker->m_at = now;
  step->m_evidence = With(others_step, run->m_about_step);
}

void ObserveProgress(int percent, Instant begin, Millis estimate, Instant now, const SpeedSettings& settings,
                     WorkerSpeed* worker, StepPace* step, RunPace* run) {
  if (run->m_first_percent < 0) {
    run->m_first_percent = begin == Instant{} ? percent : 0;
    run->m_first_at = begin == Instant{} ? now : begin;
  }
  const int made = percent - run->m_first_percent;
  if (percent >= kWhole || made < settings.m_min_percent) return;  // At 100 it waits for other members of its gang.
  ObservePace(static_cast<double>(made) / kWhole, now - run->m_first_at, estimate, now, settings, worker, step, run);
}

double ChanceToMeet(Millis estimate, Millis budget, const LogBelief& speed, double spread, double bias) {
  if (budget.count() <= 0) return 0.0;
  const double room =
      static_cast<double>(budget.count()) / static_cast<double>(std::max<std::int64_t>(1, estimate.count()));
  const double z = (std::log(room) + speed.m_mean - bias) / std::sqrt(Square(spread) + speed.m_variance);
  return 0.5 * std::erfc(-z / std::sqrt(2.0));
}

}  // namespace hickoryquay::jobs
