#include "hickoryquay/service/idle_report.h"

#include <set>
#include <string>
#include <utility>

#include "hickoryquay/base/log.h"

namespace hickoryquay::service {

namespace {

constexpr log::Part kLog{"idle"};
constexpr Millis kUsual{2'000};         // Shorter waits are not worth a line.
constexpr Millis kLogInterval{10'000};  // Between lines of a job whose cause stays the same.
// What is placed in one round is confirmed by the next events: between them, nothing explains it.
constexpr Millis kSettles{1'000};
constexpr int kMostLines = 10;  // In one update.
constexpr const char* kIdle = "hq_jobs_idle";

}  // namespace

IdleReport::IdleReport(Metrics* metrics)
    : m_metrics(metrics), m_unexplained(&metrics->GetCounter("hq_jobs_idle_unexplained_total")) {}

IdleReport::~IdleReport() {
  std::set<jobs::IdleCause> causes;
  for (const auto& [job, reported] : m_reported) causes.insert(reported.m_cause);
  for (const jobs::IdleCause cause : causes) CountOf(cause).Set(0.0);
}

void IdleReport::Update(const std::vector<jobs::IdleJob>& idle, bool may_start, Instant now) {
  std::map<jobs::IdleCause, int> counts;
  for (const auto& [job, reported] : m_reported) counts[reported.m_cause] = 0;
  std::map<JobId, Reported> earlier;
  earlier.swap(m_reported);
  int lines = 0;
  for (const jobs::IdleJob& job : idle) {
    const auto found = earlier.find(job.m_job);
    Reported& reported = m_reported[job.m_job];
    reported = found == earlier.end() ? Reported{now, now, Instant{}, job.m_cause, false} : found->second;
    if (reported.m_cause != job.m_cause) {
      reported = Reported{reported.m_since, now, Instant{}, job.m_cause, false};
    }
    ++counts[job.m_cause];
    Note(job, may_start, now, &reported, &lines);
  }
  for (const auto& [cause, count] : counts) CountOf(cause).Set(count);
}

void IdleReport::Note(const jobs::IdleJob& job, bool may_start, Instant now, Reported* reported, int* lines) {
  const bool unexplained = job.m_cause == jobs::IdleCause::kUnexplained;
  if (unexplained && now - reported->m_cause_since < kSettles) return;
  if (unexplained && may_start && !std::exchange(reported->m_counted, true)) m_unexplained->Add();
  const bool due = reported->m_logged == Instant{} || now - reported->m_logged >= kLogInterval;
  if (now - reported->m_since < kUsual || !due || *lines >= kMostLines) return;
  ++*lines;
  reported->m_logged = now;
  const jobs::RoomCensus& room = job.m_room;
  log::Write(unexplained && may_start ? log::Level::kWarn : log::Level::kInfo, kLog, "Job has nothing running",
             {{"job", jobs::HexText(job.m_job)},
              {"task", jobs::ToText(job.m_task)},
              {"cause", ToString(job.m_cause)},
              {"for_ms", std::to_string((now - reported->m_since).count())},
              {"cause_for_ms", std::to_string((now - reported->m_cause_since).count())},
              {"starts", may_start ? "go on" : "wait"},
              {"members", std::to_string(job.m_members)},
              {"run", std::to_string(Raw(job.m_run))},
              {"worker", job.m_worker.m_value},
              {"workers", std::to_string(room.m_workers)},
              {"usable", std::to_string(room.m_usable)},
              {"resting", std::to_string(room.m_resting)},
              {"fit_if_empty", std::to_string(room.m_if_empty)},
              {"fit_free", std::to_string(room.m_free)},
              {"fit_now", std::to_string(room.m_takeable)},
              {"fit_in_one_rack", std::to_string(room.m_best_rack)}});
}

Gauge& IdleReport::CountOf(jobs::IdleCause cause) {
  return m_metrics->GetGauge(kIdle, {{"cause", ToString(cause)}});
}

}  // namespace hickoryquay::service
