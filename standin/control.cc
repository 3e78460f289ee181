#include "standin/control.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::standin {

namespace json = boost::json;

namespace {

using Need = FieldReader::Need;
constexpr std::int64_t kMaxDelayMs = 600'000;

net::HttpResponse Bad(const FieldError& error) {
  return net::JsonError(400, "malformed", error.m_message, error.m_field);
}

net::HttpResponse Fine() {
  return net::JsonResponse(200, "{}");
}

net::HttpResponse NoSuch(const std::string& id) {
  return net::JsonError(404, "unknown", "nobody is called " + id);
}

// The value of a table's row by its text, or an error that names the field.
template <typename Value>
const Value* Lookup(const std::map<std::string, Value>& table, FieldReader* reader, const char* key) {
  std::string text;
  reader->Read(key, &text);
  if (reader->Failed()) return nullptr;
  const auto found = table.find(text);
  if (found != table.end()) return &found->second;
  reader->Fail(key, "is not one of the known values");
  return nullptr;
}

const std::map<std::string, TableFault> kTableFaults = {
    {"none", TableFault::kNone}, {"down", TableFault::kDown}, {"lost_answer", TableFault::kLostAnswer}};

const std::map<std::string, WorkerFarm::Mode> kWorkerModes = {{"healthy", WorkerFarm::Mode::kHealthy},
                                                              {"paused", WorkerFarm::Mode::kPaused},
                                                              {"black_hole", WorkerFarm::Mode::kBlackHole},
                                                              {"fails_all", WorkerFarm::Mode::kFailsAll},
                                                              {"dead", WorkerFarm::Mode::kDead}};

const std::map<std::string, Backend::Mode> kBackendModes = {
    {"healthy", Backend::Mode::kHealthy}, {"late", Backend::Mode::kLate}, {"crossed", Backend::Mode::kCrossed},
    {"cut", Backend::Mode::kCut},         {"hang", Backend::Mode::kHang}, {"refuse", Backend::Mode::kRefuse},
    {"leaving", Backend::Mode::kLeaving}};

}  // namespace

const std::map<std::string, Control::Call>& Control::Calls() {
  static const std::map<std::string, Call> calls = {
      {"/control/addresses", &Control::Addresses}, {"/control/log", &Control::Log},
      {"/control/counters", &Control::Counters},   {"/control/instances", &Control::AddInstance},
      {"/control/gone", &Control::Gone},           {"/control/leaving", &Control::Leaving},
      {"/control/table", &Control::SetTable},      {"/control/cut", &Control::SetCut},
      {"/control/worker", &Control::SetWorker},    {"/control/backend", &Control::SetBackend}};
  return calls;
}

net::HttpResponse Control::Handle(const net::HttpRequest& request) {
  const auto call = Calls().find(net::ParseTarget(request.m_target).m_path);
  if (call == Calls().end()) return net::JsonError(404, "unknown_path", "no such call");
  const auto body = ParseJson(request.m_body.empty() ? "{}" : request.m_body);
  if (!Ok(body)) return Bad(ErrorOf(body));
  return (this->*call->second)(ValueOf(body));
}

net::HttpResponse Control::Addresses(const json::value& /*body*/) {
  json::object domains;
  for (const auto& [name, domain] : m_parts->m_domains) {
    json::array backends;
    for (const auto& backend : domain.m_backends) {
      backends.push_back(json::object{{"id", backend->Id()}, {"address", net::ToString(backend->Local())}});
    }
    domains[name] = json::object{{"platform", net::ToString(domain.m_platform->Local())},
                                 {"balancer", net::ToString(domain.m_balancer->Local())},
                                 {"workers", net::ToString(domain.m_farm->Local())},
                                 {"backends", std::move(backends)}};
  }
  return net::JsonResponse(200, json::serialize(json::object{{"domains", std::move(domains)}}));
}

