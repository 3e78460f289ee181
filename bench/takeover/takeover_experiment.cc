// hqbench takeover: the time from the loss of a leader to the first start by the next one, in virtual time, over the
// instances' links, the ended jobs that are kept and the jobs that wait.

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <optional>
#include <vector>

#include "bench/experiment.h"
#include "hickoryquay/base/log.h"
#include "standin/sim_cluster.h"

namespace hickoryquay::bench {

namespace {

namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kRuleBroken = 3;
constexpr int kBytesPerMsAndMbit = 125;
constexpr int kInstances = 3;
constexpr std::size_t kPayloadBytes = 1'000;  // Of a waiting job.
constexpr Millis kStartup{3'000};
constexpr Millis kSubmission{10};  // Between two waiting jobs.
constexpr Millis kKillStep{137};  // The kills of a case's runs come this much later each, at other points of a renewal.
constexpr Millis kStep{5};
constexpr Millis kLongest{60'000};

struct Arguments {
  std::vector<int> m_links{2, 10, 200};       // Mbit/s.
  std::vector<int> m_kept{0, 1'000, 10'000};  // Ended jobs.
  std::vector<int> m_waiting{0, 100, 400};    // Jobs.
  int m_runs = 5;                             // Of each case.
  bool m_json = false;
};

struct Case {
  int m_link = 0;
  int m_kept = 0;
  int m_waiting = 0;
};

struct Outcome {
  std::optional<Millis> m_time;  // Empty: no start within kLongest.
  std::string m_violations;
};

Outcome RunOnce(const Case& which, int run) {
  service::ClusterSettings settings;
  settings.m_instances = kInstances;
  settings.m_link_bytes_per_ms = which.m_link * kBytesPerMsAndMbit;
  settings.m_payload_bytes = kPayloadBytes;
  settings.m_random_seed = static_cast<std::uint64_t>(run) + 1;
  service::SimCluster cluster(settings);
  cluster.Run(kStartup);
  cluster.AddEndedJobs(which.m_kept);
  for (int i = 0; i < which.m_waiting; ++i) {  // Whole workers, so that most of them wait.
    cluster.Submit(i % kInstances, service::Tasks(1, 8, Millis{60'000}), Millis{60'000});
    cluster.Run(kSubmission);
  }
  cluster.Run(kStartup + run * kKillStep);
  const std::optional<int> leader = cluster.Leader();
  if (!leader) return {};
  cluster.KillInstance(*leader);
  const Instant killed = cluster.Time().Now();
  const int starts = cluster.Sim().Starts();
  cluster.Submit((*leader + 1) % kInstances, service::Tasks(1, 0, Millis{200}), Millis{200}, 0);
  while (cluster.Sim().Starts() == starts && cluster.Time().Now() - killed < kLongest) cluster.Run(kStep);
  if (cluster.Sim().Starts() == starts) return {std::nullopt, cluster.Violations()};
  return {cluster.Time().Now() - killed, cluster.Violations()};
}

int Report(const Arguments& arguments, const Case& which) {
  std::vector<std::int64_t> times;
  std::string violations;
  for (int run = 0; run < arguments.m_runs; ++run) {
    const Outcome outcome = RunOnce(which, run);
    violations += outcome.m_violations;
    times.push_back(outcome.m_time.value_or(kLongest).count());
  }
  std::sort(times.begin(), times.end());
  const std::int64_t median = times[times.size() / 2];
  const std::int64_t longest = times.back();
  if (arguments.m_json) {
    std::cout << boost::json::serialize(boost::json::object{{"link_mbit_s", which.m_link},
                                                            {"kept", which.m_kept},
                                                            {"waiting", which.m_waiting},
                                                            {"median_ms", median},
                                                            {"longest_ms", longest}})
              << '\n';
  } else {
    std::cout << std::setw(10) << which.m_link << std::setw(10) << which.m_kept << std::setw(10) << which.m_waiting
              << std::setw(12) << median << std::setw(12) << longest << '\n';
  }
  if (!violations.empty()) std::cerr << violations;
  return violations.empty() ? 0 : kRuleBroken;
}

int RunTakeover(const std::vector<std::string>& words) {
  Arguments arguments;
  options::options_description description(
      "hqbench takeover: ms from the loss of a leader to the first start by the next one, in virtual time");
  description.add_options()("help", "this text");
  description.add_options()("link", options::value(&arguments.m_links)->multitoken(),
                            "links of all instances, Mbit/s (2 10 200)");
  description.add_options()("kept", options::value(&arguments.m_kept)->multitoken(),
                            "ended jobs that are kept (0 1000 10000)");
  description.add_options()("waiting", options::value(&arguments.m_waiting)->multitoken(),
                            "jobs that wait (0 100 400)");
  description.add_options()("runs", options::value(&arguments.m_runs)->default_value(arguments.m_runs),
                            "runs of each case, with kills at other moments");
  description.add_options()("json", options::bool_switch(&arguments.m_json), "one JSON object a line");
  try {
    options::variables_map values;
    options::store(options::command_line_parser(words).options(description).run(), values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    const auto negative = [](const std::vector<int>& counts) {
      return std::any_of(counts.begin(), counts.end(), [](int count) { return count < 0; });
    };
    if (arguments.m_runs < 1) throw options::error("--runs must be 1 or more");
    if (negative(arguments.m_kept) || negative(arguments.m_waiting)) throw options::error("counts are 0 or more");
    if (std::any_of(arguments.m_links.begin(), arguments.m_links.end(), [](int link) { return link < 1; }))
      throw options::error("--link must be 1 Mbit/s or more");
  } catch (const options::error& error) {
    std::cerr << "hqbench takeover: " << error.what() << '\n';
    return kUsageError;
  }
  log::Configure({.m_level = log::Level::kError});
  if (!arguments.m_json) std::cout << "link Mbit/s      kept   waiting   median ms  longest ms\n";
  int code = 0;
  for (const int link : arguments.m_links) {
    for (const int kept : arguments.m_kept) {
      for (const int waiting : arguments.m_waiting) {
        code = std::max(code, Report(arguments, {link, kept, waiting}));
      }
    }
  }
  return code;
}

const Experiment kTakeover{"takeover", "The time from the loss of a leader to the first start by the next one.",
                           &RunTakeover};

}  // namespace
}  // namespace hickoryquay::bench
