// The client of the inner protocol on an event loop that other work keeps busy.

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <thread>

#include "hickoryquay/inner/channel.h"
#include "tests/inner/waiting_server.h"

namespace hickoryquay::inner {
namespace {

constexpr std::chrono::seconds kPatience{20};  // A test that waits this long has failed.

class InnerBusyLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InnerBusyLoopTest);
  CPPUNIT_TEST(AnswersThatWaitUnreadAreNoSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that was late taking its peers for silent, and cutting connections that hold their
  // answers.
  void AnswersThatWaitUnreadAreNoSilence() {
    constexpr int kPeers = 250;  // More than the loop takes from the kernel at a time.
    constexpr Millis kLimit{2'000};
    constexpr std::chrono::milliseconds kLook{5};
    WaitingServer server;
    boost::asio::io_context io;
    InnerClient client(&io);
    int answered = 0;
    int ended = 0;
    const auto sent = std::chrono::steady_clock::now();
    for (int i = 0; i < kPeers; ++i) {
      client.Call(server.Peer(i), wire::JobNotice(), kLimit, [&](const Result<Message, InnerError>& answer) {
        if (Ok(answer)) ++answered;
        if (++ended == kPeers) io.stop();
      });
    }
    const auto late = sent + std::chrono::milliseconds(kLimit.count()) + std::chrono::milliseconds(500);
    boost::asio::steady_timer look(io);
    std::function<void()> block_when_sent = [&] {
      look.expires_after(kLook);
      look.async_wait([&](const boost::system::error_code&) {
        if (server.Received() < kPeers) return block_when_sent();
        server.AnswerAll();
        std::this_thread::sleep_until(late);
      });
    };
    block_when_sent();
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(kPeers, ended);
    CPPUNIT_ASSERT_EQUAL(kPeers, answered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InnerBusyLoopTest);

}  // namespace
}  // namespace hickoryquay::inner
