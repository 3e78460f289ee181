#include "hickoryquay/inner/message.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace hickoryquay::inner {

namespace {

namespace thrift = apache::thrift;
using thrift::transport::TMemoryBuffer;
using Protocol = thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr int kMaxNesting = 16;

// One row a field of wire::Body: how it is put in and taken out.
struct BodyField {
  bool (*m_put)(const Message&, wire::Body*);
  bool (*m_take)(wire::Body*, Message*);
};

template <typename T, T wire::Body::*Field, void (wire::Body::*Set)(const T&), bool (*IsSet)(const wire::Body&)>
constexpr BodyField MakeField() {
  return BodyField{[](const Message& message, wire::Body* body) {
                     const T* value = std::get_if<T>(&message);
                     if (value != nullptr) (body->*Set)(*value);
                     return value != nullptr;
                   },
                   [](wire::Body* body, Message* message) {
                     if (!IsSet(*body)) return false;
                     *message = std::move(body->*Field);
                     return true;
                   }};
}

// Bit-fields have no addresses, so each needs a function of its own.
bool HasHeartbeat(const wire::Body& body) {
  return body.__isset.heartbeat;
}
bool HasPull(const wire::Body& body) {
  return body.__isset.configuration_pull;
}
bool HasDocuments(const wire::Body& body) {
  return body.__isset.configuration_documents;
}
bool HasNotice(const wire::Body& body) {
  return body.__isset.job_notice;
}
bool HasQuery(const wire::Body& body) {
  return body.__isset.state_query;
}
bool HasStateAnswer(const wire::Body& body) {
  return body.__isset.state_answer;
}
bool HasAcknowledged(const wire::Body& body) {
  return body.__isset.acknowledged;
}
bool HasUnsupported(const wire::Body& body) {
  return body.__isset.unsupported;
}
bool HasLeaderBeat(const wire::Body& body) {
  return body.__isset.leader_beat;
}
bool HasStoreCall(const wire::Body& body) {
  return body.__isset.store_call;
}
bool HasStoreAnswer(const wire::Body& body) {
  return body.__isset.store_answer;
}
bool HasAcceptedJob(const wire::Body& body) {
  return body.__isset.accepted_job;
}
bool HasCancelledJob(const wire::Body& body) {
  return body.__isset.cancelled_job;
}

using B = wire::Body;
constexpr BodyField kFields[] = {
    MakeField<wire::Heartbeat, &B::heartbeat, &B::__set_heartbeat, &HasHeartbeat>(),
    MakeField<wire::ConfigurationPull, &B::configuration_pull, &B::__set_configuration_pull, &HasPull>(),
    MakeField<wire::ConfigurationDocuments, &B::configuration_documents, &B::__set_configuration_documents,
              &HasDocuments>(),
    MakeField<wire::JobNotice, &B::job_notice, &B::__set_job_notice, &HasNotice>(),
    MakeField<wire::StateQuery, &B::state_query, &B::__set_state_query, &HasQuery>(),
    MakeField<wire::StateAnswer, &B::state_answer, &B::__set_state_answer, &HasStateAnswer>(),
    MakeField<wire::Acknowledged, &B::acknowledged, &B::__set_acknowledged, &HasAcknowledged>(),
    MakeField<wire::Unsupported, &B::unsupported, &B::__set_unsupported, &HasUnsupported>(),
    MakeField<wire::LeaderBeat, &B::leader_beat, &B::__set_leader_beat, &HasLeaderBeat>(),
    MakeField<wire::StoreCall, &B::store_call, &B::__set_store_call, &HasStoreCall>(),
    MakeField<wire::StoreAnswer, &B::store_answer, &B::__set_store_answer, &HasStoreAnswer>(),
    MakeField<wire::AcceptedJob, &B::accepted_job, &B::__set_accepted_job, &HasAcceptedJob>(),
    MakeField<wire::CancelledJob, &B::cancelled_job, &B::__set_cancelled_job, &HasCancelledJob>()};

std::shared_ptr<thrift::TConfiguration> Limits() {
  return std::make_shared<thrift::TConfiguration>(kMaxFrameBytes, kMaxFrameBytes, kMaxNesting);
}

void AppendLength(std::uint32_t length, std::string* out) {
  for (int shift = 24; shift >= 0; shift -= 8) out->push_back(static_cast<char>((length >> shift) & 0xff));
}

}  // namespace

std::string Encode(const Frame& frame) {
  wire::Envelope envelope;
  envelope.__set_protocol(frame.m_protocol);
  envelope.__set_id(frame.m_id);
  envelope.__set_answer(frame.m_answer);
  wire::Body body;
  for (const BodyField& field : kFields) {
    if (field.m_put(frame.m_message, &body)) break;
  }
  envelope.__set_body(body);

  auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  envelope.write(&protocol);
  const std::string payload = buffer->getBufferAsString();
  std::string bytes;
  bytes.reserve(kLengthBytes + payload.size());
  AppendLength(static_cast<std::uint32_t>(payload.size()), &bytes);
  return bytes + payload;
}

Result<Frame, BadFrame> Decode(std::string_view bytes) {
  wire::Envelope envelope;
  try {
    std::string copy(bytes);
    auto buffer =
        std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(copy.data()),
                                        static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE, Limits());
    Protocol protocol(buffer, static_cast<int>(kMaxFrameBytes), kMaxElements);
    envelope.read(&protocol);
  } catch (const std::exception& error) {
    return BadFrame{error.what()};
  }
  Frame frame{envelope.protocol, envelope.id, envelope.answer, std::monostate{}};
  for (const BodyField& field : kFields) {
    if (field.m_take(&envelope.body, &frame.m_message)) break;
  }
  return frame;
}

}  // namespace hickoryquay::inner
