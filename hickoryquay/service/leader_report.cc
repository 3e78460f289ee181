#include "hickoryquay/service/leader_report.h"

#include <algorithm>
#include <string>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"leader"};
constexpr Millis kInterval{1'000};
constexpr const char* kAge = "hq_view_age_ms";
constexpr std::clock_t kTicksPerMs = CLOCKS_PER_SEC / 1'000;

}  // namespace

void LeaderReport::Update(const LeaderSample& sample, const LeaderCounts& counts, Instant now) {
  m_worst.m_loop_late = std::max(m_worst.m_loop_late, sample.m_loop_late);
  m_worst.m_intake_age = std::max(m_worst.m_intake_age, sample.m_intake_age);
  m_worst.m_list_age = std::max(m_worst.m_list_age, sample.m_list_age);
  m_worst.m_write_age = std::max(m_worst.m_write_age, sample.m_write_age);
  if (now - m_begin >= kInterval) Write(sample, counts, now);
}

void LeaderReport::OnReplaced(const std::vector<jobs::ReplacedRun>& runs) {
  for (const jobs::ReplacedRun& run : runs) {
    const Labels labels{{"priority", std::to_string(run.m_priority)}};
    m_metrics->GetDistribution("hq_lost_run_wait_ms", labels).Add(static_cast<double>(run.m_waited.count()));
  }
}

void LeaderReport::Write(const LeaderSample& last, const LeaderCounts& counts, Instant now) {
  const std::clock_t processor = std::clock();
  const auto since = [](std::uint64_t count, std::uint64_t before) { return std::to_string(count - before); };
  const auto text = [](Millis age) { return std::to_string(age.count()); };
  log::Info(kLog, "Leader's load",
            {{"ms", text(now - m_begin)},
             {"processor_ms", std::to_string((processor - m_processor_begin) / kTicksPerMs)},
             {"loop_late_ms", text(m_worst.m_loop_late)},
             {"intake_age_ms", text(m_worst.m_intake_age)},
             {"list_age_ms", text(m_worst.m_list_age)},
             {"write_age_ms", text(m_worst.m_write_age)},
             {"queued", std::to_string(last.m_queued)},
             {"open", std::to_string(last.m_open)},
             {"active", std::to_string(last.m_active)},
             {"rounds", since(counts.m_rounds, m_counts_begin.m_rounds)},
             {"polls", since(counts.m_polls, m_counts_begin.m_polls)},
             {"starts", since(counts.m_starts, m_counts_begin.m_starts)},
             {"rows", since(counts.m_rows, m_counts_begin.m_rows)},
             {"scans", since(counts.m_scans, m_counts_begin.m_scans)},
             {"lost_runs", since(counts.m_lost_runs, m_counts_begin.m_lost_runs)},
             {"lost_ends", since(counts.m_lost_ends, m_counts_begin.m_lost_ends)}});
  m_metrics->GetCounter("hq_runs_lost_total").Add(counts.m_lost_runs - m_counts_begin.m_lost_runs);
  m_metrics->GetCounter("hq_runs_lost_ended_total").Add(counts.m_lost_ends - m_counts_begin.m_lost_ends);
  m_metrics->GetGauge("hq_loop_late_ms").Set(static_cast<double>(m_worst.m_loop_late.count()));
  m_metrics->GetGauge(kAge, {{"table", "intake"}}).Set(static_cast<double>(m_worst.m_intake_age.count()));
  m_metrics->GetGauge(kAge, {{"table", "workers"}}).Set(static_cast<double>(m_worst.m_list_age.count()));
  m_metrics->GetGauge("hq_commands_queued").Set(static_cast<double>(last.m_queued));
  m_begin = now;
  m_processor_begin = processor;
  m_worst = LeaderSample{};
  m_counts_begin = counts;
}

}  // namespace hickoryquay::service
