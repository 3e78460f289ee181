// HttpTable: the table service over HTTP, through lost answers, slowness and outages.
//
// - Every commit has a token of its own. After a lost answer the client reads back, and sends the same commit again
//   where its checks keep it from taking effect twice; what neither settles is InDoubt.
// - Independent commits that wait at the same time go out as one.
// - After several failures in a row the circuit opens: calls are refused at once as Unavailable, but for a probe.
#pragma once

#include <boost/json/value.hpp>
#include <memory>
#include <string>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/store/circuit.h"
#include "hickoryquay/store/http_send.h"
#include "hickoryquay/store/serial_executor.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::store {

struct HttpTableSettings {
  net::Endpoint m_endpoint;
  std::string m_token_prefix;         // Unique to the process, such as its instance id.
  Millis m_attempt_timeout{2'000};    // Of one HTTP call; the answer to a read may take longer while it is arriving.
  Millis m_read_deadline{3'000};      // Of Get and Scan with their retries: none is sent later.
  Millis m_commit_deadline{6'000};    // Of a commit with its retries and read-backs.
  Millis m_retry_base{40};            // First delay; doubles, with full jitter.
  Millis m_retry_cap{1'000};          // Longest delay.
  int m_max_queued_commits = 2'000;   // Further ones are refused.
  int m_max_commits_in_flight = 2;    // Further ones wait and are merged.
  std::size_t m_max_batch_rows = 64;  // Rows of one merged commit; 1: no merging.
  CircuitSettings m_circuit;
};

// What an HttpTable stands on. All but the metrics must outlive it.
struct HttpTableParts {
  HttpSend m_send;
  SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

class HttpTable final : public Table {
 public:
  HttpTable(HttpTableParts parts, const HttpTableSettings& settings);
  ~HttpTable() override;

  void Get(const std::string& key, RowCallback callback) override;
  void Scan(const std::string& prefix, const std::string& after, int limit, PageCallback callback) override;
  void Submit(Commit commit, CommitCallback callback) override;

  // True while the table is known to be away; lags by a call.
  bool Degraded() const;

  // State for the dump: circuit, queue, counts. Thread-safe.
  boost::json::value Dump() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::store
