// Backend: what the operator language and the admin API act on. The daemon stands behind it, in tests a fake does.
//
// Index of this file:
//   [SECTION] Rows of queries
//   [SECTION] Changes of the configuration
//   [SECTION] Actions
//   [SECTION] Backend
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/result.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/operators/statement.h"
#include "hickoryquay/policy/scheduler.h"

namespace hickoryquay::operators {

//-------------------------------------------------------------------------------------------------
// [SECTION] Rows of queries
//-------------------------------------------------------------------------------------------------

struct JobRow {
  Job m_job;
  std::string m_why;  // What it waits for, where known; else m_job.m_why is shown.
};

struct RequestRow {
  std::string m_id;
  MarketId m_market;
  AccountId m_account;
  ClassId m_class;
  std::string m_state;  // "waiting", "running", "done", "not run", "unknown".
  InstanceId m_instance;
  BackendId m_backend;
  Millis m_age{0};
  std::string m_why;
};

struct WorkerRow {
  Worker m_worker;
  std::string m_state;  // "live", "leaving", "drained", "quarantined", "lost".
  Resources m_taken;    // By jobs that run; filled by AddHeld, not by the backend.
  int m_jobs = 0;       // The same.
  std::string m_why;
};

struct BackendRow {
  BackendId m_id;
  MarketId m_market;
  DomainId m_domain;
  std::string m_state;  // "live", "leaving", "failing".
  int m_slots = 0;
  int m_busy = 0;
  int m_connections = 0;
};

struct InstanceRow {
  InstanceId m_id;
  DomainId m_domain;
  std::string m_state;  // "live", "draining", "silent".
  std::string m_address;
  bool m_placer = false;
  Epoch m_epoch{};
  Millis m_silent{0};  // Since it was last heard of.
};

// Which version of a market's document an instance has in force.
struct VersionRow {
  MarketId m_market;
  InstanceId m_instance;
  Version m_version{};
};

// A guarantee that can't be honoured now.
struct BrokenGuarantee {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
  std::string m_why;  // What would mend it.
};

// A row of the audit log.
struct ChangeRow {
  Instant m_at;  // Wall time.
  std::string m_who;
  MarketId m_market;
  Version m_from{};
  Version m_to{};
  std::string m_statement;
};

// Which rows a query needs.
struct Wanted {
  bool m_jobs = false;
  bool m_requests = false;
  bool m_workers = false;
  bool m_backends = false;
  bool m_instances = false;
  bool m_versions = false;
  bool m_guarantees = false;
  bool m_changes = false;
};

struct Collected {
  Instant m_now;  // Wall time of the collection.
  std::vector<JobRow> m_jobs;
  std::vector<RequestRow> m_requests;
  std::vector<WorkerRow> m_workers;
  std::vector<BackendRow> m_backends;
  std::vector<InstanceRow> m_instances;
  std::vector<VersionRow> m_versions;
  std::vector<BrokenGuarantee> m_broken;
  std::vector<ChangeRow> m_changes;
  std::vector<std::string> m_missing;  // Who did not answer in time, such as "placer of derby"; the rest is complete.
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Changes of the configuration
//-------------------------------------------------------------------------------------------------

struct StagedMarket {
  MarketId m_market;
  Version m_expected{};              // 0: must be absent.
  std::optional<Market> m_document;  // Empty: drops the market.
};

// Committed together with its row of the audit log, or not at all.
struct ChangeRequest {
  std::vector<StagedMarket> m_markets;
  std::string m_who;         // Name of the token.
  std::string m_statements;  // As they were written, for the audit log.
};

struct AcceptedChange {
  std::vector<std::pair<MarketId, Version>> m_versions;  // The new ones; 0: dropped.
};

// Somebody else changed the market first. Nothing was changed.
struct VersionConflict {
  MarketId m_market;
  Version m_expected{};
  Version m_found{};  // 0: absent.
};

// Provably not done.
struct NotDone {
  std::string m_why;
};

// May have taken effect.
struct InDoubt {
  std::string m_why;
};

using ChangeError = std::variant<VersionConflict, NotDone, InDoubt>;
using ChangeCallback = std::function<void(Result<AcceptedChange, ChangeError>)>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Actions
//-------------------------------------------------------------------------------------------------

struct NotFound {
  std::string m_what;
};

// The state of the thing forbids it, such as a retry of a job that may have run and must not be repeated.
struct NotAllowed {
  std::string m_why;
};

using ActionError = std::variant<NotFound, NotAllowed, NotDone, InDoubt>;
using ActionCallback = std::function<void(Result<std::string, ActionError>)>;  // One sentence: what was done.

using ExplainCallback = std::function<void(Result<policy::Explanation, ActionError>)>;
using CheckCallback = std::function<void(Result<Done, std::variant<policy::UnsatisfiableGuarantee, NotDone>>)>;
using CollectCallback = std::function<void(Collected)>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Backend
//-------------------------------------------------------------------------------------------------

// Thread-safe. Every callback is called exactly once, from any thread, also inside the call.
class Backend {
 public:
  virtual ~Backend() = default;

  // The configuration in force here, with versions.
  virtual std::shared_ptr<const Configuration> Markets() const = 0;
  virtual void ChangeMarkets(ChangeRequest request, ChangeCallback callback) = 0;

  // Whether the market's guarantees could be honoured beside all others. NotDone: nobody could say.
  virtual void CheckMarket(const Market& market, CheckCallback callback) = 0;

  virtual void Collect(const Wanted& wanted, CollectCallback callback) = 0;
  virtual void Explain(JobId job, ExplainCallback callback) = 0;

  // All jobs or none.
  virtual void CancelJobs(const std::vector<JobId>& jobs, const std::string& who, ActionCallback callback) = 0;
  virtual void RetryJob(JobId job, const std::string& who, ActionCallback callback) = 0;
  virtual void Steer(const SteerWorker& steer, const std::string& who, ActionCallback callback) = 0;
  virtual void Drain(const InstanceId& instance, const std::string& who, ActionCallback callback) = 0;

  // State of this process, keys in a stable order.
  virtual void Dump(std::function<void(boost::json::value)> callback) const = 0;
  virtual std::string MetricsText() const = 0;  // Prometheus text format.
  virtual std::string NotReady() const = 0;     // Why no new work may come here; empty: ready.
};

}  // namespace hickoryquay::operators
