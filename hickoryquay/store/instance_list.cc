#include "hickoryquay/store/instance_list.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <mutex>
#include <utility>

#include "hickoryquay/base/log.h"
#include "hickoryquay/model/field_reader.h"
#include "hickoryquay/model/json.h"
#include "hickoryquay/model/json_salvage.h"

namespace hickoryquay::store {

namespace {

namespace json = boost::json;
using Need = FieldReader::Need;

constexpr log::Part kLog{"store"};
constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr std::int64_t kMaxCount = 1'000'000;

struct KindName {
  const char* m_text;
  InstanceKind m_kind;
};
constexpr KindName kKinds[] = {
    {"entry", InstanceKind::kEntry}, {"backend", InstanceKind::kBackend}, {"worker", InstanceKind::kWorker}};

void ReadKind(FieldReader* reader, InstanceKind* kind) {
  std::string text;
  reader->Read("kind", &text);
  for (const KindName& known : kKinds) {
    if (text != known.m_text) continue;
    *kind = known.m_kind;
    return;
  }
  reader->Fail("kind", "expected entry, backend or worker");
}

void ReadEndpoint(FieldReader* reader, std::string_view key, net::Endpoint* endpoint) {
  std::string text;
  reader->Read(key, &text);
  if (reader->Failed()) return;
  const auto parsed = net::ParseEndpoint(text);
  if (const auto* why = std::get_if<std::string>(&parsed)) return reader->Fail(key, *why);
  *endpoint = std::get<net::Endpoint>(parsed);
}

void ReadState(FieldReader* reader, bool* leaving) {
  std::string state = "live";
  reader->Read("state", &state, Need::kOptional);
  *leaving = state == "leaving";
}

void ReadEntry(FieldReader* reader, ListedInstance* instance) {
  if (reader->Find("inner", Need::kOptional) == nullptr) return;
  ReadEndpoint(reader, "inner", &instance->m_inner.emplace());
}

void ReadBackend(FieldReader* reader, ListedInstance* instance) {
  reader->Read("market", &instance->m_market);
  reader->ReadInteger("slots", &instance->m_slots, 0, kMaxCount);
  reader->ReadInteger("connections", &instance->m_connections, 0, kMaxCount);
}

void ReadWorker(FieldReader* reader, ListedInstance* instance) {
  Worker& worker = instance->m_worker;
  worker.m_id = WorkerId(instance->m_id);
  worker.m_domain = instance->m_domain;
  reader->Read("rack", &worker.m_rack);
  reader->ReadInteger("rack_position", &worker.m_rack_position, 0, kMaxCount);
  reader->Read("path", &instance->m_path, Need::kOptional);
  const json::value* capacity = reader->Find("capacity");
  if (capacity == nullptr) return;
  FieldReader nested(*capacity, "capacity");
  nested.ReadInteger("accelerators", &worker.m_capacity.m_accelerators, 0, kMaxCount, Need::kOptional);
  nested.ReadInteger("millicores", &worker.m_capacity.m_millicores, 0, std::numeric_limits<std::int64_t>::max(),
                     Need::kOptional);
  nested.ReadInteger("memory_mb", &worker.m_capacity.m_memory_mb, 0, std::numeric_limits<std::int64_t>::max(),
                     Need::kOptional);
  if (nested.Failed()) reader->Take(nested.Error());
}

using ReadKindFields = void (*)(FieldReader*, ListedInstance*);
constexpr ReadKindFields kReadKindFields[] = {&ReadEntry, &ReadBackend, &ReadWorker};  // Indexed by InstanceKind.

bool ReadInstance(const json::value& value, ListedInstance* instance) {
  FieldReader reader(value);
  reader.Read("id", &instance->m_id);
  reader.Read("domain", &instance->m_domain);
  ReadKind(&reader, &instance->m_kind);
  ReadEndpoint(&reader, "address", &instance->m_address);
  ReadState(&reader, &instance->m_leaving);
  if (reader.Failed()) return false;
  kReadKindFields[static_cast<int>(instance->m_kind)](&reader, instance);
  return !reader.Failed();
}

std::string TargetOf(const InstanceListSettings& settings) {
  std::string target = "/instances";
  char separator = '?';
  if (!settings.m_domain.Empty()) {
    target += separator + ("domain=" + net::PercentEncode(settings.m_domain.m_value));
    separator = '&';
  }
  if (!settings.m_kind.empty()) target += separator + ("kind=" + net::PercentEncode(settings.m_kind));
  return target;
}

}  // namespace

std::optional<ParsedInstances> ParseInstances(std::string_view body) {
  const auto parsed = ParseAroundOdd(body, "instances");
  if (!Ok(parsed) || !ValueOf(parsed).m_json.is_object()) return std::nullopt;
  const json::value* list = ValueOf(parsed).m_json.get_object().if_contains("instances");
  if (list == nullptr || !list->is_array()) return std::nullopt;
  ParsedInstances result;
  result.m_bad_lines = static_cast<int>(ValueOf(parsed).m_unparsed.size());
  for (const json::value& element : list->get_array()) {
    ListedInstance instance;
    if (ReadInstance(element, &instance)) {
      result.m_instances.push_back(std::move(instance));
    } else {
      ++result.m_bad_lines;
    }
  }
  return result;
}

InstanceList::InstanceList(InstanceListParts parts, const InstanceListSettings& settings)
    : m_parts(std::move(parts)),
      m_settings(settings),
      m_failures(m_parts.m_metrics->GetCounter("hq_instance_list_failures_total")),
      m_age_s(m_parts.m_metrics->GetGauge("hq_instance_list_age_seconds")) {}

void InstanceList::Start() {
  const auto poll = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->m_parts.m_executor([self] { self->Poll(); });
  };
  m_timer = m_parts.m_timers->Every(m_settings.m_poll_every, poll);
  poll();
}

