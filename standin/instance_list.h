// InstanceList: the platform's lagging list of instances, as each failure domain sees it.
//
// Addresses of another failure domain's entry instances and backend servers are those of relays, so that a cut between
// two failure domains stops what passes between them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/net/http.h"
#include "standin/faults.h"
#include "standin/relay.h"

namespace hickoryquay::standin {

struct Instance {
  std::string m_id;
  std::string m_kind;  // "entry", "backend" or "worker".
  std::string m_domain;
  net::Endpoint m_address;               // Of callers, for an entry instance.
  std::optional<net::Endpoint> m_inner;  // Of the inner protocol; entry instances only.
  bool m_leaving = false;
  boost::json::object m_details;  // What else the list tells of it.
};

// Thread-safe.
class InstanceList {
 public:
  InstanceList(boost::asio::io_context* io, TimerService* timers, net::HttpClient* client, const Faults* faults,
               Millis lag);

  void Put(Instance instance);
  void Remove(const std::string& id);
  bool SetLeaving(const std::string& id);  // False where nobody has that id.

  // The list as it was `lag` ago, for one failure domain; empty filters match all.
  std::string Json(const std::string& viewer, const std::string& domain, const std::string& kind);

  // A ready entry instance of a failure domain, in turn.
  std::optional<net::Endpoint> PickEntry(const std::string& domain);

 private:
  using Instances = std::map<std::string, Instance>;

  void Publish();  // Makes the change visible once the lag is over.
  void Probe();
  void OnProbe(const std::string& id, bool answered, bool ready);
  net::Endpoint Seen(const std::string& viewer, const Instance& instance, const net::Endpoint& address);
  boost::json::object Describe(const std::string& viewer, const Instance& instance);

  boost::asio::io_context* m_io;
  TimerService* m_timers;
  net::HttpClient* m_client;
  const Faults* m_faults;
  Millis m_lag;

  std::mutex m_mutex;
  Instances m_now;  // Guarded by m_mutex, as all below.
  Instances m_published;
  std::map<std::string, bool> m_ready;    // Entry instances by id.
  std::map<std::string, int> m_failures;  // Probes in a row without an answer.
  std::map<std::pair<std::string, net::Endpoint>, std::unique_ptr<Relay>> m_relays;  // By viewer and target.
  std::size_t m_turn = 0;
  Subscription m_probe;
};

}  // namespace hickoryquay::standin
