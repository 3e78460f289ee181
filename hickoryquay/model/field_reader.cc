#include "hickoryquay/model/field_reader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cctype>

namespace hickoryquay {

namespace {

bool IsNameLetter(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
}

}  // namespace

FieldReader::FieldReader(const boost::json::value& json, std::string path)
    : m_object(json.if_object()), m_path(std::move(path)) {
  if (m_object == nullptr) Fail("", "expected an object");
}

std::string FieldReader::Path(std::string_view key) const {
  if (m_path.empty()) return std::string(key);
  return key.empty() ? m_path : m_path + "." + std::string(key);
}

void FieldReader::Fail(std::string_view key, std::string message) {
  if (m_failed) return;
  m_failed = true;
  m_error = FieldError{Path(key), std::move(message)};
}

void FieldReader::Take(const FieldError& error) {
  if (m_failed) return;
  m_failed = true;
  m_error = error;
}

const boost::json::value* FieldReader::Find(std::string_view key, Need need) {
  if (m_failed) return nullptr;
  const boost::json::value* found = m_object->if_contains(key);
  if (found == nullptr && need == Need::kRequired) Fail(key, "is missing");
  return found;
}

void FieldReader::Read(std::string_view key, std::string* text, Need need) {
  const boost::json::value* found = Find(key, need);
  if (found == nullptr) return;
  if (!found->is_string()) return Fail(key, "expected a text");
  *text = std::string(found->as_string());
}

void FieldReader::Read(std::string_view key, bool* flag, Need need) {
  const boost::json::value* found = Find(key, need);
  if (found == nullptr) return;
  if (!found->is_bool()) return Fail(key, "expected true or false");
  *flag = found->as_bool();
}

void FieldReader::Read(std::string_view key, double* number, double low, double high, Need need) {
  const boost::json::value* found = Find(key, need);
  if (found == nullptr) return;
  boost::system::error_code error;
  const auto value = found->to_number<double>(error);
  if (error || !(value >= low && value <= high)) {
    return Fail(key, "expected a number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  *number = value;
}

void FieldReader::ReadInt64(std::string_view key, std::int64_t* number, std::int64_t low, std::int64_t high,
                            Need need) {
  const boost::json::value* found = Find(key, need);
  if (found == nullptr) return;
  boost::system::error_code error;
  const auto value = found->to_number<std::int64_t>(error);
  if (error || value < low || value > high) {
    return Fail(key, "expected a whole number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  *number = value;
}

void FieldReader::ReadMillis(std::string_view key, Millis* duration, Need need) {
  constexpr std::int64_t kMaxMs = 366LL * 24 * 3600 * 1000;
  std::int64_t value = duration->count();
  ReadInt64(key, &value, 0, kMaxMs, need);
  *duration = Millis{value};
}

void FieldReader::ReadInstant(std::string_view key, Instant* at, Need need) {
  ReadInt64(key, &at->m_ms, 0, std::numeric_limits<std::int64_t>::max() / 2, need);
}

void FieldReader::ReadName(std::string_view key, std::string* name, Need need) {
  std::string text = *name;
  Read(key, &text, need);
  if (m_failed || (text.empty() && need == Need::kOptional)) return;
  const bool valid =
      !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), IsNameLetter);
  if (!valid) {
    return Fail(key, "expected 1 to " + std::to_string(kMaxNameLength) + " letters, digits, '-', '_' or '.'");
  }
  *name = text;
}

const boost::json::array& FieldReader::Array(std::string_view key, Need need) {
  static const boost::json::array empty;
  const boost::json::value* found = Find(key, need);
  if (found == nullptr) return empty;
  if (found->is_array()) return found->get_array();
  Fail(key, "expected an array");
  return empty;
}

void FieldReader::ForbidOthers(std::initializer_list<std::string_view> known) {
  if (m_failed) return;
  for (const auto& field : *m_object) {
    const std::string_view key(field.key().data(), field.key().size());
    if (std::find(known.begin(), known.end(), key) == known.end()) return Fail(key, "is not a known field");
  }
}

}  // namespace hickoryquay
