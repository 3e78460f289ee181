// LeaderReport: how far the leader is behind, as gauges and one log line a second.
//
// A stored change that is not acted on yet waits in one of three places: in this process, whose event loop runs late;
// in the feed, whose last answer is old; or in the queue of commands to workers. The report names all three, the
// processor time, and the work that was done in that second.
#pragma once

#include <cstdint>
#include <ctime>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/jobs/commands.h"

namespace hickoryquay::service {

// State at one moment.
struct LeaderSample {
  Millis m_loop_late{0};   // How much later than due a periodic timer fired.
  Millis m_intake_age{0};  // Age of what is known of the accepted jobs and cancels.
  Millis m_list_age{0};    // Age of what is known of the list of workers.
  Millis m_write_age{0};   // Since the transaction in flight was sent; 0: there is none.
  int m_queued = 0;        // Commands to workers that are not sent yet.
  int m_open = 0;          // Jobs.
  int m_active = 0;        // Units with room on a worker.
};

// Counts since the start of the term.
struct LeaderCounts {
  std::uint64_t m_rounds = 0;
  std::uint64_t m_polls = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_rows = 0;   // Of the tables that are followed, read by feeds and scans.
  std::uint64_t m_scans = 0;  // Tables read as a whole.
  std::uint64_t m_lost_runs = 0;
  std::uint64_t m_lost_ends = 0;  // See jobs::SchedulerCounts.
};

// Not thread-safe. One object per term of leadership.
class LeaderReport {
 public:
  LeaderReport(Metrics* metrics, Instant now) : m_metrics(metrics), m_begin(now), m_processor_begin(std::clock()) {}

  // Call several times a second.
  void Update(const LeaderSample& sample, const LeaderCounts& counts, Instant now);
  void OnReplaced(const std::vector<jobs::ReplacedRun>& runs);

 private:
  void Write(const LeaderSample& last, const LeaderCounts& counts, Instant now);

  Metrics* m_metrics;
  Instant m_begin;                 // Of the second that is reported next.
  std::clock_t m_processor_begin;  // Processor time at that moment.
  LeaderSample m_worst;            // Largest ages since then.
  LeaderCounts m_counts_begin;
};

}  // namespace hickoryquay::service
