#include "hickoryquay/model/json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <limits>
#include <utility>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay {

namespace {

namespace json = boost::json;
using Need = FieldReader::Need;

constexpr std::int64_t kMaxTasks = 4096;
constexpr std::int64_t kMaxAccelerators = 4096;
constexpr std::int64_t kMaxMillicores = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kLeastUrgent = 9;

// Parses one nested object by `parse`, which takes the reader and the value to fill.
template <typename T, typename Parse>
void ReadNested(FieldReader* reader, std::string_view key, T* value, Parse parse, Need need = Need::kRequired) {
  const json::value* found = reader->Find(key, need);
  if (found == nullptr) return;
  FieldReader nested(*found, reader->Path(key));
  parse(&nested, value);
  if (nested.Failed()) reader->Take(nested.Error());
}

template <typename T, typename Parse>
std::vector<T> ReadList(FieldReader* reader, std::string_view key, Parse parse, Need need = Need::kOptional) {
  std::vector<T> list;
  std::size_t index = 0;
  for (const json::value& element : reader->Array(key, need)) {
    FieldReader nested(element, reader->Path(key) + "[" + std::to_string(index++) + "]");
    parse(&nested, &list.emplace_back());
    if (nested.Failed()) reader->Take(nested.Error());
  }
  return list;
}

template <typename T, typename Parse>
Parsed<T> ParseWhole(const json::value& value, Parse parse) {
  T result;
  FieldReader reader(value);
  parse(&reader, &result);
  if (reader.Failed()) return reader.Error();
  return result;
}

void ReadAdjacency(FieldReader* reader, std::string_view key, Adjacency* adjacency) {
  std::string text = ToString(*adjacency);
  reader->Read(key, &text, Need::kOptional);
  if (!ParseAdjacency(text, adjacency)) reader->Fail(key, "expected worker, rack, neighbour-racks or any");
}

void ReadResources(FieldReader* reader, Resources* resources) {
  reader->ForbidOthers({"accelerators", "millicores", "memory_mb"});
  reader->ReadInteger("accelerators", &resources->m_accelerators, 0, kMaxAccelerators, Need::kOptional);
  reader->ReadInteger("millicores", &resources->m_millicores, 0, kMaxMillicores, Need::kOptional);
  reader->ReadInteger("memory_mb", &resources->m_memory_mb, 0, kMaxMemoryMb, Need::kOptional);
}

void ReadShape(FieldReader* reader, GangShape* shape) {
  reader->ForbidOthers({"tasks", "task", "adjacency"});
  reader->ReadInteger("tasks", &shape->m_tasks, 1, kMaxTasks, Need::kOptional);
  ReadNested(reader, "task", &shape->m_task, ReadResources);
  ReadAdjacency(reader, "adjacency", &shape->m_adjacency);
}

void ReadDomainShare(FieldReader* reader, std::pair<DomainId, int>* share) {
  reader->ForbidOthers({"domain", "blocks"});
  reader->Read("domain", &share->first);
  reader->ReadInteger("blocks", &share->second, 0, kMaxCount);
}

void ReadGuarantee(FieldReader* reader, GuaranteedShape* shape) {
  reader->ForbidOthers({"name", "blocks", "accelerators_per_block", "adjacency", "blocks_by_domain"});
  reader->Read("name", &shape->m_name);
  reader->ReadInteger("blocks", &shape->m_blocks, 0, kMaxCount);
  reader->ReadInteger("accelerators_per_block", &shape->m_accelerators_per_block, 1, kMaxAccelerators);
  ReadAdjacency(reader, "adjacency", &shape->m_adjacency);
  int apportioned = 0;
  for (auto& [domain, blocks] : ReadList<std::pair<DomainId, int>>(reader, "blocks_by_domain", ReadDomainShare)) {
    shape->m_blocks_by_domain[domain] = blocks;
    apportioned += blocks;
  }
  if (!shape->m_blocks_by_domain.empty() && apportioned != shape->m_blocks) {
    reader->Fail("blocks_by_domain", "must sum up to blocks");
  }
}

void ReadClass(FieldReader* reader, ClassOfWork* work) {
  reader->ForbidOthers({"id", "urgency", "default_deadline_ms", "repeatable", "checkpointable", "preemptible"});
  reader->Read("id", &work->m_id);
  reader->ReadInteger("urgency", &work->m_urgency, 0, kLeastUrgent, Need::kOptional);
  reader->ReadMillis("default_deadline_ms", &work->m_default_deadline, Need::kOptional);
  reader->Read("repeatable", &work->m_repeatable, Need::kOptional);
  reader->Read("checkpointable", &work->m_checkpointable, Need::kOptional);
  reader->Read("preemptible", &work->m_preemptible, Need::kOptional);
}

void ReadAccount(FieldReader* reader, ClientAccount* account) {
  reader->ForbidOthers({"id", "max_accelerators", "max_waiting_jobs", "guarantees"});
  reader->Read("id", &account->m_id);
  reader->ReadInteger("max_accelerators", &account->m_max_accelerators, 0, kMaxCount, Need::kOptional);
  reader->ReadInteger("max_waiting_jobs", &account->m_max_waiting_jobs, 0, kMaxCount, Need::kOptional);
  account->m_guarantees = ReadList<GuaranteedShape>(reader, "guarantees", ReadGuarantee);
}

void ReadDomains(FieldReader* reader, std::vector<DomainId>* domains) {
  for (const json::value& element : reader->Array("domains")) {
    const json::string* text = element.if_string();
    if (text == nullptr || text->empty()) return reader->Fail("domains", "expected names of failure domains");
    domains->emplace_back(std::string(*text));
  }
}

void ReadMarket(FieldReader* reader, Market* market) {
  reader->ForbidOthers({"id", "domains", "completion_weight", "accounts", "classes"});
  reader->Read("id", &market->m_id);
  ReadDomains(reader, &market->m_domains);
  reader->Read("completion_weight", &market->m_completion_weight, 0.0, 1.0, Need::kOptional);
  for (ClientAccount& account : ReadList<ClientAccount>(reader, "accounts", ReadAccount)) {
    const AccountId id = account.m_id;
    if (!market->m_accounts.emplace(id, std::move(account)).second)
      reader->Fail("accounts", "names " + id.m_value + " twice");
  }
  for (ClassOfWork& work : ReadList<ClassOfWork>(reader, "classes", ReadClass)) {
    const ClassId id = work.m_id;
    if (!market->m_classes.emplace(id, std::move(work)).second)
      reader->Fail("classes", "names " + id.m_value + " twice");
  }
}

void ReadJobSpec(FieldReader* reader, JobSpec* spec) {
  reader->ForbidOthers(
      {"market", "account", "class", "shape", "declared_run_ms", "deadline_ms", "once", "key", "payload"});
  reader->Read("market", &spec->m_market);
  reader->Read("account", &spec->m_account);
  reader->Read("class", &spec->m_class);
  ReadNested(reader, "shape", &spec->m_shape, ReadShape);
  reader->ReadMillis("declared_run_ms", &spec->m_declared_run, Need::kOptional);
  reader->ReadInstant("deadline_ms", &spec->m_deadline, Need::kOptional);
  reader->Read("once", &spec->m_once, Need::kOptional);
  reader->Read("key", &spec->m_key, Need::kOptional);
  reader->Read("payload", &spec->m_payload, Need::kOptional);
}

void ReadPlacement(FieldReader* reader, Placement* placement) {
  reader->Read("worker", &placement->m_worker);
  reader->ReadInteger("tasks", &placement->m_tasks, 1, kMaxTasks);
}

void ReadJob(FieldReader* reader, Job* job) {
  std::string id;
  reader->Read("id", &id);
  if (!reader->Failed() && !ParseJobId(id, &job->m_id)) reader->Fail("id", "expected the id of a job");
  ReadNested(reader, "spec", &job->m_spec, ReadJobSpec);
  reader->Read("domain", &job->m_domain);
  std::string state;
  reader->Read("state", &state);
  if (!reader->Failed() && !ParseJobState(state, &job->m_state)) reader->Fail("state", "expected the state of a job");
  reader->ReadInteger("attempt", &job->m_attempt, 0, std::numeric_limits<std::uint32_t>::max());
  reader->ReadInteger("failures", &job->m_failures, 0, kMaxCount);
  job->m_placements = ReadList<Placement>(reader, "placements", ReadPlacement);
  reader->ReadInstant("accepted_ms", &job->m_accepted);
  reader->ReadInstant("started_ms", &job->m_started);
  reader->ReadInstant("ended_ms", &job->m_ended);
  reader->ReadMillis("attained_ms", &job->m_attained);
  reader->Read("why", &job->m_why);
}

void ReadWorker(FieldReader* reader, Worker* worker) {
  reader->Read("id", &worker->m_id);
  reader->Read("domain", &worker->m_domain);
  reader->Read("rack", &worker->m_rack);
  reader->ReadInteger("rack_position", &worker->m_rack_position, 0, kMaxCount);
  ReadNested(reader, "capacity", &worker->m_capacity, ReadResources);
}

json::value ToJson(const GuaranteedShape& shape) {
  json::array shares;
  for (const auto& [domain, blocks] : shape.m_blocks_by_domain) {
    shares.push_back(json::object{{"domain", domain.m_value}, {"blocks", blocks}});
  }
  return json::object{{"name", shape.m_name},
                      {"blocks", shape.m_blocks},
                      {"accelerators_per_block", shape.m_accelerators_per_block},
                      {"adjacency", ToString(shape.m_adjacency)},
                      {"blocks_by_domain", std::move(shares)}};
}

json::value ToJson(const ClientAccount& account) {
  json::array guarantees;
  for (const GuaranteedShape& shape : account.m_guarantees) guarantees.push_back(ToJson(shape));
  return json::object{{"id", account.m_id.m_value},
                      {"max_accelerators", account.m_max_accelerators},
                      {"max_waiting_jobs", account.m_max_waiting_jobs},
                      {"guarantees", std::move(guarantees)}};
}

json::value ToJson(const ClassOfWork& work) {
  return json::object{{"id", work.m_id.m_value},
                      {"urgency", work.m_urgency},
                      {"default_deadline_ms", work.m_default_deadline.count()},
                      {"repeatable", work.m_repeatable},
                      {"checkpointable", work.m_checkpointable},
                      {"preemptible", work.m_preemptible}};
}

}  // namespace

