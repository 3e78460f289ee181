#include "hickoryquay/store/table_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/model/json.h"

namespace hickoryquay::store {

namespace {

namespace json = boost::json;

bool ReadText(const json::object& object, std::string_view key, std::string* text) {
  const json::value* found = object.if_contains(key);
  if (found == nullptr || !found->is_string()) return false;
  *text = std::string(found->get_string());
  return true;
}

bool ReadVersion(const json::object& object, Version* version) {
  const json::value* found = object.if_contains("version");
  if (found == nullptr) return false;
  boost::system::error_code error;
  const auto number = found->to_number<std::uint64_t>(error);
  if (error) return false;
  *version = Version{number};
  return true;
}

// Absent rows may come without value and token.
bool ReadRow(const json::value& value, Row* row) {
  const json::object* object = value.if_object();
  if (object == nullptr) return false;
  if (!ReadText(*object, "key", &row->m_key)) return false;
  if (!ReadVersion(*object, &row->m_version)) return false;
  if (row->m_version == Version{0}) return true;
  return ReadText(*object, "value", &row->m_value) && ReadText(*object, "token", &row->m_token);
}

bool ReadRows(const json::object& object, std::string_view key, std::vector<Row>* rows) {
  const json::value* found = object.if_contains(key);
  if (found == nullptr || !found->is_array()) return false;
  for (const json::value& element : found->get_array()) {
    if (!ReadRow(element, &rows->emplace_back())) return false;
  }
  return true;
}

json::array ChecksJson(const std::vector<Check>& checks) {
  json::array list;
  for (const Check& check : checks) {
    list.push_back(json::object{{"key", check.m_key}, {"version", Raw(check.m_expected)}});
  }
  return list;
}

json::array WritesJson(const std::vector<Write>& writes) {
  json::array list;
  for (const Write& write : writes) {
    json::value value;
    if (write.m_value) value = *write.m_value;
    list.push_back(json::object{{"key", write.m_key}, {"value", std::move(value)}});
  }
  return list;
}

// Parses the body as an object and hands it to `read`, which returns false where a field is missing.
template <typename T, typename Read>
Result<T, Malformed> ParseObject(std::string_view body, Read read) {
  const auto parsed = ParseJson(body);
  if (!Ok(parsed)) return Malformed{ErrorOf(parsed).m_message};
  const json::object* object = ValueOf(parsed).if_object();
  T result;
  if (object == nullptr || !read(*object, &result)) return Malformed{"a field is missing or of the wrong type"};
  return result;
}

}  // namespace

net::HttpRequest GetRequest(const std::string& key) {
  return net::LargeRead("/table/row?key=" + net::PercentEncode(key));
}

net::HttpRequest ScanRequest(const std::string& prefix, const std::string& after, int limit) {
  std::string target = "/table/scan?prefix=" + net::PercentEncode(prefix);
  target += "&after=" + net::PercentEncode(after);
  target += "&limit=" + std::to_string(limit);
  return net::LargeRead(std::move(target));
}

net::HttpRequest CommitRequest(const Commit& commit) {
  const json::object body{
      {"token", commit.m_token}, {"checks", ChecksJson(commit.m_checks)}, {"writes", WritesJson(commit.m_writes)}};
  return {"POST", "/table/commit", {{"Content-Type", "application/json"}}, json::serialize(body)};
}

Result<Row, Malformed> ParseRow(std::string_view body) {
  return ParseObject<Row>(body, [](const json::object& object, Row* row) { return ReadRow(object, row); });
}

Result<Page, Malformed> ParsePage(std::string_view body) {
  return ParseObject<Page>(body, [](const json::object& object, Page* page) {
    if (const json::value* more = object.if_contains("more"); more != nullptr && more->is_bool()) {
      page->m_more = more->get_bool();
    }
    return ReadRows(object, "rows", &page->m_rows);
  });
}

Result<Committed, Malformed> ParseCommitted(std::string_view body) {
  return ParseObject<Committed>(body, [](const json::object& object, Committed* committed) {
    return ReadVersion(object, &committed->m_version);
  });
}

Result<Conflict, Malformed> ParseConflict(std::string_view body) {
  return ParseObject<Conflict>(body, [](const json::object& object, Conflict* conflict) {
    return ReadRows(object, "conflicts", &conflict->m_rows);
  });
}

}  // namespace hickoryquay::store
