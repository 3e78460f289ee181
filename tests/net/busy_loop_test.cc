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
#include <memory>
#include <string>
#include <thread>

#include "hickoryquay/net/http.h"

namespace hickoryquay::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kPatience{20};  // A test that waits this long has failed.

// Answers each connection's first request from a thread of its own, after a pause.
class ThreadedServer {
 public:
  ThreadedServer(std::string body, Millis pause)
      : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
        m_pause(pause) {
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

 private:
  struct Session {
    explicit Session(tcp::socket socket) : m_socket(std::move(socket)), m_timer(m_socket.get_executor()) {}
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 4096> m_request{};
  };

  void Accept() {
    m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      const auto session = std::make_shared<Session>(std::move(socket));
      session->m_socket.async_read_some(asio::buffer(session->m_request),
                                        [this, session](const error_code& failed, std::size_t) {
                                          if (!failed) AnswerLater(session);
                                        });
      Accept();
    });
  }
  void AnswerLater(const std::shared_ptr<Session>& session) {
    ++m_requests;
    session->m_timer.expires_after(m_pause);
    session->m_timer.async_wait([this, session](const error_code&) {
      asio::async_write(session->m_socket, asio::buffer(m_answer), [session](const error_code&, std::size_t) {});
    });
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor{m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::string m_answer;
  Millis m_pause;
  std::atomic<int> m_requests{0};
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
    ThreadedServer server(std::string(kBytes, 'x'), Millis{0});
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
    constexpr Millis kLimit{300};
    constexpr std::chrono::milliseconds kSent{100};  // Until all requests are sent.
    constexpr std::chrono::milliseconds kBlocked{600};
    ThreadedServer server("{}", Millis{150});
    asio::io_context io;
    ClientSettings settings;
    settings.m_max_connections_per_endpoint = kCalls;
    HttpClient client(&io, settings);
    int answered = 0;
    int ended = 0;
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
    asio::steady_timer block(io, kSent);
    block.async_wait([&](const error_code&) { std::this_thread::sleep_for(kBlocked); });
    io.run_for(kPatience);
    CPPUNIT_ASSERT_EQUAL(kCalls, ended);
    CPPUNIT_ASSERT_EQUAL(kCalls, answered);
  }

  // Guards against starts that leave long after they were decided, since their connection was opened meanwhile.
  void NothingIsSentAfterItsTime() {
    ThreadedServer server("{}", Millis{0});
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
    ThreadedServer server("{}", Millis{0});
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
