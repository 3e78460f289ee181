// hqbench jobs: the scheduler of jobs on heavy days, against first-fit and against a bound, in virtual time.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/lexical_cast.hpp>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <set>
#include <variant>

#include "bench/experiment.h"
#include "bench/jobs/trial.h"
#include "hickoryquay/base/log.h"

namespace hickoryquay::bench {

namespace {

namespace options = boost::program_options;

constexpr int kUsageError = 2;
constexpr int kRuleBroken = 3;

// How much each part of a day counts: the two deployments' goals, averaged, without their zones.
constexpr double kWholeDay = 0.56;
constexpr double kWorstQueue = 0.23;
constexpr double kWorstAccount = 0.2;
constexpr double kWorstWindow = 0.13;
constexpr double kWastePrice = 0.0021;  // Of a core-second thrown away, on the price lists of both deployments.

struct Arguments {
  std::string m_pattern;
  std::string m_policy;
  std::string m_format;
  std::uint64_t m_first_seed = 1;
  int m_days = 10;
  double m_load = 1.0;
  int m_workers = 48;
  int m_threads = 3;
  bool m_bound = false;
  std::vector<std::string> m_set;
};

// Settings of the scheduler that --set can change, with their member.
using NumberMember = double jobs::SchedulerSettings::*;
using TimeMember = Millis jobs::SchedulerSettings::*;
using CountMember = int jobs::SchedulerSettings::*;
using FlagMember = bool jobs::SchedulerSettings::*;
using Member = std::variant<NumberMember, TimeMember, CountMember, FlagMember>;
const std::map<std::string, Member>& Settable() {
  static const std::map<std::string, Member> members = {
      {"keep-free", &jobs::SchedulerSettings::m_min_free_share},
      {"keep-free-batch", &jobs::SchedulerSettings::m_min_free_share_batch},
      {"keep-free-pressing", &jobs::SchedulerSettings::m_min_free_share_tight},
      {"pressing-slack", &jobs::SchedulerSettings::m_tight_slack_share},
      {"leave-slack", &jobs::SchedulerSettings::m_leave_margin},
      {"doomed-part", &jobs::SchedulerSettings::m_evacuate_share},
      {"slow-pace", &jobs::SchedulerSettings::m_slow_pace_share},
      {"avoid-slow", &jobs::SchedulerSettings::m_avoid_slow_for}};
  return members;
}

// Further ones, in the settings of preemption.
const std::set<std::string>& PreemptionSettable() {
  static const std::set<std::string> names = {"repeated-share", "stop-timeout"};
  return names;
}

// "NAME=VALUE", times in milliseconds. False where it isn't one.
bool Apply(const std::string& assignment, jobs::SchedulerSettings* settings) {
  const std::size_t equals = assignment.find('=');
  const auto found = Settable().find(assignment.substr(0, equals));
  double value = 0.0;
  const std::string name = assignment.substr(0, equals);
  if (equals == std::string::npos || (found == Settable().end() && !PreemptionSettable().contains(name))) return false;
  if (!boost::conversion::try_lexical_convert(assignment.substr(equals + 1), value)) return false;
  if (name == "stop-timeout") settings->m_preemption.m_stop_timeout = Millis{static_cast<int>(value)};
  if (name == "repeated-share") settings->m_preemption.m_max_repeated_share = value;
  if (found == Settable().end()) return true;
  if (const auto* number = std::get_if<NumberMember>(&found->second)) settings->** number = value;
  if (const auto* time = std::get_if<TimeMember>(&found->second)) settings->** time = Millis{static_cast<int>(value)};
  if (const auto* count = std::get_if<CountMember>(&found->second)) settings->** count = static_cast<int>(value);
  if (const auto* flag = std::get_if<FlagMember>(&found->second)) settings->** flag = value != 0.0;
  return true;
}

// One day of one policy.
struct Row {
  Worth m_worth;
  TrialResult m_result;
  double m_bound = 0.0;

