// Metrics: counters, gauges and distributions by name, written in the Prometheus text format.
//
//   Counter& refused = metrics.GetCounter("hq_requests_refused_total", {{"class", "booking"}});
//   refused.Add();
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace hickoryquay {

using Labels = std::map<std::string, std::string>;

// Wait-free.
class Counter {
 public:
  void Add(std::uint64_t by = 1) { m_value.fetch_add(by, std::memory_order_relaxed); }
  std::uint64_t Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

// Wait-free.
class Gauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  double Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0.0};
};

// Count, mean and quantiles by Boost.Accumulators (P-square: constant memory, estimates). Locks for each sample.
class Distribution {
 public:
  Distribution();
  ~Distribution();
  void Add(double value);

  struct Summary {
    std::uint64_t m_count = 0;
    double m_sum = 0.0;
    double m_p50 = 0.0;
    double m_p99 = 0.0;
    double m_max = 0.0;
  };
  Summary Read() const;

 private:
  struct State;
  mutable std::mutex m_mutex;
  std::unique_ptr<State> m_state;
};

// Owns the metrics of one process. Thread-safe; look a metric up once and keep the reference, which stays valid.
class Metrics {
 public:
  Counter& GetCounter(const std::string& name, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, const Labels& labels = {});
  Distribution& GetDistribution(const std::string& name, const Labels& labels = {});

  std::string PrometheusText() const;

 private:
  using Key = std::pair<std::string, Labels>;

  mutable std::mutex m_mutex;
  std::map<Key, std::unique_ptr<Counter>> m_counters;
  std::map<Key, std::unique_ptr<Gauge>> m_gauges;
  std::map<Key, std::unique_ptr<Distribution>> m_distributions;
};

}  // namespace hickoryquay
