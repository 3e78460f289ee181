#include "standin/topology.h"

#include <boost/json/array.hpp>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::standin {

namespace {

using Need = FieldReader::Need;
constexpr int kMaxCount = 10'000;

void ReadCapacity(FieldReader* reader, Resources* capacity) {
  const boost::json::value* json = reader->Find("capacity", Need::kOptional);
  if (json == nullptr) return;
  FieldReader nested(*json, reader->Path("capacity"));
  nested.ReadInteger("accelerators", &capacity->m_accelerators, 0, kMaxCount);
  nested.ReadInteger("millicores", &capacity->m_millicores, 0, 1'000'000);
  nested.ReadInteger("memory_mb", &capacity->m_memory_mb, 0, 1'000'000'000);
  if (nested.Failed()) reader->Take(nested.Error());
}

void ReadDomain(FieldReader* reader, DomainPlan* plan) {
  reader->ForbidOthers({"name", "racks", "workers_per_rack", "capacity", "backends", "slots", "connections", "market"});
  reader->Read("name", &plan->m_name);
  reader->ReadInteger("racks", &plan->m_racks, 0, kMaxCount, Need::kOptional);
  reader->ReadInteger("workers_per_rack", &plan->m_workers_per_rack, 0, kMaxCount, Need::kOptional);
  ReadCapacity(reader, &plan->m_capacity);
  reader->ReadInteger("backends", &plan->m_backends, 0, kMaxCount, Need::kOptional);
  reader->ReadInteger("slots", &plan->m_slots, 1, kMaxCount, Need::kOptional);
  reader->ReadInteger("connections", &plan->m_connections, 1, kMaxCount, Need::kOptional);
  reader->Read("market", &plan->m_market, Need::kOptional);
}

}  // namespace

Parsed<Topology> ParseTopology(const boost::json::value& json) {
  Topology topology;
  FieldReader reader(json);
  reader.ForbidOthers({"domains", "list_lag_ms", "table_writes_per_s", "table_reads_per_s"});
  for (const boost::json::value& element : reader.Array("domains")) {
    const std::string path = reader.Path("domains") + "[" + std::to_string(topology.m_domains.size()) + "]";
    FieldReader nested(element, path);
    ReadDomain(&nested, &topology.m_domains.emplace_back());
    if (nested.Failed()) reader.Take(nested.Error());
  }
  reader.ReadMillis("list_lag_ms", &topology.m_list_lag, Need::kOptional);
  reader.ReadInteger("table_writes_per_s", &topology.m_table_writes_per_s, 1, kMaxCount, Need::kOptional);
  reader.ReadInteger("table_reads_per_s", &topology.m_table_reads_per_s, 1, kMaxCount, Need::kOptional);
  if (reader.Failed()) return reader.Error();
  return topology;
}

}  // namespace hickoryquay::standin
