// WorkerPool: the sessions of one placer with the workers of its failure domain.
//
// Not thread-safe: all calls and callbacks run on the placer's executor.
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
  Millis m_tick_every{200};  // How often all sessions are checked for messages due and expired leases.
};

struct PoolParts {
  store::HttpSend m_send;
  store::SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// Callbacks from the pool to its placer.
class PoolListener {
 public:
  virtual ~PoolListener() = default;
  virtual void OnSyncAnswer(const Worker& worker, const SyncAnswer& answer) = 0;
  virtual void OnLeaving(const WorkerId& worker) = 0;
  virtual void OnLost(const WorkerId& worker) = 0;  // All leases granted to it have expired.
  virtual void OnHigherEpoch(Epoch higher) = 0;     // A worker has seen a higher epoch.
};

// Holds the listener weakly: a pool that outlives its placer does nothing.
class WorkerPool : public std::enable_shared_from_this<WorkerPool> {
 public:
  WorkerPool(PoolParts parts, const PoolSettings& settings, Epoch epoch, InstanceId placer,
             std::weak_ptr<PoolListener> listener);

  void Start();
  void Stop();

  // Opens a session with each new worker of the list and sends a first message at once. A worker that is no longer
  // listed keeps its session until all its leases have expired.
  void SetWorkers(const store::Instances& instances);

  void Queue(const WorkerId& worker, const Command& command);
  // Renews the lease of the attempt's part on `worker` from now on. A gang's parts are renewed only while the lease of
  // each is known to hold. `granted`: the earliest time at which the lease may have been granted.
  void Track(const WorkerId& worker, JobId job, Attempt attempt, Instant granted);
  void Untrack(const WorkerId& worker, JobId job, Attempt attempt);

  // Posts a flush to the executor: commands that one executor task queues for a worker share a message.
  void PostFlush();

  bool HasWorker(const WorkerId& worker) const { return m_links.contains(worker); }
  bool HasAnswered(const WorkerId& worker) const;
  bool AllAnswered() const;
  Instant LastAnswerTime(const WorkerId& worker) const;  // Session start before the first; 0 if unknown.
  std::vector<Worker> Workers() const;

  boost::json::value Dump() const;

 private:
  // A worker with its session.
  struct Link {
    Worker m_worker;
    net::Endpoint m_address;
    std::string m_path;
    WorkerSession m_session;
    bool m_listed = true;  // Named in the latest instance list.
    bool m_leaving = false;
    bool m_lost = false;  // Reported by OnLost(); has not answered since.
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
  std::map<std::pair<JobId, Attempt>, std::set<WorkerId>> m_tracked;  // Workers whose leases are renewed.
  bool m_flush_posted = false;
  bool m_stopped = false;
  Subscription m_timer;
};

}  // namespace hickoryquay::workers
