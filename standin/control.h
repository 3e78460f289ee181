// Control: how a test or the demo steers the stand-in and reads its log. Not part of the platform's protocol.
//
//   GET  /control/addresses                     ports of everything, by failure domain
//   GET  /control/log                           what ran, one JSON object a line
//   GET  /control/counters                      table reads and writes so far
//   POST /control/instances {"id","domain","callers","inner"}   a new entry instance
//   POST /control/gone      {"id"}              an instance is taken off the list
//   POST /control/leaving   {"id"}
//   POST /control/table     {"fault": "none|down|lost_answer", "delay_ms": 0}
//   POST /control/cut       {"a","b","on"}      failure domains, or "platform"
//   POST /control/worker    {"id","mode": "healthy|paused|black_hole|fails_all|dead"}
//   POST /control/backend   {"id","mode": "healthy|late|crossed|cut|hang|refuse|leaving"}
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/net/http.h"
#include "standin/backend.h"
#include "standin/faults.h"
#include "standin/instance_list.h"
#include "standin/platform_service.h"
#include "standin/topology.h"
#include "standin/worker_farm.h"

namespace hickoryquay::standin {

// Everything of one failure domain.
struct DomainParts {
  std::string m_name;
  std::unique_ptr<net::HttpServer> m_platform;  // Table, objects and list, as this failure domain reaches them.
  std::unique_ptr<Relay> m_balancer;
  std::unique_ptr<WorkerFarm> m_farm;
  std::vector<std::unique_ptr<Backend>> m_backends;
};

struct Parts {
  Faults m_faults;
  RunLog m_log;
  std::unique_ptr<PlatformService> m_platform;
  std::unique_ptr<InstanceList> m_list;
  std::map<std::string, DomainParts> m_domains;
};

// Handles one control call. Thread-safe once all parts are there.
class Control {
 public:
  explicit Control(Parts* parts) : m_parts(parts) {}
  net::HttpResponse Handle(const net::HttpRequest& request);

 private:
  using Call = net::HttpResponse (Control::*)(const boost::json::value&);
  static const std::map<std::string, Call>& Calls();

  net::HttpResponse Addresses(const boost::json::value& body);
  net::HttpResponse Log(const boost::json::value& body);
  net::HttpResponse Counters(const boost::json::value& body);
  net::HttpResponse AddInstance(const boost::json::value& body);
  net::HttpResponse Gone(const boost::json::value& body);
  net::HttpResponse Leaving(const boost::json::value& body);
  net::HttpResponse SetTable(const boost::json::value& body);
  net::HttpResponse SetCut(const boost::json::value& body);
  net::HttpResponse SetWorker(const boost::json::value& body);
  net::HttpResponse SetBackend(const boost::json::value& body);

  Parts* m_parts;
};

}  // namespace hickoryquay::standin
