// Placer: carries out the scheduling decisions of one failure domain. Active while its process holds the domain's
// lease.
//
// The placer rebuilds its state (the view) from the table's rows, the workers' reports and the configuration; it
// depends on no other state. The policy::Scheduler decides; the placer starts and stops gangs on workers accordingly,
// and writes job rows to the table asynchronously, after the decisions.
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
  Millis m_tick_every{200};            // Between policy::Tick events to the scheduler.
  Millis m_start_timeout{5'000};       // From the decision until every part is running.
  Millis m_record_timeout{10'000};     // Instead, while the start waits for its row to be written.
  Millis m_worker_report_wait{1'000};  // Longest wait for workers' reports once the rows are read.
  Millis m_adopt_timeout{2'000};       // Longest time from reports to first renewal of an adopted attempt.
  Millis m_read_retry{300};            // After a failed read of the rows.
  Millis m_cancels_every{2'000};       // Between reads of the cancel rows.
  Millis m_keep_cancels{60'000};       // Of unknown jobs, whose rows may still be written.
  Millis m_sweep_every{10'000};        // Between pages of the sweep, which finds new rows whose notification was lost.
  int m_sweep_rows = 25;               // Per page of the sweep.
  int m_page_rows = 500;               // Per page while the view is rebuilt.
  Millis m_configuration_timeout{60'000};     // Longest wait for a job's market, account or class; then it is refused.
  Millis m_lazy_write_delay{1'000};           // Delay of rows that only save a later placer work.
  Millis m_end_write_delay{20};               // Delay of rows of jobs that ended.
  Millis m_keep_ended{10 * 60 * 1'000};       // How long rows of ended jobs are kept, for queries.
  Millis m_keep_keyed{24 * 60 * 60 * 1'000};  // Instead, if the job has a key: for repeated submissions.
};

// Dependencies of the placer.
struct PlacerParts {
  store::Table* m_table = nullptr;
  store::SerialExecutor m_executor;  // The same as that of m_lease.
  store::HttpSend m_send;            // To workers.
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
  std::shared_ptr<PlacerLease> m_lease;
  std::function<std::unique_ptr<policy::Scheduler>()> m_make_scheduler;
  std::function<std::shared_ptr<const Configuration>()> m_configuration;
  std::function<std::shared_ptr<const store::Instances>()> m_instances;  // Of this domain; nullptr until first read.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Placer
//-------------------------------------------------------------------------------------------------

// Connect Start to m_acquired of the lease's listener, and Stop to its m_lost. All other calls may come from any
// thread; while the role is not held, only InspectScheduler and Dump answer, and the others do nothing.
class Placer : public std::enable_shared_from_this<Placer> {
 public:
  Placer(PlacerParts parts, PlacerSettings settings);
  ~Placer();

  void Start(Epoch epoch);  // On the executor.
  void Stop();              // On the executor. Running work continues under its leases; the next placer adopts it.

  // The job has a new row or a new cancel row.
  void Notify(JobId job);

  void ConfigurationChanged();
  void InstancesChanged();
  void SetQuarantine(const WorkerId& worker, bool on);

  // Runs `inspect` on the executor with the scheduler, or with nullptr while the role is not held or the view is not
  // rebuilt yet.
  void InspectScheduler(std::function<void(const policy::Scheduler*)> inspect);

  // Passes the placer's state, as shown in state dumps, to `callback`. Runs on the executor.
  void Dump(std::function<void(boost::json::value)> callback);

 private:
  class Term;

  const PlacerParts m_parts;
  const PlacerSettings m_settings;
  std::shared_ptr<Term> m_term;  // Used on the executor only.
};

}  // namespace hickoryquay::placer
