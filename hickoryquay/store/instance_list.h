// InstanceList: the platform's lagging list of live and leaving instances, polled. Keeps its last answer in outages.
#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/store/http_send.h"
#include "hickoryquay/store/serial_executor.h"

namespace hickoryquay::store {

enum class InstanceKind { kEntry, kBackend, kWorker };

// One line of the list. Fields of other kinds stay empty.
struct ListedInstance {
  std::string m_id;
  InstanceKind m_kind = InstanceKind::kEntry;
  DomainId m_domain;
  net::Endpoint m_address;
  bool m_leaving = false;
  std::optional<net::Endpoint> m_inner;  // Entry: address of the inner protocol.
  MarketId m_market;                     // Backend server.
  int m_slots = 0;                       // Backend server.
  int m_connections = 0;                 // Backend server.
  Worker m_worker;                       // Worker: id, domain, rack and capacity.
  std::string m_path;                    // Worker: prefix of its calls.
};

using Instances = std::vector<ListedInstance>;

// Lines that can't be read are left out and counted: one bad line must not hide the others.
struct ParsedInstances {
  Instances m_instances;
  int m_bad_lines = 0;
};
std::optional<ParsedInstances> ParseInstances(std::string_view body);  // Empty where the body is no list at all.

struct InstanceListSettings {
  net::Endpoint m_endpoint;
  DomainId m_domain;   // Only of this failure domain; empty: all.
  std::string m_kind;  // Only of this kind; empty: all.
  Millis m_poll_every{1'000};
  Millis m_timeout{2'000};
};

struct InstanceListParts {
  HttpSend m_send;
  SerialExecutor m_executor;
  TimerService* m_timers = nullptr;
  const Clock* m_clock = nullptr;
  Metrics* m_metrics = nullptr;
};

// Thread-safe. Subscribers are called on the executor, with every answer that differs from the one before.
class InstanceList : public std::enable_shared_from_this<InstanceList> {
 public:
  using Subscriber = std::function<void(const std::shared_ptr<const Instances>&)>;

  InstanceList(InstanceListParts parts, const InstanceListSettings& settings);

  void Start();  // Polls at once, then at its period.
  void Stop();

  // Calls at once where an answer is known, then on each change. Subscribe before Start.
  void Subscribe(Subscriber subscriber);

  // The last answer; nullptr before the first.
  std::shared_ptr<const Instances> Latest() const;

  boost::json::value Dump() const;

 private:
  void Poll();
  void OnAnswer(const Result<net::HttpResponse, net::NetError>& result);

  const InstanceListParts m_parts;
  const InstanceListSettings m_settings;
  Counter& m_failures;
  Gauge& m_age_s;
  mutable std::mutex m_mutex;
  std::shared_ptr<const Instances> m_latest;  // Guarded by m_mutex.
  Instant m_answered;                         // Guarded by m_mutex.
  std::string m_body;                         // Of the latest; executor only.
  std::string m_tag;                          // Of the latest, where it carried one; executor only.
  std::vector<Subscriber> m_subscribers;      // Executor only.
  bool m_polling = false;                     // Executor only.
  Subscription m_timer;
};

}  // namespace hickoryquay::store
