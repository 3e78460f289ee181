// FieldReader: fills aggregates from JSON objects; the first error sticks and names its field.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "hickoryquay/base/ids.h"
#include "hickoryquay/model/json.h"

namespace hickoryquay {

constexpr std::size_t kMaxNameLength = 200;

// Reads one object. Every Read leaves its target alone where the field is absent, unless it is required.
class FieldReader {
 public:
  enum class Need { kRequired, kOptional };

  explicit FieldReader(const boost::json::value& json, std::string path = "");

  void Read(std::string_view key, std::string* text, Need need = Need::kRequired);
  void Read(std::string_view key, bool* flag, Need need = Need::kRequired);
  void Read(std::string_view key, double* number, double low, double high, Need need = Need::kRequired);
  void ReadMillis(std::string_view key, Millis* duration, Need need = Need::kRequired);
  void ReadInstant(std::string_view key, Instant* at, Need need = Need::kRequired);

  template <typename Integer>
  void ReadInteger(std::string_view key, Integer* number, std::int64_t low, std::int64_t high,
                   Need need = Need::kRequired) {
    std::int64_t value = static_cast<std::int64_t>(*number);
    ReadInt64(key, &value, low, high, need);
    *number = static_cast<Integer>(value);
  }

  // A name: not empty, at most kMaxNameLength letters, digits, '-', '_' and '.'.
  template <typename Tag>
  void Read(std::string_view key, Name<Tag>* name, Need need = Need::kRequired) {
    ReadName(key, &name->m_value, need);
  }

  // The value of a field, or nullptr where it is absent.
  const boost::json::value* Find(std::string_view key, Need need = Need::kRequired);

  // Elements of an array field; empty where it is absent.
  const boost::json::array& Array(std::string_view key, Need need = Need::kRequired);

  // Fails on any field that is not named: a misspelt one must not pass in silence.
  void ForbidOthers(std::initializer_list<std::string_view> known);

  void Fail(std::string_view key, std::string message);
  void Take(const FieldError& error);  // An error of something nested.
  std::string Path(std::string_view key) const;

  bool Failed() const { return m_failed; }
  const FieldError& Error() const { return m_error; }

 private:
  void ReadInt64(std::string_view key, std::int64_t* number, std::int64_t low, std::int64_t high, Need need);
  void ReadName(std::string_view key, std::string* name, Need need);

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  bool m_failed = false;
  FieldError m_error;
};

// Reads a list of objects by `read`, which takes the reader of an element and its index. Stops at the first error.
template <typename ReadOne>
auto ReadObjects(FieldReader* reader, std::string_view key, FieldReader::Need need, ReadOne read) {
  std::vector<decltype(read(reader, std::size_t{}))> list;
  for (const boost::json::value& element : reader->Array(key, need)) {
    FieldReader nested(element, reader->Path(key) + "[" + std::to_string(list.size()) + "]");
    if (!nested.Failed()) list.push_back(read(&nested, list.size()));
    if (nested.Failed()) {
      reader->Take(nested.Error());
      break;
    }
  }
  return list;
}

}  // namespace hickoryquay