  double Value() const {
    return (kWholeDay * m_worth.Share() + kWorstQueue * m_worth.WorstQueue() + kWorstAccount * m_worth.WorstAccount() +
            kWorstWindow * m_worth.m_worst_window) /
               (kWholeDay + kWorstQueue + kWorstAccount + kWorstWindow) -
           kWastePrice * m_result.m_wasted_core_seconds / m_worth.m_owed;
  }
};

jobs::SchedulerSettings SettingsOf(const Arguments& arguments) {
  jobs::SchedulerSettings settings;
  settings.m_preemption.m_stop_timeout = Millis{500};  // Between those of the two deployments.
  if (arguments.m_policy == "first-fit") {
    settings.m_order = &jobs::FirstComeFirstServed;
    settings.m_preempts = false;
    settings.m_min_free_share = 0.0;
    settings.m_min_free_share_batch = 0.0;
    settings.m_min_free_share_tight = 0.0;
    return settings;
  }
  for (const std::string& assignment : arguments.m_set) Apply(assignment, &settings);
  return settings;
}

Row Play(const Arguments& arguments, const std::string& pattern, std::uint64_t seed) {
  const DayLoad day = *MakeDay(pattern, seed, arguments.m_load, arguments.m_workers);
  TrialSettings settings;
  settings.m_scheduler = SettingsOf(arguments);
  settings.m_seed = seed;
  Row row;
  row.m_result = PlayDay(day, settings);
  row.m_worth = Judge(day, row.m_result);
  if (arguments.m_bound) row.m_bound = UpperBound(day);
  return row;
}

template <typename Read>
double Mean(const std::vector<Row>& rows, Read read) {
  double sum = 0.0;
  for (const Row& row : rows) sum += read(row);
  return sum / static_cast<double>(rows.size());
}

void Print(const Arguments& arguments, const std::string& pattern, const std::vector<Row>& rows) {
  boost::json::object json;
  json["pattern"] = pattern;
  json["policy"] = arguments.m_policy;
  json["days"] = rows.size();
  json["value"] = Mean(rows, [](const Row& row) { return row.Value(); });
  json["share"] = Mean(rows, [](const Row& row) { return row.m_worth.Share(); });
  if (arguments.m_bound) json["bound"] = Mean(rows, [](const Row& row) { return row.m_bound; });
  for (const auto& entry : rows.front().m_worth.m_queues) {
    const std::string& queue = entry.first;
    const auto mean_of = [&](std::map<std::string, double> Worth::*shares) {
      return Mean(rows, [&](const Row& row) {
        const auto found = (row.m_worth.*shares).find(queue);
        return found == (row.m_worth.*shares).end() ? 1.0 : found->second;
      });
    };
    json[queue] = mean_of(&Worth::m_queues);
    json[queue + "_largest"] = mean_of(&Worth::m_largest);
  }
  json["worst_account"] = Mean(rows, [](const Row& row) { return row.m_worth.WorstAccount(); });
  json["worst_window"] = Mean(rows, [](const Row& row) { return row.m_worth.m_worst_window; });
  json["wasted_core_s"] = Mean(rows, [](const Row& row) { return row.m_result.m_wasted_core_seconds; });
  json["preemptions"] = Mean(rows, [](const Row& row) { return row.m_result.m_preemptions; });
  json["late"] = Mean(rows, [](const Row& row) { return row.m_worth.m_late; });
  json["lost"] = Mean(rows, [](const Row& row) { return row.m_worth.m_lost; });
  json["used"] = Mean(rows, [](const Row& row) { return row.m_result.m_used; });
  json["decide_us"] = Mean(rows, [](const Row& row) { return row.m_result.m_decide_us; });
  json["p99_decide_us"] = Mean(rows, [](const Row& row) { return row.m_result.m_p99_decide_us; });
  json["slowest_decide_us"] = Mean(rows, [](const Row& row) { return row.m_result.m_slowest_decide_us; });
  if (arguments.m_format == "json") {
    std::cout << boost::json::serialize(json) << std::endl;
    return;
  }
  std::cout << std::left << std::setw(18) << pattern << std::right << std::fixed;
  for (const auto& field : json) {
    if (!field.value().is_double()) continue;
    const double value = field.value().as_double();
    std::cout << "  " << field.key() << ' ' << std::setprecision(value < 10.0 ? 3 : 0) << value;
  }
  std::cout << std::endl;
}

int PlayAll(const Arguments& arguments) {
  std::vector<std::string> patterns;
  for (const auto& [name, summary] : Patterns()) {
    if (arguments.m_pattern == "all" || arguments.m_pattern == name) patterns.push_back(name);
  }
  std::vector<Row> all;
  std::size_t violations = 0;
  for (const std::string& pattern : patterns) {
    std::vector<Row> rows(static_cast<std::size_t>(arguments.m_days));
    boost::asio::thread_pool pool(static_cast<std::size_t>(arguments.m_threads));
    for (std::size_t i = 0; i < rows.size(); ++i) {
      boost::asio::post(pool, [&, i] { rows[i] = Play(arguments, pattern, arguments.m_first_seed + i); });
    }
    pool.join();
    Print(arguments, pattern, rows);
    for (const Row& row : rows) {
      violations += row.m_result.m_violations.size();
      for (const std::string& violation : row.m_result.m_violations) std::cerr << pattern << ": " << violation << '\n';
    }
    all.insert(all.end(), rows.begin(), rows.end());
  }
  if (patterns.size() > 1) Print(arguments, "mean", all);
  return violations == 0 ? 0 : kRuleBroken;
}

int RunJobs(const std::vector<std::string>& words) {
  Arguments arguments;
  std::string patterns = "all";
  for (const auto& [name, summary] : Patterns()) patterns += "\n" + name + ": " + summary;
  std::string settable = "NAME=VALUE, a setting of the scheduler:";
  for (const auto& [name, member] : Settable()) settable += " " + name;
  for (const std::string& name : PreemptionSettable()) settable += " " + name;
  options::options_description described("hqbench jobs");
  auto add = described.add_options();
  add("help", "show this");
  add("pattern", options::value(&arguments.m_pattern)->default_value("all"), patterns.c_str());
  add("policy", options::value(&arguments.m_policy)->default_value("hickoryquay"), "hickoryquay or first-fit");
  add("seed", options::value(&arguments.m_first_seed)->default_value(1), "of the first day; each day has the next one");
  add("days", options::value(&arguments.m_days)->default_value(10), "of each pattern");
  add("load", options::value(&arguments.m_load)->default_value(1.0), "times the arrivals of a day of high load");
  add("workers", options::value(&arguments.m_workers)->default_value(48), "of 8 accelerators; arrivals follow");
  add("threads", options::value(&arguments.m_threads)->default_value(3), "to play days in");
  add("bound", options::bool_switch(&arguments.m_bound), "also compute what no scheduler can exceed (slow)");
  add("set", options::value(&arguments.m_set)->composing(), settable.c_str());
  add("format", options::value(&arguments.m_format)->default_value("text"), "json or text");
  try {
    options::variables_map values;
    options::store(options::command_line_parser(words).options(described).run(), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << described;
      return 0;
    }
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << described;
    return kUsageError;
  }
  jobs::SchedulerSettings scratch;
  const bool all_set = std::all_of(arguments.m_set.begin(), arguments.m_set.end(),
                                   [&](const std::string& assignment) { return Apply(assignment, &scratch); });
  const bool known = all_set && (arguments.m_pattern == "all" || Patterns().contains(arguments.m_pattern)) &&
                     (arguments.m_policy == "hickoryquay" || arguments.m_policy == "first-fit") &&
                     (arguments.m_format == "text" || arguments.m_format == "json");
  if (!known || arguments.m_days < 1 || arguments.m_workers < 1 || arguments.m_threads < 1 || arguments.m_load <= 0.0) {
    std::cerr << described;
    return kUsageError;
  }
  log::Configure({.m_level = log::Level::kError});
  return PlayAll(arguments);
}

const Experiment kJobs{"jobs", "Jobs of steps on heavy days, in virtual time.", &RunJobs};

}  // namespace
}  // namespace hickoryquay::bench
