// A found case that is not mended, see KNOWN-RED.txt.

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <thread>

#include "hickoryquay/inner/channel.h"
#include "tests/inner/waiting_server.h"

namespace hickoryquay::inner {
namespace {

constexpr std::chrono::seconds kPatience{20};  // A test that waits this long has failed.

class ConnectOpenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectOpenTest);
  CPPUNIT_TEST(ConnectionsThatAreMadeUnnoticedAreNoSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against peers taken for silent by a process that was busy right after its first calls to them.
  void ConnectionsThatAreMadeUnnoticedAreNoSilence() {
    constexpr int kPeers = 250;
    constexpr Millis kLimit{600};
    constexpr std::chrono::milliseconds kBlocked{900};
    WaitingServer server;
    boost::asio::io_context io;
    InnerClient client(&io);
    int answered = 0;
    int ended = 0;
    for (int i = 0; i < kPeers; ++i) {
      client.Call(server.Peer(i), wire::JobNotice(), kLimit, [&](const Result<Message, InnerError>& answer) {
        if (Ok(answer)) ++answered;
        if (++ended == kPeers) io.stop();
      });
    }
    boost::asio::steady_timer block(io, std::chrono::milliseconds(0));
    block.async_wait([&](const boost::system::error_code&) {
      boost::asio::post(io, [&] { std::this_thread::sleep_for(kBlocked); });
    });
    boost::asio::steady_timer look(io);
    std::function<void()> answer = [&] {
      look.expires_after(std::chrono::milliseconds(5));
      look.async_wait([&](const boost::system::error_code&) {
        server.AnswerAll();
        answer();
      });
    };
    answer();
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(kPeers, ended);
    CPPUNIT_ASSERT_EQUAL(kPeers, answered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectOpenTest);

}  // namespace
}  // namespace hickoryquay::inner