Parsed<json::value> ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error) return FieldError{"", "not JSON: " + error.message()};
  return value;
}

json::value ToJson(const Resources& resources) {
  return json::object{{"accelerators", resources.m_accelerators},
                      {"millicores", resources.m_millicores},
                      {"memory_mb", resources.m_memory_mb}};
}

json::value ToJson(const GangShape& shape) {
  return json::object{
      {"tasks", shape.m_tasks}, {"task", ToJson(shape.m_task)}, {"adjacency", ToString(shape.m_adjacency)}};
}

json::value ToJson(const Market& market) {
  json::array domains;
  for (const DomainId& domain : market.m_domains) domains.emplace_back(domain.m_value);
  json::array accounts;
  for (const auto& [id, account] : market.m_accounts) accounts.push_back(ToJson(account));
  json::array classes;
  for (const auto& [id, work] : market.m_classes) classes.push_back(ToJson(work));
  return json::object{{"id", market.m_id.m_value},
                      {"domains", std::move(domains)},
                      {"completion_weight", market.m_completion_weight},
                      {"accounts", std::move(accounts)},
                      {"classes", std::move(classes)}};
}

json::value ToJson(const JobSpec& spec) {
  return json::object{{"market", spec.m_market.m_value},
                      {"account", spec.m_account.m_value},
                      {"class", spec.m_class.m_value},
                      {"shape", ToJson(spec.m_shape)},
                      {"declared_run_ms", spec.m_declared_run.count()},
                      {"deadline_ms", spec.m_deadline.m_ms},
                      {"once", spec.m_once},
                      {"key", spec.m_key},
                      {"payload", spec.m_payload}};
}

