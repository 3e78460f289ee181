// hqbench leader: a leader whose processor is short, in virtual time. Many jobs start, some of them are cancelled, many
// workers leave at once and the store forgets its history, over and over. Measures how soon cancels take effect, and
// how much of a core the leader uses.

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bench/experiment.h"
#include "hickoryquay/base/log.h"
#include "standin/sim_cluster.h"

namespace hickoryquay::bench {

namespace {

namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kRuleBroken = 3;
constexpr int kNothingStarted = 4;
constexpr int kWorkersPerRack = 12;
constexpr int kInstances = 3;
constexpr double kUsualWorkers = 1'100.0;
constexpr Millis kStartup{3'000};
constexpr Millis kStep{20};
constexpr Millis kAfter{10'000};  // Played on for this long after the last submission.

struct Arguments {
  int m_workers = 1'100;
  int m_seconds = 20;
  double m_load = 1.0;      // Of what kUsualWorkers get, for each worker.
  double m_share = 0.5;     // Of a core.
  int m_event_us = 100;     // See ProcessorSettings.
  double m_measured = 1.0;  // See ProcessorSettings.
  double m_cancelled = 0.2;
  double m_leaving = 0.13;  // Share of the workers.
  int m_forget_ms = 1'000;  // Between losses of the store's history; 0: none.
  bool m_json = false;
};

struct Kind {
  double m_per_s;
  int m_tasks;
  Millis m_work;
  int m_accelerators;
  int m_priority;
};

constexpr Kind kKinds[] = {
    {15.6, 8, Millis{2'500}, 3, 0}, {2.7, 26, Millis{11'000}, 3, 1}, {4.2, 90, Millis{6'100}, 1, 2}};

class Play {
 public:
  explicit Play(const Arguments& arguments) : m_arguments(arguments), m_random(1) {
    service::ClusterSettings settings;
    settings.m_instances = kInstances;
    settings.m_workers_per_rack = kWorkersPerRack;
    settings.m_racks = std::max(1, arguments.m_workers / kWorkersPerRack);
    settings.m_payload_bytes = 1'000;
    settings.m_heartbeats = true;
    settings.m_workers.m_stop = Millis{900};
    settings.m_workers.m_longest_lease = Millis{6'000};
    settings.m_cancel_bound = Millis{5'000};
    settings.m_drain_bound = Millis{4'000};
    settings.m_processor.m_event_us = arguments.m_event_us;
    settings.m_processor.m_measured = arguments.m_measured;
    settings.m_processor.m_share = arguments.m_share;
    m_cluster = std::make_unique<service::SimCluster>(settings);
  }

  int Run() {
    m_cluster->Run(kStartup);
    m_leader = m_cluster->Leader();
    if (!m_leader) {
      std::cerr << "hqbench leader: nobody leads\n";
      return kRuleBroken;
    }
    const std::int64_t used = m_cluster->GateOf(*m_leader).BusyUs();
    const Instant begin = m_cluster->Time().Now();
    const Millis length{1'000 * m_arguments.m_seconds};
    std::optional<Instant> forgotten;
    for (Millis passed{0}; passed < length + kAfter; passed = m_cluster->Time().Now() - begin) {
      if (passed < length) Submit();
      Cancel();
      if (passed >= length / 2 && !m_left) Leave();
      const bool forgets = m_arguments.m_forget_ms > 0 && passed < length;
      if (forgets && (!forgotten || m_cluster->Time().Now() - *forgotten >= Millis{m_arguments.m_forget_ms})) {
        forgotten = m_cluster->Time().Now();
        m_cluster->Store().ForgetHistory();
      }
      m_cluster->Run(kStep);
      Observe();
      m_longest_queue = std::max(m_longest_queue, m_cluster->GateOf(*m_leader).Waiting());
      if (passed < length) m_used_us = m_cluster->GateOf(*m_leader).BusyUs() - used;
    }
    return Report();
  }

 private:
  void Submit() {
    const double scale = m_arguments.m_load * m_arguments.m_workers / kUsualWorkers;
    for (const Kind& kind : kKinds) {
      const double mean = kind.m_per_s * scale * static_cast<double>(kStep.count()) / 1'000.0;
      for (int left = std::poisson_distribution<>(mean)(m_random); left > 0; --left) {
        const JobId job = m_cluster->Submit(static_cast<int>(++m_submitted) % kInstances,
                                            service::Tasks(kind.m_tasks, kind.m_accelerators, kind.m_work), kind.m_work,
                                            kind.m_priority);
        if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) >= m_arguments.m_cancelled) continue;
        const Millis delay{std::uniform_int_distribution<>(200, 4'000)(m_random)};
        m_to_cancel.emplace(m_cluster->Time().Now() + delay, job);
      }
    }
  }

  void Cancel() {
    while (!m_to_cancel.empty() && m_to_cancel.begin()->first <= m_cluster->Time().Now()) {
      const JobId job = m_to_cancel.begin()->second;
      m_to_cancel.erase(m_to_cancel.begin());
      if (m_cluster->StoredPhase(job).value_or(jobs::JobPhase::kQueued) == jobs::JobPhase::kCompleted) continue;
      m_cluster->Cancel((*m_leader + 1) % kInstances, job);
      m_cancelled[job] = m_cluster->Time().Now();
    }
  }

  void Leave() {
    m_left = true;
    const auto& workers = m_cluster->Workers();
    const auto count = static_cast<std::size_t>(m_arguments.m_leaving * static_cast<double>(workers.size()));
    const std::size_t stride = std::max<std::size_t>(1, workers.size() / std::max<std::size_t>(1, count));
    for (std::size_t i = 0; i < count; ++i) m_cluster->Drain(workers[i * stride], Millis{6'500});
  }

  void Observe() {
    std::erase_if(m_cancelled, [this](const auto& entry) {
      const auto phase = m_cluster->StoredPhase(entry.first);
      if (!phase || !jobs::Ended(*phase)) return false;
      m_cancel_ms.push_back((m_cluster->Time().Now() - entry.second).count());
      return true;
    });
  }

  std::int64_t CancelQuantile(double share) const {
    if (m_cancel_ms.empty()) return 0;
    const auto last = static_cast<double>(m_cancel_ms.size() - 1);
    return m_cancel_ms[static_cast<std::size_t>(share * last)];
  }

  int Report() {
    std::sort(m_cancel_ms.begin(), m_cancel_ms.end());
    const std::string violations = m_cluster->Violations();
    const auto broken = std::count(violations.begin(), violations.end(), '\n');
    const double core = static_cast<double>(m_used_us) / 1e6 / m_arguments.m_seconds;
    const int starts = m_cluster->Sim().Starts();
    const std::string changed = m_leader == m_cluster->Leader() ? "" : ", the leader has changed";
    if (m_arguments.m_json) {
      std::cout << boost::json::serialize(boost::json::object{{"workers", m_arguments.m_workers},
                                                              {"core", core},
                                                              {"starts", starts},
                                                              {"polls", m_cluster->Sim().Looks()},
                                                              {"longest_queue", m_longest_queue},
                                                              {"cancels", m_cancel_ms.size()},
                                                              {"cancels_open", m_cancelled.size()},
                                                              {"cancel_ms_p50", CancelQuantile(0.5)},
                                                              {"cancel_ms_p90", CancelQuantile(0.9)},
                                                              {"cancel_ms_max", CancelQuantile(1.0)},
                                                              {"rules_broken", broken}})
                << '\n';
    } else {
      std::cout << "core " << core << ", starts " << starts << ", polls " << m_cluster->Sim().Looks()
                << ", longest queue " << m_longest_queue << " events, cancels " << m_cancel_ms.size() << " ("
                << m_cancelled.size() << " open) p50 " << CancelQuantile(0.5) << " p90 " << CancelQuantile(0.9)
                << " max " << CancelQuantile(1.0) << " ms, rules broken " << broken << changed << '\n';
    }
    if (broken > 0) std::cerr << violations.substr(0, 2'000);
    if (starts == 0) std::cerr << "hqbench leader: nothing was started, so the figures say nothing\n";
    return broken > 0 ? kRuleBroken : starts == 0 ? kNothingStarted : 0;
  }

  Arguments m_arguments;
  std::mt19937_64 m_random;
  std::unique_ptr<service::SimCluster> m_cluster;
  std::optional<int> m_leader;
  std::multimap<Instant, JobId> m_to_cancel;
  std::map<JobId, Instant> m_cancelled;  // When; not in effect yet.
  std::vector<std::int64_t> m_cancel_ms;
  std::size_t m_submitted = 0;
  std::size_t m_longest_queue = 0;
  std::int64_t m_used_us = 0;
  bool m_left = false;
};

int RunLeader(const std::vector<std::string>& words) {
  Arguments arguments;
  options::options_description description("hqbench leader: cancels and leaving workers under a short processor");
  const auto add = [&description](const char* name, auto* value, const char* text) {
    description.add_options()(name, options::value(value)->default_value(*value), text);
  };
  description.add_options()("help", "this text");
  add("workers", &arguments.m_workers, "workers");
  add("seconds", &arguments.m_seconds, "seconds of submissions");
  add("load", &arguments.m_load, "1: the usual rate of jobs for so many workers");
  add("share", &arguments.m_share, "share of a core that each instance has");
  add("event-us", &arguments.m_event_us, "processor time of each event, for the calls that the simulation leaves out");
  add("measured", &arguments.m_measured, "share of the measured processor time that counts too; 0: a repeatable run");
  add("cancelled", &arguments.m_cancelled, "share of the jobs that are cancelled");
  add("leaving", &arguments.m_leaving, "share of the workers that leave at once");
  add("forget", &arguments.m_forget_ms, "ms between losses of the store's history; 0: none");
  description.add_options()("json", options::bool_switch(&arguments.m_json), "one JSON object");
  try {
    options::variables_map values;
    options::store(options::command_line_parser(words).options(description).run(), values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    if (arguments.m_workers < 1 || arguments.m_seconds < 1) throw options::error("--workers, --seconds: 1 or more");
    if (!(arguments.m_share > 0.0)) throw options::error("--share must be above 0");
  } catch (const options::error& error) {
    std::cerr << "hqbench leader: " << error.what() << '\n';
    return kUsageError;
  }
  log::Configure({.m_level = log::Level::kError});
  return Play(arguments).Run();
}

const Experiment kLeader{"leader", "Cancels and leaving workers while the leader's processor is short.", &RunLeader};

}  // namespace
}  // namespace hickoryquay::bench
