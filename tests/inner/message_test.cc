#include "hickoryquay/inner/message.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "tests/property.h"

namespace hickoryquay::inner {
namespace {

class MessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageTest);
  CPPUNIT_TEST(FramesRoundTrip);
  CPPUNIT_TEST(ArbitraryBytesNeverThrow);
  CPPUNIT_TEST(TruncatedFramesAreBad);
  CPPUNIT_TEST(UnknownBodyIsEmpty);
  CPPUNIT_TEST(MessageOfALaterVersionIsEmpty);
  CPPUNIT_TEST(CancelledJobKeepsItsBytes);
  CPPUNIT_TEST(ListsOfTooManyElementsAreBad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FramesRoundTrip() {
    test::CheckProperty("encode and decode", [](std::int64_t id, bool answer) {
      const Frame frame{kProtocol, id, answer, *AnyMessage()};
      const auto decoded = Decode(Body(Encode(frame)));
      RC_ASSERT(Ok(decoded));
      RC_ASSERT(ValueOf(decoded).m_id == id);
      RC_ASSERT(ValueOf(decoded).m_answer == answer);
      RC_ASSERT(ValueOf(decoded).m_message == frame.m_message);
    });
  }

  void ArbitraryBytesNeverThrow() {
    test::CheckProperty("decoding anything", [](const std::string& bytes) { RC_CLASSIFY(Ok(Decode(bytes))); });
  }

  // Guards against a frame of some bytes that announces millions of elements and takes memory for all of them.
  void ListsOfTooManyElementsAreBad() {
    for (const int count : {kMaxElements, kMaxElements + 1}) {
      wire::LeaderBeat beat;
      beat.__set_pass_on(std::vector<std::string>(static_cast<std::size_t>(count)));
      CPPUNIT_ASSERT_EQUAL(count == kMaxElements, Ok(Decode(Body(Encode({kProtocol, 1, false, beat})))));
    }
  }

  void TruncatedFramesAreBad() {
    test::CheckProperty("cut frames", [] {
      const std::string body(Body(Encode({kProtocol, 1, false, *AnyMessage()})));
      const auto length = *rc::gen::inRange<std::size_t>(0, body.size());
      RC_ASSERT(!Ok(Decode(body.substr(0, length))));
    });
  }

  // What a newer version might send: a body field that this build doesn't know.
  void UnknownBodyIsEmpty() {
    const auto decoded = Decode(Body(Encode({kProtocol + 1, 4, false, std::monostate{}})));
    CPPUNIT_ASSERT(Ok(decoded));
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(ValueOf(decoded).m_message));
    CPPUNIT_ASSERT_EQUAL(kProtocol + 1, ValueOf(decoded).m_protocol);
  }

  // Guards against a bad frame, which ends the connection, where a later version sends a message of its own.
  void MessageOfALaterVersionIsEmpty() {
    const auto decoded = Decode(LaterMessage());
    CPPUNIT_ASSERT(Ok(decoded));
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(ValueOf(decoded).m_message));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, ValueOf(decoded).m_id);
  }

  // Guards against other numbers of the fields: two versions that run side by side exchange this message.
  void CancelledJobKeepsItsBytes() {
    wire::CancelledJob cancelled;
    cancelled.__set_job(0x1f);
    cancelled.__set_version(1'234);
    const std::string bytes("\x00\x00\x00\x10\x15\x02\x16\x9a\x01\x12\x1c\xdc\x16\x3e\x16\xa4\x13\x00\x00\x00", 20);
    CPPUNIT_ASSERT(bytes == Encode({kProtocol, 77, false, cancelled}));
  }

 private:
  static std::string Body(const std::string& bytes) { return bytes.substr(kLengthBytes); }

  // An envelope with the body field 200, a struct of a number and a text.
  static std::string LaterMessage() {
    namespace protocol = apache::thrift::protocol;
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    protocol::TCompactProtocol out(buffer);
    out.writeFieldBegin("protocol", protocol::T_I32, 1);
    out.writeI32(kProtocol + 1);
    out.writeFieldBegin("id", protocol::T_I64, 2);
    out.writeI64(7);
    out.writeFieldBegin("body", protocol::T_STRUCT, 4);
    out.writeStructBegin("Body");
    out.writeFieldBegin("later", protocol::T_STRUCT, 200);
    out.writeStructBegin("Later");
    out.writeFieldBegin("number", protocol::T_I64, 1);
    out.writeI64(1);
    out.writeFieldBegin("text", protocol::T_STRING, 2);
    out.writeString(std::string("text"));
    for (int open = 0; open < 2; ++open) {
      out.writeFieldStop();
      out.writeStructEnd();
    }
    out.writeFieldStop();
    return buffer->getBufferAsString();
  }

  static rc::Gen<Message> AnyMessage() {
    return rc::gen::exec([]() -> Message {
      switch (*rc::gen::inRange(0, 6)) {
        case 0: {
          wire::Heartbeat heartbeat;
          heartbeat.__set_instance(*rc::gen::arbitrary<std::string>());
          heartbeat.__set_sequence(*rc::gen::arbitrary<std::int64_t>());
          heartbeat.__set_leaving(*rc::gen::arbitrary<bool>());
          return heartbeat;
        }
        case 1: {
          wire::ConfigurationPull pull;
          pull.__set_versions(*rc::gen::arbitrary<std::map<std::string, std::int64_t>>());
          return pull;
        }
        case 2: {
          wire::JobNotice notice;
          notice.__set_job(*rc::gen::arbitrary<std::int64_t>());
          notice.__set_cancelled(*rc::gen::arbitrary<bool>());
          return notice;
        }
        case 3: {
          wire::AcceptedJob accepted;
          accepted.__set_job(*rc::gen::arbitrary<std::int64_t>());
          accepted.__set_row(*rc::gen::arbitrary<std::string>());
          accepted.__set_version(*rc::gen::arbitrary<std::int64_t>());
          return accepted;
        }
        case 4: {
          wire::CancelledJob cancelled;
          cancelled.__set_job(*rc::gen::arbitrary<std::int64_t>());
          cancelled.__set_version(*rc::gen::arbitrary<std::int64_t>());
          return cancelled;
        }
        default: {
          wire::StateAnswer answer;
          answer.__set_known(*rc::gen::arbitrary<bool>());
          answer.__set_json(*rc::gen::arbitrary<std::string>());
          return answer;
        }
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageTest);

}  // namespace
}  // namespace hickoryquay::inner
