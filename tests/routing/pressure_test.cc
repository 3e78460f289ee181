// What callers who take more than their part do to the others.

#include <cppunit/extensions/HelperMacros.h>

#include "tests/routing/loopback.h"

namespace hickoryquay::test {
namespace {

constexpr std::size_t kBodies = 100'000;
constexpr std::size_t kLong = 90'000;

class RequestPressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPressureTest);
  CPPUNIT_TEST(HalfBodyGivesWayToOthers);
  CPPUNIT_TEST(ChunkedBodyTakesWhatItSends);
  CPPUNIT_TEST(SilentConnectionsGiveWayToCallers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against half bodies that hold all memory for bodies until their time is over.
  void HalfBodyGivesWayToOthers() {
    Loopback loop(Small());
    loop.AddBackend("b-1");
    loop.Publish();
    const auto half = loop.Connect();
    half->Send("POST /serve/x HTTP/1.1\r\nContent-Length: " + std::to_string(kLong) + "\r\n\r\nx");
    loop.Settle();
    loop.Advance(Millis{2'000});
    const std::string request = ServeRequest("preview", "", "/confirm", std::string(kLong, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::string("out-of-memory"), loop.Ask(request).Reason());
    CPPUNIT_ASSERT(loop.Answered(*half));
    CPPUNIT_ASSERT_EQUAL(std::string("out-of-memory"), half->m_answers.at(0).Reason());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), half->m_answers.at(0).Header("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), loop.Ask(request).Outcome());
  }

  // Guards against chunked bodies that take the largest size there is with their head.
  void ChunkedBodyTakesWhatItSends() {
    Loopback loop(Small());
    loop.AddBackend("b-1");
    loop.Publish();
    const auto chunked = loop.Connect();
    chunked->Send("POST /serve/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    loop.Settle();
    const std::string request = ServeRequest("preview", "", "/confirm", std::string(kLong, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), loop.Ask(request).Outcome());
  }

  // Guards against connections that do nothing and shut every caller out.
  void SilentConnectionsGiveWayToCallers() {
    routing::RequestSettings settings;
    settings.m_max_connections = 2;
    Loopback loop(settings);
    loop.AddBackend("b-1");
    loop.Publish();
    const auto first = loop.Connect();
    loop.Settle();
    loop.Advance(Millis{10});
    const auto second = loop.Connect();
    loop.Settle();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), loop.Ask(ServeRequest("preview")).Outcome());
    CPPUNIT_ASSERT(first->m_closed && !second->m_closed);
  }

 private:
  static routing::RequestSettings Small() {
    routing::RequestSettings settings;
    settings.m_max_bodies_bytes = kBodies;
    settings.m_max_body_bytes = kBodies;
    return settings;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestPressureTest);

}  // namespace
}  // namespace hickoryquay::test
