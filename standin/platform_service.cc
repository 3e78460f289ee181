#include "standin/platform_service.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/model/field_reader.h"

namespace hickoryquay::standin {

namespace json = boost::json;

namespace {

constexpr char kTablePrefix[] = "/table/";
constexpr char kObjectsPrefix[] = "/objects/";
constexpr int kMaxScan = 1000;

json::object RowJson(const store::Row& row) {
  return {{"key", row.m_key}, {"value", row.m_value}, {"version", Raw(row.m_version)}, {"token", row.m_token}};
}

json::array RowsJson(const std::vector<store::Row>& rows) {
  json::array array;
  for (const store::Row& row : rows) array.push_back(RowJson(row));
  return array;
}

store::Check ReadCheck(FieldReader* reader) {
  store::Check check;
  reader->Read("key", &check.m_key);
  reader->ReadInteger("version", &check.m_expected, 0, std::numeric_limits<std::int64_t>::max());
  return check;
}

store::Write ReadWrite(FieldReader* reader) {
  store::Write write;
  reader->Read("key", &write.m_key);
  const json::value* value = reader->Find("value");
  if (value == nullptr || value->is_null()) return write;
  std::string text;
  reader->Read("value", &text);
  write.m_value = std::move(text);
  return write;
}

Parsed<store::Commit> ParseCommit(const json::value& body) {
  store::Commit commit;
  FieldReader reader(body);
  reader.Read("token", &commit.m_token);
  for (const json::value& element : reader.Array("checks", FieldReader::Need::kOptional)) {
    FieldReader nested(element, "checks");
    commit.m_checks.push_back(ReadCheck(&nested));
    if (nested.Failed()) return nested.Error();
  }
  for (const json::value& element : reader.Array("writes")) {
    FieldReader nested(element, "writes");
    commit.m_writes.push_back(ReadWrite(&nested));
    if (nested.Failed()) return nested.Error();
  }
  if (reader.Failed()) return reader.Error();
  return commit;
}

net::HttpResponse Json(int status, const json::object& body) {
  return net::JsonResponse(status, json::serialize(body));
}

net::HttpResponse OverCap() {
  return net::JsonError(503, "over_cap", "the table service is over its rate");
}

}  // namespace

bool RateCap::Admit(Instant now) {
  const std::int64_t second = now.m_ms / 1000;
  if (second != m_second) {
    m_second = second;
    m_used = 0;
  }
  if (m_used >= m_per_s) return false;
  ++m_used;
  ++m_total;
  return true;
}

bool PlatformService::Handle(const net::HttpRequest& request, const net::Responder& respond) {
  const net::Target target = net::ParseTarget(request.m_target);
  if (!target.m_path.starts_with(kTablePrefix) && !target.m_path.starts_with(kObjectsPrefix)) return false;
  bool lost = false;
  net::HttpResponse response = Answer(request, target, &lost);
  if (lost) return true;  // Dropping the responder cuts the connection.
  const Millis delay = m_faults->TableDelay();
  if (delay.count() == 0) {
    respond(std::move(response));
  } else {
    m_timers->After(delay, [respond, response = std::move(response)] { respond(response); }).Detach();
  }
  return true;
}

net::HttpResponse PlatformService::Answer(const net::HttpRequest& request, const net::Target& target, bool* lost) {
  if (m_faults->Table() == TableFault::kDown) return net::JsonError(503, "down", "the platform is down");
  const std::scoped_lock lock(m_mutex);
  if (target.m_path == "/table/row") return GetRow(target);
  if (target.m_path == "/table/scan") return Scan(target);
  if (target.m_path == "/table/commit") return Submit(request, lost);
  if (target.m_path.starts_with(kObjectsPrefix)) {
    return Object(request, target.m_path.substr(sizeof(kObjectsPrefix) - 1));
  }
  return net::JsonError(404, "unknown_path", "no such call");
}

net::HttpResponse PlatformService::GetRow(const net::Target& target) {
  if (!m_reads.Admit(m_clock->Now())) return OverCap();
  const store::Row row = m_engine.Get(net::QueryValue(target, "key"));
  if (row.m_version == Version{0}) return net::JsonError(404, "absent", "no such row");
  return Json(200, RowJson(row));
}

net::HttpResponse PlatformService::Scan(const net::Target& target) {
  if (!m_reads.Admit(m_clock->Now())) return OverCap();
  const std::string limit = net::QueryValue(target, "limit");
  const int asked = limit.empty() ? kMaxScan : std::atoi(limit.c_str());
  const int rows = asked < 1 || asked > kMaxScan ? kMaxScan : asked;
  const store::Page page = m_engine.Scan(net::QueryValue(target, "prefix"), net::QueryValue(target, "after"), rows);
  return Json(200, {{"rows", RowsJson(page.m_rows)}, {"more", page.m_more}});
}

net::HttpResponse PlatformService::Submit(const net::HttpRequest& request, bool* lost) {
  const auto body = ParseJson(request.m_body);
  if (!Ok(body)) return net::JsonError(400, "malformed", ErrorOf(body).m_message);
  const auto commit = ParseCommit(ValueOf(body));
  if (!Ok(commit)) return net::JsonError(400, "malformed", ErrorOf(commit).m_message, ErrorOf(commit).m_field);
  if (!m_writes.Admit(m_clock->Now())) return OverCap();
  const auto result = m_engine.Submit(ValueOf(commit));
  *lost = m_faults->Table() == TableFault::kLostAnswer;
  if (!Ok(result)) return Json(409, {{"conflicts", RowsJson(ErrorOf(result).m_rows)}});
  return Json(200, {{"version", Raw(ValueOf(result).m_version)}});
}

net::HttpResponse PlatformService::Object(const net::HttpRequest& request, const std::string& name) {
  if (request.m_method == "PUT") {
    m_objects[name] = request.m_body;
    return Json(200, {{"bytes", request.m_body.size()}});
  }
  const auto found = m_objects.find(name);
  if (found == m_objects.end()) return net::JsonError(404, "absent", "no such object");
  if (request.m_method == "DELETE") {
    m_objects.erase(found);
    return Json(200, json::object{});
  }
  return net::HttpResponse{200, {{"Content-Type", "application/octet-stream"}}, found->second};
}

std::string PlatformService::CountersJson() const {
  const std::scoped_lock lock(m_mutex);
  return json::serialize(json::object{{"table_reads", m_reads.Total()}, {"table_writes", m_writes.Total()}});
}

}  // namespace hickoryquay::standin
