// The HTTP client on an event loop that other work keeps busy.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hickoryquay/net/http.h"

namespace hickoryquay::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kPatience{20};  // A test that waits this long has failed.

// Answers each connection's first request from a thread of its own, at once or when told to.
class ThreadedServer {
 public:
  enum class Manner { kAtOnce, kWhenTold };

  explicit ThreadedServer(std::string body, Manner manner = Manner::kAtOnce)
      : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
        m_manner(manner) {
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~ThreadedServer() {
    m_io.stop();
    m_thread.join();
  }
  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;
  Endpoint Local() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
  int Requests() const { return m_requests; }
  int Answers() const { return m_answers; }
  void AnswerAll() {
    asio::post(m_io, [this] {
      for (const auto& session : std::exchange(m_waiting, {})) Answer(session);
    });
  }

 private:
  struct Session {
    explicit Session(tcp::socket socket) : m_socket(std::move(socket)) {}
    tcp::socket m_socket;
    std::array<char, 4096> m_request{};
  };

  void Accept() {
    m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      const auto session = std::make_shared<Session>(std::move(socket));
      session->m_socket.async_read_some(asio::buffer(session->m_request),
                                        [this, session](const error_code& failed, std::size_t) {
                                          if (!failed) OnRequest(session);
                                        });
      Accept();
    });
  }
  void OnRequest(const std::shared_ptr<Session>& session) {
    if (m_manner == Manner::kAtOnce) Answer(session);
    if (m_manner == Manner::kWhenTold) m_waiting.push_back(session);
    ++m_requests;
  }
  void Answer(const std::shared_ptr<Session>& session) {
    asio::async_write(session->m_socket, asio::buffer(m_answer), [this, session](const error_code& error, std::size_t) {
      if (!error) ++m_answers;
    });
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor{m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string m_answer;
  Manner m_manner;
  std::vector<std::shared_ptr<Session>> m_waiting;  // Of the thread.
  std::atomic<int> m_requests{0};
  std::atomic<int> m_answers{0};
  std::thread m_thread;
};

class BusyLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BusyLoopTest);
  CPPUNIT_TEST(LargeAnswerIsReadInFewPieces);
  CPPUNIT_TEST(AnswersThatWaitUnreadAreNoTimeouts);
  CPPUNIT_TEST(NothingIsSentAfterItsTime);
  CPPUNIT_TEST(CallWithoutTimeIsAnsweredLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against feeds that fall behind on a busy loop: each piece of an answer waits for a turn of the loop.
  void LargeAnswerIsReadInFewPieces() {
    constexpr std::size_t kBytes = 300'000;
    constexpr int kMostPieces = 60;
    ThreadedServer server(std::string(kBytes, 'x'));
    asio::io_context io;
    HttpClient client(&io, ClientSettings{});
    HttpRequest request = LargeRead("/rows");
    int pieces = 0;
    request.m_on_progress = [&pieces](int) { ++pieces; };
    std::size_t received = 0;
    client.Send(server.Local(), std::move(request), Millis{10'000}, [&](const Result<HttpResponse, NetError>& answer) {
      if (Ok(answer)) received = ValueOf(answer).m_body.size();
      io.stop();
    });
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(kBytes, received);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(pieces) + " pieces", pieces <= kMostPieces);
  }

  // Guards against a process that was late taking the answers that it has not read yet for silence of its peers.
  void AnswersThatWaitUnreadAreNoTimeouts() {
    constexpr int kCalls = 300;  // More than the loop takes from the kernel at a time.
    constexpr Millis kLimit{2'000};
    constexpr std::chrono::milliseconds kLook{5};
    ThreadedServer server("{}", ThreadedServer::Manner::kWhenTold);
    asio::io_context io;
    ClientSettings settings;
    settings.m_max_connections_per_endpoint = kCalls;
    HttpClient client(&io, settings);
    int answered = 0;
    int ended = 0;
    const auto sent = std::chrono::steady_clock::now();
    for (int i = 0; i < kCalls; ++i) {
      HttpRequest request;
      request.m_method = "POST";
      request.m_target = "/poll";
      request.m_body = "{}";
      client.Send(server.Local(), std::move(request), kLimit, [&](const Result<HttpResponse, NetError>& answer) {
        if (Ok(answer)) ++answered;
        if (++ended == kCalls) io.stop();
      });
    }
    const auto late = sent + std::chrono::milliseconds(kLimit.count()) + std::chrono::milliseconds(500);
    asio::steady_timer look(io);
    std::function<void()> block_when_sent = [&] {
      look.expires_after(kLook);
      look.async_wait([&](const error_code&) {
        if (server.Requests() < kCalls) return block_when_sent();
        server.AnswerAll();
        std::this_thread::sleep_until(late);
      });
    };
    block_when_sent();
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(kCalls, server.Answers());
    CPPUNIT_ASSERT_EQUAL(kCalls, ended);
    CPPUNIT_ASSERT_EQUAL(kCalls, answered);
  }

  // Guards against starts that leave long after they were decided, since their connection was opened meanwhile.
  void NothingIsSentAfterItsTime() {
    ThreadedServer server("{}");
    asio::io_context io;
    HttpClient client(&io, ClientSettings{});
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/start";
    bool sent = true;
    client.Send(server.Local(), std::move(request), Millis{200}, [&](const Result<HttpResponse, NetError>& answer) {
      sent = Ok(answer) || MaybeSent(ErrorOf(answer));
      io.stop();
    });
    asio::post(io, [] { std::this_thread::sleep_for(std::chrono::milliseconds(600)); });
    io.run_for(kPatience);
    CPPUNIT_ASSERT(!sent);
    CPPUNIT_ASSERT_EQUAL(0, server.Requests());
  }

  // Guards against callers that are called back before their call has returned.
  void CallWithoutTimeIsAnsweredLater() {
    ThreadedServer server("{}");
    asio::io_context io;
    HttpClient client(&io, ClientSettings{});
    bool inside = false;
    bool answered_inside = false;
    int left = 2;
    const auto send = [&](const Millis timeout, const auto& then) {
      HttpRequest request;
      request.m_method = "GET";
      request.m_target = "/";
      inside = true;
      client.Send(server.Local(), std::move(request), timeout, [&, then](const Result<HttpResponse, NetError>&) {
        answered_inside = answered_inside || inside;
        if (--left == 0) io.stop();
        then();
      });
      inside = false;
    };
    // The second call finds an open connection and has no time to use it.
    asio::post(io, [&] { send(Millis{5'000}, [&] { asio::post(io, [&] { send(Millis{0}, [] {}); }); }); });
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(0, left);
    CPPUNIT_ASSERT(!answered_inside);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BusyLoopTest);

}  // namespace
}  // namespace hickoryquay::net
