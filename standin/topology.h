// Topology: which failure domains, workers and backend servers the stand-in brings, from a JSON file.
//
//   {"domains": [{"name": "leicester", "entries": 2, "racks": 2, "workers_per_rack": 8,
//                 "capacity": {"accelerators": 8, "millicores": 64000, "memory_mb": 131072},
//                 "backends": 4, "slots": 8, "connections": 60, "market": "trentmere"}],
//    "list_lag_ms": 1500, "table_writes_per_s": 400, "table_reads_per_s": 2000}
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay::standin {

struct DomainPlan {
  DomainId m_name;
  int m_racks = 1;
  int m_workers_per_rack = 8;
  Resources m_capacity{8, 64'000, 131'072};
  int m_backends = 2;
  int m_slots = 8;
  int m_connections = 60;
  MarketId m_market;  // Whose requests its backend servers serve.
};

struct Topology {
  std::vector<DomainPlan> m_domains;
  Millis m_list_lag{1500};
  int m_table_writes_per_s = 400;
  int m_table_reads_per_s = 2000;
};

Parsed<Topology> ParseTopology(const boost::json::value& json);

}  // namespace hickoryquay::standin
