// Placer: the decisions of one failure domain, carried out. Runs while its process holds the domain's lease.
//
// Its view is rebuilt from the table's rows, the workers' reports and the configuration; nothing else is precious. The
// Scheduler decides; the placer starts and stops gangs on workers, and writes job rows behind its decisions.
//
// Index of this file:
//   [SECTION] Settings
//   [SECTION] Placer
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/placer/placer_lease.h"
#include "hickoryquay/placer/row_writer.h"
#include "hickoryquay/policy/scheduler.h"
#include "hickoryquay/store/instance_list.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/store/table.h"
#include "hickoryquay/workers/worker_pool.h"

namespace hickoryquay::placer {

//-------------------------------------------------------------------------------------------------
// [SECTION] Settings
//-------------------------------------------------------------------------------------------------

struct PlacerSettings {
  DomainId m_domain;
  InstanceId m_self;
  workers::PoolSettings m_pool;
  RowWriterSettings m_writer;
  Millis m_tick_every{200};            // Of the scheduler's own time.
  Millis m_start_timeout{5'000};       // From the decision until every part runs.
  Millis m_record_timeout{10'000};     // Instead, where the start waits for its record.
  Millis m_worker_report_wait{1'000};  // After the rows are read, before the view counts as rebuilt.
  Millis m_adopt_timeout{2'000};       // Of its reports, an earlier placer's attempt gets its first renewal or none.
  Millis m_read_retry{300};            // After a read that failed.
  Millis m_cancels_every{2'000};       // Between looks at the rows of cancellations.
  Millis m_sweep_every{10'000};        // Between pages of the slow search for rows that were never notified.
  int m_sweep_rows = 25;               // Of one such page.
  int m_page_rows = 500;               // Of one page while the view is rebuilt.
  Millis m_configuration_timeout{60'000};  // For a job whose market, account or class is not known yet; then refused.
  Millis m_lazy_write_delay{1'000};        // Delay of rows that only spare a later placer work.
  Millis m_end_write_delay{20};            // Delay of rows of jobs that ended.
  Millis m_keep_ended{10 * 60 * 1'000};    // Rows of ended jobs are kept this long, for questions about them.
  Millis m_keep_keyed{24 * 60 * 60 * 1'000};  // Instead, where the job has a key: for repeated submissions.
};

struct PlacerParts {
  store::Table* m_table = nullptr;
  store::SerialExecutor m_executor;  // The same as the lease's.
  store::HttpSend m_send;            // To workers.
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  std::shared_ptr<PlacerLease> m_lease;
  std::function<std::unique_ptr<policy::Scheduler>()> m_make_scheduler;
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  std::function<std::shared_ptr<const store::Instances>()> m_instances;  // Of this domain; may be nullptr at first.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Placer
//-------------------------------------------------------------------------------------------------

// Wire Start to the lease's m_acquired and Stop to its m_lost. All calls but Dump may come from any thread; they do
// nothing while the role is not held.
class Placer : public std::enable_shared_from_this<Placer> {
 public:
  Placer(PlacerParts parts, PlacerSettings settings);
  ~Placer();

  void Start(Epoch epoch);  // On the executor.
  void Stop();              // On the executor. Running work goes on under its leases for the next placer.

  // There is something new about the job: its row, or the wish to cancel it.
  void Notify(JobId job);

  void ConfigurationChanged();
  void InstancesChanged();
  void SetQuarantine(const WorkerId& worker, bool on);

  // Runs `inspect` on the executor with the scheduler, nullptr where the role is not held or the view not rebuilt yet.
  void InspectScheduler(std::function<void(const policy::Scheduler*)> inspect);

  // State for the dump, by way of the executor.
  void Dump(std::function<void(boost::json::value)> callback);

 private:
  class Term;

  const PlacerParts m_parts;
  const PlacerSettings m_settings;
  std::shared_ptr<Term> m_term;  // Executor only.
};

}  // namespace hickoryquay::placer
