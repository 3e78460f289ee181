// What a server does when clients take more than there is: whose body gives way, which connection does, and that a
// refused client can read why.

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

#include "hickoryquay/net/arrivals.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kBudget = 100'000;
constexpr std::uint64_t kBody = 60'000;

class PressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PressureTest);
  CPPUNIT_TEST(SlowestBodyGivesWay);
  CPPUNIT_TEST(YoungBodyIsSpared);
  CPPUNIT_TEST(SmallBodyAlwaysFindsRoom);
  CPPUNIT_TEST(ClientThatStillSendsReadsItsRefusal);
  CPPUNIT_TEST(UnservableHeadIsRefusedBeforeItsBody);
  CPPUNIT_TEST(SilentConnectionMakesRoomForANewOne);
  CPPUNIT_TEST(HeadOfEndlessFieldsIsRefused);
  CPPUNIT_TEST(TrailersCountWithTheHead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against bodies that stop halfway and keep others out.
  void SlowestBodyGivesWay() {
    Body fast(&m_arrivals);
    Body slow(&m_arrivals);
    CPPUNIT_ASSERT(fast.Take(40'000) && slow.Take(40'000));
    fast.m_arrival->m_received = 39'000;
    slow.m_arrival->m_received = 1'000;
    m_clock.Advance(2 * Arrivals::kSpared);
    Body late(&m_arrivals);
    CPPUNIT_ASSERT(!late.Take(40'000));
    CPPUNIT_ASSERT(slow.m_gave_up && !fast.m_gave_up);
    slow.m_hold.Release();
    CPPUNIT_ASSERT(late.Take(40'000));
  }

  // Guards against bodies that push each other out before any of them is whole.
  void YoungBodyIsSpared() {
    Body young(&m_arrivals);
    CPPUNIT_ASSERT(young.Take(kBody));
    m_clock.Advance(Arrivals::kSpared - Millis{1});
    Body late(&m_arrivals);
    CPPUNIT_ASSERT(!late.Take(kBody) && !young.m_gave_up);
  }

  // Guards against ordinary requests refused for want of the memory that large bodies hold.
  void SmallBodyAlwaysFindsRoom() {
    Body large(&m_arrivals);
    CPPUNIT_ASSERT(large.Take(kBudget));
    Body small(&m_arrivals);
    CPPUNIT_ASSERT(small.Take(MemoryHold::kUncounted));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, small.m_hold.Bytes());
  }

  // Guards against a reset of the connection that loses the refusal: more is sent than the socket's buffers take.
  void ClientThatStillSendsReadsItsRefusal() {
    Serve({});
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), SendLong("Content-Length: 2000000\r\n\r\n", 900'000));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"),
                         SendLong("Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 900'000));
    CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
  }

  // Guards against bodies that are received for a route or a key that does not exist.
  void UnservableHeadIsRefusedBeforeItsBody() {
    ServerSettings settings;
    settings.m_check_head = [](const HttpRequest& head) {
      return HeadVerdict{1'000'000, head.m_target == "/known" ? std::nullopt : std::optional(JsonError(404, "no", ""))};
    };
    Serve(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 404"), SendLong("Content-Length: 900000\r\n\r\n", 10));
  }

  // Guards against connections that do nothing and shut every caller out.
  void SilentConnectionMakesRoomForANewOne() {
    ServerSettings settings;
    settings.m_max_connections = 2;
    Serve(settings);
    tcp::socket first = Connect();
    tcp::socket second = Connect();
    tcp::socket third = Connect();
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), Ask(&third));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), Ask(&second));
    char byte = 0;
    boost::system::error_code error;
    asio::read(first, asio::buffer(&byte, 1), error);
    CPPUNIT_ASSERT(error);  // It was closed.
  }

  // Guards against heads that take 20 times their text and never end: each field was taken in as it came.
  void HeadOfEndlessFieldsIsRefused() {
    Serve({});
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), SendAll("GET / HTTP/1.1\r\nHost: h\r\n" + Fields(16'384)));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), SendAll("GET / HTTP/1.1\r\nHost: h\r\n" + Fields(128) + "\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), SendAll("GET / HTTP/1.1\r\nHost: h\r\n" + Fields(127) + "\r\n"));
    CPPUNIT_ASSERT_EQUAL(1, m_handled.load());
  }

  // The same behind a body.
  void TrailersCountWithTheHead() {
    Serve({});
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), SendAll(request + Fields(20) + "\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), SendAll(request + Fields(200) + "\r\n"));
    CPPUNIT_ASSERT_EQUAL(1, m_handled.load());
  }

  void tearDown() override {
    if (!m_thread.joinable()) return;
    m_io.stop();
    m_thread.join();
  }

 private:
  struct Body {
    explicit Body(Arrivals* arrivals)
        : m_arrivals(arrivals), m_arrival(arrivals->Begin([this] { m_gave_up = true; })) {}
    bool Take(std::uint64_t bytes) { return m_arrivals->Take(bytes, m_arrival.get(), &m_hold); }

    Arrivals* m_arrivals;
    bool m_gave_up = false;
    std::shared_ptr<Arrival> m_arrival;
    MemoryHold m_hold;
  };

  void Serve(ServerSettings settings) {
    settings.m_arrivals = std::make_shared<Arrivals>(std::make_shared<MemoryBudget>(kBudget), &m_clock);
    m_server.emplace(&m_io, settings, [this](const HttpRequest&, const Responder& respond) {
      ++m_handled;
      respond(JsonResponse(200, "{}"));
    });
    m_thread = std::thread([this] { m_io.run(); });
  }

  tcp::socket Connect() {
    tcp::socket socket(m_own);
    socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_server->Local().m_port));
    return socket;
  }

  // The begin of the status line.
  static std::string Status(tcp::socket* socket) {
    std::string status(12, ' ');
    asio::read(*socket, asio::buffer(status));
    return status;
  }

  static std::string Ask(tcp::socket* socket) {
    asio::write(*socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    return Status(socket);
  }

  static std::string Fields(int count) {
    std::string fields;
    for (int i = 0; i < count; ++i) fields += "a:\r\n";
    return fields;
  }

  // Sends this and no more.
  std::string SendAll(const std::string& text) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(text));
    socket.shutdown(tcp::socket::shutdown_send);
    return Status(&socket);
  }

  std::string SendLong(const std::string& rest_of_head, std::size_t body) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer("POST /other HTTP/1.1\r\nHost: h\r\n" + rest_of_head));
    asio::write(socket, asio::buffer(std::string(body, 'x')));
    return Status(&socket);
  }

  ManualClock m_clock;
  Arrivals m_arrivals{std::make_shared<MemoryBudget>(kBudget), &m_clock};
  asio::io_context m_own;
  asio::io_context m_io;
  std::optional<HttpServer> m_server;
  std::thread m_thread;
  std::atomic<int> m_handled{0};
};
CPPUNIT_TEST_SUITE_REGISTRATION(PressureTest);

}  // namespace
}  // namespace hickoryquay::net