net::HttpResponse Control::Log(const json::value& /*body*/) {
  return net::HttpResponse{200, {{"Content-Type", "application/x-ndjson"}}, m_parts->m_log.JsonLines()};
}

net::HttpResponse Control::Counters(const json::value& /*body*/) {
  return net::JsonResponse(200, m_parts->m_platform->CountersJson());
}

net::HttpResponse Control::AddInstance(const json::value& body) {
  FieldReader reader(body);
  Instance instance;
  instance.m_kind = "entry";
  std::string callers;
  std::string inner;
  reader.Read("id", &instance.m_id);
  reader.Read("domain", &instance.m_domain);
  reader.Read("callers", &callers);
  reader.Read("inner", &inner);
  const auto callers_at = net::ParseEndpoint(callers);
  const auto inner_at = net::ParseEndpoint(inner);
  if (!Ok(callers_at)) reader.Fail("callers", ErrorOf(callers_at));
  if (!Ok(inner_at)) reader.Fail("inner", ErrorOf(inner_at));
  if (reader.Failed()) return Bad(reader.Error());
  instance.m_address = ValueOf(callers_at);
  instance.m_inner = ValueOf(inner_at);
  m_parts->m_list->Put(std::move(instance));
  return Fine();
}

net::HttpResponse Control::Gone(const json::value& body) {
  FieldReader reader(body);
  std::string id;
  reader.Read("id", &id);
  if (reader.Failed()) return Bad(reader.Error());
  m_parts->m_list->Remove(id);
  return Fine();
}

net::HttpResponse Control::Leaving(const json::value& body) {
  FieldReader reader(body);
  std::string id;
  reader.Read("id", &id);
  if (reader.Failed()) return Bad(reader.Error());
  return m_parts->m_list->SetLeaving(id) ? Fine() : NoSuch(id);
}

net::HttpResponse Control::SetTable(const json::value& body) {
  FieldReader reader(body);
  const TableFault* fault = Lookup(kTableFaults, &reader, "fault");
  Millis delay{0};
  reader.ReadMillis("delay_ms", &delay, Need::kOptional);
  if (delay.count() > kMaxDelayMs) reader.Fail("delay_ms", "is over the limit");
  if (reader.Failed()) return Bad(reader.Error());
  m_parts->m_faults.SetTable(*fault);
  m_parts->m_faults.SetTableDelay(delay);
  return Fine();
}

net::HttpResponse Control::SetCut(const json::value& body) {
  FieldReader reader(body);
  std::string a;
  std::string b;
  bool on = true;
  reader.Read("a", &a);
  reader.Read("b", &b);
  reader.Read("on", &on, Need::kOptional);
  if (reader.Failed()) return Bad(reader.Error());
  m_parts->m_faults.SetCut(a, b, on);
  return Fine();
}

net::HttpResponse Control::SetWorker(const json::value& body) {
  FieldReader reader(body);
  std::string id;
  reader.Read("id", &id);
  const WorkerFarm::Mode* mode = Lookup(kWorkerModes, &reader, "mode");
  if (reader.Failed()) return Bad(reader.Error());
  for (auto& [name, domain] : m_parts->m_domains) {
    if (domain.m_farm->SetMode(id, *mode)) return Fine();
  }
  return NoSuch(id);
}

net::HttpResponse Control::SetBackend(const json::value& body) {
  FieldReader reader(body);
  std::string id;
  reader.Read("id", &id);
  const Backend::Mode* mode = Lookup(kBackendModes, &reader, "mode");
  if (reader.Failed()) return Bad(reader.Error());
  for (auto& [name, domain] : m_parts->m_domains) {
    for (const auto& backend : domain.m_backends) {
      if (backend->Id() != id) continue;
      backend->SetMode(*mode);
      if (*mode == Backend::Mode::kLeaving) m_parts->m_list->SetLeaving(id);
      return Fine();
    }
  }
  return NoSuch(id);
}

}  // namespace hickoryquay::standin
