#include "hickoryquay/base/metrics.h"

// Boost.Accumulators uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <utility>
#include <vector>

namespace hickoryquay {

namespace acc = boost::accumulators;

namespace {

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile_quadratic>>;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
const std::vector<double>& Probabilities() {
  static const std::vector<double> probabilities = {0.25, kMedian, 0.75, 0.9, kP99, 0.999};
  return probabilities;
}

std::string LabelText(const Labels& labels, const std::string& quantile = "") {
  Labels all = labels;
  if (!quantile.empty()) all["quantile"] = quantile;
  if (all.empty()) return "";
  std::string text;
  for (const auto& [key, value] : all) text += (text.empty() ? "{" : ",") + key + "=\"" + value + "\"";
  return text + "}";
}

template <typename Table>
auto& FindOrMake(Table* table, const std::string& name, const Labels& labels) {
  auto& slot = (*table)[{name, labels}];
  if (!slot) slot = std::make_unique<typename Table::mapped_type::element_type>();
  return *slot;
}

// Writes the TYPE line before the first sample of each name.
class TextWriter {
 public:
  void Type(const std::string& name, const char* type) {
    if (name != m_last) m_out << "# TYPE " << name << ' ' << type << '\n';
    m_last = name;
  }
  template <typename Value>
  void Sample(const std::string& name, const std::string& labels, Value value) {
    m_out << name << labels << ' ' << value << '\n';
  }
  std::string Text() const { return m_out.str(); }

 private:
  std::ostringstream m_out;
  std::string m_last;
};

}  // namespace

struct Distribution::State {
  Accumulator m_accumulator{acc::extended_p_square_probabilities = Probabilities()};
};

Distribution::Distribution() : m_state(std::make_unique<State>()) {}
Distribution::~Distribution() = default;

void Distribution::Add(double value) {
  const std::scoped_lock lock(m_mutex);
  m_state->m_accumulator(value);
}

Distribution::Summary Distribution::Read() const {
  const std::scoped_lock lock(m_mutex);
  const Accumulator& samples = m_state->m_accumulator;
  Summary summary;
  summary.m_count = acc::count(samples);
  if (summary.m_count == 0) return summary;
  summary.m_sum = acc::sum(samples);
  summary.m_max = acc::max(samples);
  summary.m_p50 = acc::quantile(samples, acc::quantile_probability = kMedian);
  summary.m_p99 = acc::quantile(samples, acc::quantile_probability = kP99);
  return summary;
}

Counter& Metrics::GetCounter(const std::string& name, const Labels& labels) {
  const std::scoped_lock lock(m_mutex);
  return FindOrMake(&m_counters, name, labels);
}

Gauge& Metrics::GetGauge(const std::string& name, const Labels& labels) {
  const std::scoped_lock lock(m_mutex);
  return FindOrMake(&m_gauges, name, labels);
}

Distribution& Metrics::GetDistribution(const std::string& name, const Labels& labels) {
  const std::scoped_lock lock(m_mutex);
  return FindOrMake(&m_distributions, name, labels);
}

std::string Metrics::PrometheusText() const {
  const std::scoped_lock lock(m_mutex);
  TextWriter writer;
  for (const auto& [key, counter] : m_counters) {
    writer.Type(key.first, "counter");
    writer.Sample(key.first, LabelText(key.second), counter->Value());
  }
  for (const auto& [key, gauge] : m_gauges) {
    writer.Type(key.first, "gauge");
    writer.Sample(key.first, LabelText(key.second), gauge->Value());
  }
  for (const auto& [key, distribution] : m_distributions) {
    const Distribution::Summary summary = distribution->Read();
    writer.Type(key.first, "summary");
    writer.Sample(key.first, LabelText(key.second, "0.5"), summary.m_p50);
    writer.Sample(key.first, LabelText(key.second, "0.99"), summary.m_p99);
    writer.Sample(key.first + "_sum", LabelText(key.second), summary.m_sum);
    writer.Sample(key.first + "_count", LabelText(key.second), summary.m_count);
  }
  return writer.Text();
}

}  // namespace hickoryquay
