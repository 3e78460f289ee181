// WorkerPool: the sessions of one placer with the workers of its failure domain.
//
// Not thread-safe: everything runs on one executor, that of the placer.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/store/http_send.h"
#include "hickoryquay/store/instance_list.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/workers/worker_session.h"

namespace hickoryquay::workers {

struct PoolSettings {
  SessionSettings m_session;
  Millis m_tick_every{200};  // How often sessions are looked through for what is due.
};

struct PoolParts {
  store::HttpSend m_send;
  store::SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// What the pool tells its placer.
class PoolListener {
 public:
  virtual ~PoolListener() = default;
  virtual void OnSyncAnswer(const Worker& worker, const SyncAnswer& answer) = 0;
  virtual void OnLeaving(const WorkerId& worker) = 0;
  virtual void OnLost(const WorkerId& worker) = 0;  // Every lease it was given has lapsed.
  virtual void OnHigherEpoch(Epoch higher) = 0;     // A worker has seen a higher epoch.
};

// `tell` holds the listener weakly: a pool that outlives its placer falls silent.
class WorkerPool : public std::enable_shared_from_this<WorkerPool> {
 public:
  WorkerPool(PoolParts parts, const PoolSettings& settings, Epoch epoch, InstanceId placer,
             std::weak_ptr<PoolListener> listener);

  void Start();
  void Stop();

  // Workers of the list get a session and a first message at once. Those that are gone from it keep theirs until they
  // are silent.
  void SetWorkers(const store::Instances& instances);

  void Queue(const WorkerId& worker, const Command& command);
  // Renews the lease of that part from now on. All parts of an attempt are renewed only while each holds its lease.
  // `granted`: when it was granted at the earliest.
  void Track(const WorkerId& worker, JobId job, Attempt attempt, Instant granted);
  void Untrack(const WorkerId& worker, JobId job, Attempt attempt);

  // Sends what is due, after the current task: commands queued within one task share a message.
  void PostFlush();

  bool HasWorker(const WorkerId& worker) const { return m_links.contains(worker); }
  bool HasAnswered(const WorkerId& worker) const;
  bool AllAnswered() const;
  Instant LastAnswerTime(const WorkerId& worker) const;  // Monotonic; 0 where it is not known.
  std::vector<Worker> Workers() const;

  boost::json::value Dump() const;

 private:
  struct Link {
    Worker m_worker;
    net::Endpoint m_address;
    std::string m_path;
    WorkerSession m_session;
    bool m_listed = true;
    bool m_leaving = false;
    bool m_lost = false;
  };

  void Tick();
  void Flush();
  bool MayRenew(JobId job, Attempt attempt, Instant now) const;
  void Send(Link* link, std::vector<Command> commands);
  void OnAnswer(const WorkerId& worker, const Result<net::HttpResponse, net::NetError>& result);

  const PoolParts m_parts;
  const PoolSettings m_settings;
  const Epoch m_epoch;
  const InstanceId m_placer;
  const std::weak_ptr<PoolListener> m_listener;
  Counter& m_syncs;
  Counter& m_unanswered_syncs;
  Counter& m_bytes_out;
  Counter& m_bytes_in;
  std::map<WorkerId, Link> m_links;
  std::map<std::pair<JobId, Attempt>, std::set<WorkerId>> m_tracked;  // The parts whose leases are renewed.
  bool m_flush_posted = false;
  bool m_stopped = false;
  Subscription m_timer;
};

}  // namespace hickoryquay::workers
