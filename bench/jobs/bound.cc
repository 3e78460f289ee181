// The bound is a flow of work from jobs to seconds of the day: each unit of a job's work that falls before its
// objective earns its share of the job's worth, later ones their share of what a late job is worth. The most profitable
// flow is found as one of least cost, where cost is what a unit falls short of the most precious one.
// Each resource alone gives a valid bound. The lower one of accelerators and of the resource that the day asks most of
// is taken; days that ask most of accelerators need only one flow.

#include <algorithm>
#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/dijkstra_shortest_paths.hpp>
#include <boost/graph/find_flow_cost.hpp>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>
#include <cmath>

#include "bench/jobs/trial.h"

namespace hickoryquay::bench {

namespace {

constexpr std::int64_t kBucketMs = 1'000;
constexpr int kLateUntil = 3;  // Times the objective.
constexpr double kCostUnits =
    1e6;  // Costs are whole numbers, which doubles add exactly; the library overflows integers.

using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<
    boost::vecS, boost::vecS, boost::directedS, boost::no_property,
    boost::property<boost::edge_capacity_t, std::int64_t,
                    boost::property<boost::edge_residual_capacity_t, std::int64_t,
                                    boost::property<boost::edge_reverse_t, Traits::edge_descriptor,
                                                    boost::property<boost::edge_weight_t, double>>>>>;

class FlowBuilder {
 public:
  explicit FlowBuilder(std::size_t vertices) : m_graph(vertices) {}

  void Add(std::size_t from, std::size_t to, std::int64_t capacity, double cost) {
    const auto edge = boost::add_edge(from, to, m_graph).first;
    const auto back = boost::add_edge(to, from, m_graph).first;
    boost::put(boost::edge_capacity, m_graph, edge, capacity);
    boost::put(boost::edge_capacity, m_graph, back, 0);
    boost::put(boost::edge_weight, m_graph, edge, cost);
    boost::put(boost::edge_weight, m_graph, back, -cost);
    boost::put(boost::edge_reverse, m_graph, edge, back);
    boost::put(boost::edge_reverse, m_graph, back, edge);
  }

  double LeastCost(std::size_t source, std::size_t sink) {
    boost::successive_shortest_path_nonnegative_weights(m_graph, source, sink);
    return boost::find_flow_cost(m_graph);
  }

 private:
  Graph m_graph;
};

// Amount of one resource.
using Dimension = std::int64_t (*)(const Resources&);
constexpr Dimension kDimensions[] = {[](const Resources& r) -> std::int64_t { return r.m_accelerators; },
                                     [](const Resources& r) { return r.m_millicores; },
                                     [](const Resources& r) { return r.m_memory_mb; }};

// Of a job, in milliseconds of one unit of a resource on a worker of speed 1.
struct Work {
  std::int64_t m_total = 0;
  std::int64_t m_per_bucket = 0;  // The most that fits into one bucket, all tasks on the fastest workers.
};

Work WorkOf(const DayJob& planned, double fastest, Dimension dimension) {
  Work work;
  for (const auto& truth : planned.m_truths) {
    std::int64_t widest = 0;
    for (const Millis task : truth.m_work) work.m_total += task.count() * dimension(truth.m_spec.m_task);
    widest = static_cast<std::int64_t>(truth.m_work.size()) * dimension(truth.m_spec.m_task);
    work.m_per_bucket =
        std::max(work.m_per_bucket, static_cast<std::int64_t>(static_cast<double>(widest * kBucketMs) * fastest));
  }
  return work;
}

double CapacityPerMilli(const DayLoad& day, Dimension dimension) {
  double capacity = 0.0;
  for (const auto& worker : day.m_workers) {
    capacity += worker.m_speed * static_cast<double>(dimension(worker.m_entry.m_capacity));
  }
  return capacity;
}

// Time in milliseconds that the owed work takes if it uses all of the resource.
double TimeOf(const DayLoad& day, Dimension dimension) {
  std::int64_t total = 0;
  for (const DayJob& planned : day.m_jobs) {
    if (!planned.m_cancel_at) total += WorkOf(planned, 1.0, dimension).m_total;
  }
  return static_cast<double>(total) / std::max(1.0, CapacityPerMilli(day, dimension));
}

double UpperBoundOf(const DayLoad& day, Dimension dimension) {
  double fastest = 0.0;
  for (const auto& worker : day.m_workers) fastest = std::max(fastest, worker.m_speed);
  const auto bucket_capacity = static_cast<std::int64_t>(CapacityPerMilli(day, dimension) * kBucketMs);
  const std::int64_t buckets = (day.m_arrivals + day.m_after).count() / kBucketMs;
  std::vector<const DayJob*> owed;
  double most = 0.0;  // Worth of the most precious unit of work.
  double all = 0.0;
  for (const DayJob& planned : day.m_jobs) {
    if (planned.m_cancel_at) continue;
    owed.push_back(&planned);
    all += planned.m_worth;
    most = std::max(most, planned.m_worth / static_cast<double>(std::max<std::int64_t>(
                                                1, WorkOf(planned, fastest, dimension).m_total)));
  }
  if (owed.empty()) return 1.0;
  const std::size_t source = 0;
  const std::size_t sink = 1;
  const auto job_vertex = [](std::size_t i) { return 2 + i; };
  const auto bucket_vertex = [&](std::int64_t b) { return 2 + owed.size() + static_cast<std::size_t>(b); };
  const auto cost_of = [&](double density) { return std::round((most - density) / most * kCostUnits); };
  FlowBuilder flow(2 + owed.size() + static_cast<std::size_t>(buckets));
  for (std::int64_t b = 0; b < buckets; ++b) flow.Add(bucket_vertex(b), sink, bucket_capacity, 0);
  double total = 0.0;
  for (std::size_t i = 0; i < owed.size(); ++i) {
    const DayJob& planned = *owed[i];
    const Work work = WorkOf(planned, fastest, dimension);
    const double units = static_cast<double>(std::max<std::int64_t>(1, work.m_total));
    total += units;
    flow.Add(source, job_vertex(i), work.m_total, 0);
    flow.Add(job_vertex(i), sink, work.m_total, cost_of(0.0));  // What stays undone.
    const std::int64_t from = planned.m_job.m_accepted.m_ms;
    const std::int64_t in_time = from + planned.m_objective.count();
    const std::int64_t late = from + kLateUntil * planned.m_objective.count();
    for (std::int64_t b = from / kBucketMs; b < buckets && b * kBucketMs <= late; ++b) {
      const double density = b * kBucketMs <= in_time ? planned.m_worth / units : planned.m_late_worth / units;
      flow.Add(job_vertex(i), bucket_vertex(b), work.m_per_bucket, cost_of(density));
    }
  }
  const double cost = flow.LeastCost(source, sink);
  const double earned = (total - cost / kCostUnits) * most;
  return std::min(1.0, earned / all);
}

}  // namespace

double UpperBound(const DayLoad& day) {
  const Dimension accelerators = kDimensions[0];
  const Dimension scarcest =
      *std::max_element(std::begin(kDimensions), std::end(kDimensions),
                        [&](Dimension a, Dimension b) { return TimeOf(day, a) < TimeOf(day, b); });
  const double bound = UpperBoundOf(day, accelerators);
  return scarcest == accelerators ? bound : std::min(bound, UpperBoundOf(day, scarcest));
}

}  // namespace hickoryquay::bench
