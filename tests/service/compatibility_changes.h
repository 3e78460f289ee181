// What a later version may do to rows and messages: fields that nobody knows yet, in each object and struct. And what
// an earlier one may do: a field that it does not have is left out.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace hickoryquay::service::samples {

//-------------------------------------------------------------------------------------------------
// Rows
//-------------------------------------------------------------------------------------------------

// Keys of "started" are names of workers, so nothing is added there.
inline void AddUnknownFields(boost::json::value* value, std::string_view key = "") {
  if (auto* list = value->if_array()) {
    for (boost::json::value& element : *list) AddUnknownFields(&element);
  }
  auto* object = value->if_object();
  if (object == nullptr || key == "started") return;
  for (auto& field : *object) AddUnknownFields(&field.value(), {field.key().data(), field.key().size()});
  (*object)["later"] = boost::json::object{{"list", boost::json::array{1, "text", nullptr}}};
  (*object)["later_flag"] = true;
}

inline std::string WithUnknownFields(std::string_view row) {
  boost::json::value value = boost::json::parse({row.data(), row.size()});
  AddUnknownFields(&value);
  return boost::json::serialize(value);
}

//-------------------------------------------------------------------------------------------------
// Messages
//-------------------------------------------------------------------------------------------------

namespace protocol = apache::thrift::protocol;
using Transport = apache::thrift::transport::TMemoryBuffer;

// Copies a struct with changes.
class StructCopy {
 public:
  explicit StructCopy(const std::string& bytes)
      : m_source(bytes), m_from(std::make_shared<Transport>()), m_to(std::make_shared<Transport>()) {
    m_from->write(reinterpret_cast<const std::uint8_t*>(m_source.data()), static_cast<std::uint32_t>(m_source.size()));
  }

  void AddUnknown() { m_add = true; }
  void LeaveOut(int field) {
    m_left_out = field;
  }  // By its number in the order of the bytes, those of nested structs too.

  std::string Run() {
    Struct();
    return m_to->getBufferAsString();
  }
  int Fields() const { return m_fields; }

 private:
  void Struct() {
    std::string name;
    m_in.readStructBegin(name);
    m_out.writeStructBegin("");
    for (;;) {
      protocol::TType type{};
      std::int16_t id = 0;
      m_in.readFieldBegin(name, type, id);
      if (type == protocol::T_STOP) break;
      if (m_fields++ == m_left_out) {
        m_in.skip(type);
      } else {
        m_out.writeFieldBegin("", type, id);
        Value(type);
        m_out.writeFieldEnd();
      }
      m_in.readFieldEnd();
    }
    m_in.readStructEnd();
    if (m_add) WriteUnknown();
    m_out.writeFieldStop();
    m_out.writeStructEnd();
  }

  void WriteUnknown() {
    m_out.writeFieldBegin("", protocol::T_I64, 200);
    m_out.writeI64(5);
    m_out.writeFieldBegin("", protocol::T_STRING, 201);
    m_out.writeString(std::string("text"));
    m_out.writeFieldBegin("", protocol::T_LIST, 202);
    m_out.writeListBegin(protocol::T_STRUCT, 1);
    m_out.writeStructBegin("");
    m_out.writeFieldBegin("", protocol::T_BOOL, 1);
    m_out.writeBool(true);
    m_out.writeFieldStop();
    m_out.writeStructEnd();
    m_out.writeListEnd();
  }

  void Value(protocol::TType type) {
    switch (type) {
      case protocol::T_BOOL:
        return Flag();
      case protocol::T_I32:
        return Same<std::int32_t>(&Protocol::readI32, &Protocol::writeI32);
      case protocol::T_I64:
        return Same<std::int64_t>(&Protocol::readI64, &Protocol::writeI64);
      case protocol::T_STRUCT:
        return Struct();
      case protocol::T_LIST:
        return List();
      case protocol::T_MAP:
        return Map();
      default: {
        std::string text;
        m_in.readBinary(text);
        m_out.writeBinary(text);
      }
    }
  }

  void Flag() {
    bool value = false;
    m_in.readBool(value);
    m_out.writeBool(value);
  }

  template <typename T, typename Read, typename Write>
  void Same(Read read, Write write) {
    T value{};
    (m_in.*read)(value);
    (m_out.*write)(value);
  }

  void List() {
    protocol::TType element{};
    std::uint32_t size = 0;
    m_in.readListBegin(element, size);
    m_out.writeListBegin(element, size);
    for (std::uint32_t i = 0; i < size; ++i) Value(element);
    m_in.readListEnd();
    m_out.writeListEnd();
  }

  void Map() {
    protocol::TType key{};
    protocol::TType value{};
    std::uint32_t size = 0;
    m_in.readMapBegin(key, value, size);
    m_out.writeMapBegin(key, value, size);
    for (std::uint32_t i = 0; i < size; ++i) {
      Value(key);
      Value(value);
    }
    m_in.readMapEnd();
    m_out.writeMapEnd();
  }

  using Protocol = protocol::TCompactProtocolT<Transport>;
  std::string m_source;
  std::shared_ptr<Transport> m_from;
  std::shared_ptr<Transport> m_to;
  Protocol m_in{m_from};
  Protocol m_out{m_to};
  bool m_add = false;
  int m_left_out = -1;
  int m_fields = 0;
};

// An envelope with a body that no version knows; its id is 7.
inline std::string UnknownMessage() {
  auto buffer = std::make_shared<Transport>();
  protocol::TCompactProtocolT<Transport> out(buffer);
  out.writeStructBegin("");
  out.writeFieldBegin("", protocol::T_I32, 1);
  out.writeI32(2);
  out.writeFieldBegin("", protocol::T_I64, 2);
  out.writeI64(7);
  out.writeFieldBegin("", protocol::T_STRUCT, 4);
  out.writeStructBegin("");
  out.writeFieldBegin("", protocol::T_STRUCT, 200);
  out.writeStructBegin("");
  out.writeFieldBegin("", protocol::T_STRING, 1);
  out.writeString(std::string("text"));
  for (int open = 0; open < 3; ++open) {
    out.writeFieldStop();
    out.writeStructEnd();
  }
  return buffer->getBufferAsString();
}

}  // namespace hickoryquay::service::samples