json::value ToJson(const Job& job) {
  json::array placements;
  for (const Placement& placement : job.m_placements) {
    placements.push_back(json::object{{"worker", placement.m_worker.m_value}, {"tasks", placement.m_tasks}});
  }
  return json::object{{"id", ToString(job.m_id)},
                      {"spec", ToJson(job.m_spec)},
                      {"domain", job.m_domain.m_value},
                      {"state", ToString(job.m_state)},
                      {"attempt", Raw(job.m_attempt)},
                      {"failures", job.m_failures},
                      {"placements", std::move(placements)},
                      {"accepted_ms", job.m_accepted.m_ms},
                      {"started_ms", job.m_started.m_ms},
                      {"ended_ms", job.m_ended.m_ms},
                      {"attained_ms", job.m_attained.count()},
                      {"why", job.m_why}};
}

json::value ToJson(const Worker& worker) {
  return json::object{{"id", worker.m_id.m_value},
                      {"domain", worker.m_domain.m_value},
                      {"rack", worker.m_rack.m_value},
                      {"rack_position", worker.m_rack_position},
                      {"capacity", ToJson(worker.m_capacity)}};
}

Parsed<Market> ParseMarket(const json::value& value) {
  return ParseWhole<Market>(value, ReadMarket);
}
Parsed<JobSpec> ParseJobSpec(const json::value& value) {
  return ParseWhole<JobSpec>(value, ReadJobSpec);
}
Parsed<Job> ParseJob(const json::value& value) {
  return ParseWhole<Job>(value, ReadJob);
}
Parsed<Worker> ParseWorker(const json::value& value) {
  return ParseWhole<Worker>(value, ReadWorker);
}

}  // namespace hickoryquay