void InstanceList::Stop() {
  m_timer.Cancel();
}

void InstanceList::Subscribe(Subscriber subscriber) {
  m_parts.m_executor([self = shared_from_this(), subscriber = std::move(subscriber)] {
    if (const auto latest = self->Latest()) subscriber(latest);
    self->m_subscribers.push_back(subscriber);
  });
}

std::shared_ptr<const Instances> InstanceList::Latest() const {
  const std::lock_guard lock(m_mutex);
  return m_latest;
}

void InstanceList::Poll() {
  m_age_s.Set(static_cast<double>((m_parts.m_clock->Now() - m_answered).count()) / 1000.0);
  if (m_polling) return;
  m_polling = true;
  net::HttpRequest request = net::LargeRead(TargetOf(m_settings));
  if (!m_tag.empty()) request.m_headers.push_back({"If-None-Match", m_tag});
  m_parts.m_send(m_settings.m_endpoint, std::move(request), m_settings.m_timeout,
                 [self = shared_from_this()](auto result) {
                   self->m_parts.m_executor([self, result = std::move(result)] { self->OnAnswer(result); });
                 });
}

void InstanceList::OnAnswer(const Result<net::HttpResponse, net::NetError>& result) {
  m_polling = false;
  if (Ok(result) && ValueOf(result).m_status == kHttpNotModified && !m_tag.empty()) {
    const std::lock_guard lock(m_mutex);
    m_answered = m_parts.m_clock->Now();
    return;
  }
  if (!Ok(result) || ValueOf(result).m_status != kHttpOk) return m_failures.Add();
  const std::string& body = ValueOf(result).m_body;
  const bool same = body == m_body && m_latest;
  auto parsed = same ? std::nullopt : ParseInstances(body);
  if (!same && !parsed) return m_failures.Add();
  {
    const std::lock_guard lock(m_mutex);
    m_answered = m_parts.m_clock->Now();
    if (parsed) m_latest = std::make_shared<const Instances>(std::move(parsed->m_instances));
  }
  const std::string* tag = net::FindHeader(ValueOf(result).m_headers, "ETag");
  m_tag = tag != nullptr ? *tag : "";
  if (same) return;
  m_body = body;
  if (parsed->m_bad_lines > 0) {
    log::Warn(kLog, "List of instances holds lines that can't be read",
              {{"lines", std::to_string(parsed->m_bad_lines)}});
  }
  for (const Subscriber& subscriber : m_subscribers) subscriber(m_latest);
}

boost::json::value InstanceList::Dump() const {
  const std::lock_guard lock(m_mutex);
  json::array instances;
  if (m_latest) {
    for (const ListedInstance& instance : *m_latest) {
      instances.push_back(json::object{{"id", instance.m_id},
                                       {"kind", kKinds[static_cast<int>(instance.m_kind)].m_text},
                                       {"domain", instance.m_domain.m_value},
                                       {"address", net::ToString(instance.m_address)},
                                       {"leaving", instance.m_leaving}});
    }
  }
  return json::object{{"age_ms", (m_parts.m_clock->Now() - m_answered).count()}, {"instances", std::move(instances)}};
}

}  // namespace hickoryquay::store
