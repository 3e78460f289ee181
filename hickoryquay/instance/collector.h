// Collector: gathers the rows of one query from the table, the placers and the peers. Lives until all have answered.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "hickoryquay/instance/state_queries.h"
#include "hickoryquay/operators/backend.h"
#include "hickoryquay/routing/request_server.h"
#include "hickoryquay/store/configuration_store.h"
#include "hickoryquay/store/instance_list.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::instance {

struct CollectorParts {
  DomainId m_domain;
  InstanceId m_self;
  const Clock* m_clock = nullptr;
  store::Table* m_table = nullptr;
  std::shared_ptr<store::ConfigurationStore> m_configuration;
  std::shared_ptr<peers::PeerService> m_peers;
  std::shared_ptr<StateQueries> m_queries;
  std::shared_ptr<store::InstanceList> m_backends;
  std::function<std::string()> m_requests_dump;  // Of the request server.
};

class Collector : public std::enable_shared_from_this<Collector> {
 public:
  Collector(CollectorParts parts, operators::CollectCallback callback);

  void Run(const operators::Wanted& wanted);

 private:
  // Calls back once the last holder is gone, so that every part that still works holds one.
  class Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  std::set<DomainId> Domains() const;  // All that a market spans, and the own one.
  void Missing(const std::string& who);
  void ScanJobs(const std::string& after, const PendingPtr& pending);
  void TakeJobs(const store::Page& page);
  void ExplainJobs(const PendingPtr& pending);
  void CollectWorkers(const PendingPtr& pending);
  void TakeWorkers(const DomainId& domain, const boost::json::value& state);
  void CollectBackends();
  void CollectInstances();
  void CollectVersions(const PendingPtr& pending);
  void TakeVersions(const InstanceId& instance, const boost::json::value& versions);
  void CollectBroken(const PendingPtr& pending);
  void ScanChanges(const std::string& after, const PendingPtr& pending);
  void TakeChanges(const store::Page& page);

  const CollectorParts m_parts;
  operators::CollectCallback m_callback;
  std::mutex m_mutex;
  operators::Collected m_collected;  // Guarded by m_mutex.
};

}  // namespace hickoryquay::instance
