#include "hickoryquay/inner/channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>
#include <vector>

namespace hickoryquay::inner {
namespace {

using Outcome = Result<Message, InnerError>;
constexpr Millis kLong{10'000};
constexpr Millis kShort{100};

// Answers the first call on its only connection, in parts with pauses, and stops after some of them.
class SlowPeer {
 public:
  static constexpr Millis kPause{10};
  static constexpr int kParts = 100;
  static constexpr Millis kLimit{400};  // Of a call: longer than a pause on a busy machine, shorter than the answer.
  static constexpr std::size_t kBytes = 400'000;

  explicit SlowPeer(int parts) : m_thread([this, parts] { Serve(parts); }) {}
  ~SlowPeer() {
    m_over.set_value();
    m_thread.join();
  }
  net::Endpoint Local() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

 private:
  void Serve(int parts) {
    boost::system::error_code error;
    m_acceptor.accept(m_socket, error);
    std::array<unsigned char, kLengthBytes> length{};
    boost::asio::read(m_socket, boost::asio::buffer(length), error);
    std::string body(length.back(), '\0');  // A notice is short.
    boost::asio::read(m_socket, boost::asio::buffer(body), error);
    const auto call = Decode(body);
    if (error || !Ok(call)) return;
    wire::StoreAnswer answer;
    answer.__set_body(std::string(kBytes, 'x'));
    const std::string bytes = Encode({kProtocol, ValueOf(call).m_id, true, answer});
    const std::size_t part = bytes.size() / kParts + 1;
    for (std::size_t sent = 0; sent < part * static_cast<std::size_t>(parts) && sent < bytes.size(); sent += part) {
      std::this_thread::sleep_for(kPause);
      boost::asio::write(m_socket, boost::asio::buffer(bytes.data() + sent, std::min(part, bytes.size() - sent)),
                         error);
    }
    m_over.get_future().wait();
  }

  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor{m_io, {boost::asio::ip::address_v4::loopback(), 0}};
  boost::asio::ip::tcp::socket m_socket{m_io};
  std::promise<void> m_over;
  std::thread m_thread;
};

class ChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(CallsAreAnsweredEachByItsOwn);
  CPPUNIT_TEST(UnknownMessageIsNotUnderstood);
  CPPUNIT_TEST(SilentPeerTimesOutAndIsReconnected);
  CPPUNIT_TEST(AbsentPeerGivesNoAnswer);
  CPPUNIT_TEST(OversizedFrameEndsOnlyItsConnection);
  CPPUNIT_TEST(LargeAnswerMayTakeLongerThanItsLimit);
  CPPUNIT_TEST(LargeAnswerThatStopsTimesOut);
  CPPUNIT_TEST(CallIsNotKeptByAnotherAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_server = std::make_unique<InnerServer>(&m_io, net::Endpoint{"127.0.0.1", 0},
                                             [this](Message message, const Answer& answer) {
                                               if (m_silent) return;
                                               answer(std::move(message));
                                             });
    m_client = std::make_unique<InnerClient>(&m_io);
    for (int i = 0; i < 2; ++i) m_threads.emplace_back([this] { m_io.run(); });
  }

  void tearDown() override {
    m_io.stop();
    for (std::thread& thread : m_threads) thread.join();
    m_threads.clear();
    m_client.reset();
    m_server.reset();
  }

  void CallsAreAnsweredEachByItsOwn() {
    std::vector<std::future<Outcome>> outcomes;
    constexpr int kCalls = 200;
    for (int i = 0; i < kCalls; ++i) outcomes.push_back(Call(m_server->Local(), Notice(i), kLong));
    for (int i = 0; i < kCalls; ++i) {
      const Outcome outcome = outcomes[static_cast<std::size_t>(i)].get();
      CPPUNIT_ASSERT(Ok(outcome));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{i}, std::get<wire::JobNotice>(ValueOf(outcome)).job);
    }
    CPPUNIT_ASSERT(m_client->Bytes().m_sent_bytes > 0);
    CPPUNIT_ASSERT(m_server->Bytes().m_received_bytes >= m_client->Bytes().m_received_bytes);
  }

  void UnknownMessageIsNotUnderstood() {
    const Outcome outcome = Call(m_server->Local(), std::monostate{}, kLong).get();
    CPPUNIT_ASSERT(!Ok(outcome));
    CPPUNIT_ASSERT(std::holds_alternative<NotUnderstood>(ErrorOf(outcome)));
  }

  void SilentPeerTimesOutAndIsReconnected() {
    m_silent = true;
    const Outcome lost = Call(m_server->Local(), Notice(1), kShort).get();
    CPPUNIT_ASSERT(std::holds_alternative<NoAnswer>(ErrorOf(lost)));
    m_silent = false;
    CPPUNIT_ASSERT(Ok(Call(m_server->Local(), Notice(2), kLong).get()));
  }

  void AbsentPeerGivesNoAnswer() {
    const Outcome outcome = Call({"127.0.0.1", 1}, Notice(1), kLong).get();
    CPPUNIT_ASSERT(std::holds_alternative<NoAnswer>(ErrorOf(outcome)));
  }

  void OversizedFrameEndsOnlyItsConnection() {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), m_server->Local().m_port});
    const std::string bytes("\xff\xff\xff\xff garbage", 12);
    boost::asio::write(socket, boost::asio::buffer(bytes));
    char byte = 0;
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(&byte, 1), error);
    CPPUNIT_ASSERT(error);  // Closed by the server.
    CPPUNIT_ASSERT(Ok(Call(m_server->Local(), Notice(3), kLong).get()));
  }

  // Guards against large documents and relayed answers of the store that never arrive over a small link.
  void LargeAnswerMayTakeLongerThanItsLimit() {
    SlowPeer peer(SlowPeer::kParts);
    const Outcome outcome = Call(peer.Local(), Notice(1), SlowPeer::kLimit).get();
    CPPUNIT_ASSERT(Ok(outcome));
    CPPUNIT_ASSERT_EQUAL(SlowPeer::kBytes, std::get<wire::StoreAnswer>(ValueOf(outcome)).body.size());
  }

  void LargeAnswerThatStopsTimesOut() {
    SlowPeer peer(SlowPeer::kParts / 2);
    const Outcome outcome = Call(peer.Local(), Notice(1), SlowPeer::kLimit).get();
    CPPUNIT_ASSERT(std::holds_alternative<NoAnswer>(ErrorOf(outcome)));
  }

  // The peer answers the first call only.
  void CallIsNotKeptByAnotherAnswer() {
    SlowPeer peer(SlowPeer::kParts);
    auto answered = Call(peer.Local(), Notice(1), SlowPeer::kLimit);
    auto lost = Call(peer.Local(), Notice(2), SlowPeer::kLimit);
    CPPUNIT_ASSERT(Ok(answered.get()));
    CPPUNIT_ASSERT(std::holds_alternative<NoAnswer>(ErrorOf(lost.get())));
  }

 private:
  static Message Notice(int job) {
    wire::JobNotice notice;
    notice.__set_job(job);
    return notice;
  }

  std::future<Outcome> Call(const net::Endpoint& to, Message message, Millis timeout) {
    auto promise = std::make_shared<std::promise<Outcome>>();
    m_client->Call(to, std::move(message), timeout,
                   [promise](Outcome outcome) { promise->set_value(std::move(outcome)); });
    return promise->get_future();
  }

  boost::asio::io_context m_io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_io.get_executor()};
  std::unique_ptr<InnerServer> m_server;
  std::unique_ptr<InnerClient> m_client;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_silent{false};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

}  // namespace
}  // namespace hickoryquay::inner
