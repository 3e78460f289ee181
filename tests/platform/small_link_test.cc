// Rows larger than a small link carries in the time of one call, over real sockets.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "hickoryquay/base/asio_timer_service.h"
#include "hickoryquay/service/job_service.h"
#include "hickoryquay/service/store_relay.h"
#include "hickoryquay/store/adaptive_store.h"
#include "hickoryquay/store/table_follower.h"
#include "platform/names.h"
#include "platform/row_store_client.h"

namespace hickoryquay::platform {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::int64_t kLinkBytesPerMs = 1'250;     // 10 Mbit/s.
constexpr std::size_t kRowBytes = 2'000'000;        // In base64, more than the link carries in the time of a call.
constexpr std::int64_t kChunkBytes = 12'500;        // Handed to the link at a time.
constexpr std::chrono::milliseconds kFeedPoll{20};  // How soon a waiting feed sees a change.
constexpr std::chrono::seconds kPatience{8};
constexpr const char* kTable = "op";

// The platform's store with one row, behind a link that all answers share.
class PacedStore {
 public:
  explicit PacedStore(asio::io_context* io)
      : m_io(io), m_acceptor(*io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }
  net::Endpoint Local() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
  void Put(std::size_t bytes) {
    ++m_version;
    m_value = std::string(bytes / 4 * 4, 'A');
  }
  std::int64_t Carried() const { return m_carried; }

 private:
  struct Session {
    explicit Session(tcp::socket socket) : m_socket(std::move(socket)), m_timer(m_socket.get_executor()) {}
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<char, 4096> m_read{};
    std::string m_answer;
    std::size_t m_written = 0;
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept() {
    m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      Serve(std::make_shared<Session>(std::move(socket)));
      Accept();
    });
  }

  // One call a read: they are small.
  void Serve(const SessionPtr& session) {
    session->m_socket.async_read_some(
        asio::buffer(session->m_read), [this, session](const error_code& error, std::size_t size) {
          if (error) return;
          const std::string head(session->m_read.data(), size);
          const std::size_t begin = head.find(' ') + 1;
          const net::Target target = net::ParseTarget(head.substr(begin, head.find(' ', begin) - begin));
          const bool feed = target.m_path == names::kFeedPath;
          const std::string wait = net::QueryValue(target, names::kWaitMs);
          Answer(session, feed ? std::stoll(net::QueryValue(target, names::kAfter)) : 0,
                 std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait)));
        });
  }

  void Answer(const SessionPtr& session, std::int64_t after, std::chrono::milliseconds wait) {
    if (after >= m_version && wait.count() > 0) {
      session->m_timer.expires_after(kFeedPoll);
      return session->m_timer.async_wait(
          [this, session, after, wait](const error_code&) { Answer(session, after, wait - kFeedPoll); });
    }
    json::array rows;
    if (after < m_version) {
      rows.push_back(json::object{{names::kTable, kTable},
                                  {names::kPart, ""},
                                  {names::kKey, names::kConfigurationKey},
                                  {names::kValue, m_value},
                                  {names::kRowVersion, m_version}});
    }
    const std::string body =
        json::serialize(json::object{{names::kRows, std::move(rows)}, {names::kRowVersion, m_version}});
    session->m_answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    session->m_written = 0;
    WriteChunk(session);
  }

  void WriteChunk(const SessionPtr& session) {
    const auto left = static_cast<std::int64_t>(session->m_answer.size() - session->m_written);
    if (left == 0) return Serve(session);
    const std::int64_t size = std::min(kChunkBytes, left);
    m_link_free = std::max(m_link_free, std::chrono::steady_clock::now()) +
                  std::chrono::microseconds(1'000 * size / kLinkBytesPerMs);
    session->m_timer.expires_at(m_link_free);
    session->m_timer.async_wait([this, session, size](const error_code&) {
      asio::async_write(session->m_socket,
                        asio::buffer(session->m_answer.data() + session->m_written, static_cast<std::size_t>(size)),
                        [this, session](const error_code& error, std::size_t written) {
                          m_carried += static_cast<std::int64_t>(written);
                          session->m_written += written;
                          if (!error) WriteChunk(session);
                        });
    });
  }

  asio::io_context* m_io;
  tcp::acceptor m_acceptor;
  std::int64_t m_version = 0;
  std::string m_value;
  std::int64_t m_carried = 0;
  SteadyTime m_link_free;
};

class SmallLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SmallLinkTest);
  CPPUNIT_TEST(LargeChangeArrives);
  CPPUNIT_TEST(LargeRowArrivesAtTheStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_store = std::make_unique<PacedStore>(&m_io);
    m_relay = std::make_shared<service::StoreRelay>(
        store::MakeHttpSend(std::make_shared<net::HttpClient>(&m_io, net::ClientSettings{})), m_store->Local(),
        &m_timers, &m_clock, &m_metrics, service::RelaySettings{});
    m_rows = std::make_unique<RowStoreClient>(m_relay->Send(), m_store->Local());
    m_adaptive = std::make_unique<store::AdaptiveStore>(m_rows.get(), &m_clock, &m_metrics, store::AdaptiveSettings{});
  }
  void tearDown() override {
    if (m_follower) m_follower->Stop();
  }

  // Guards against an instance that reads a changed configuration again and again without ever having it whole, known
  // from configurations of 4,200 routes on links of 10 Mbit/s. One reading suffices.
  void LargeChangeArrives() {
    m_store->Put(100);
    Follow();
    RunUntil(100);
    const std::int64_t before = m_store->Carried();
    m_store->Put(kRowBytes);
    RunUntil(kRowBytes);
    CPPUNIT_ASSERT(m_store->Carried() - before < 2 * static_cast<std::int64_t>(kRowBytes));
    CPPUNIT_ASSERT_EQUAL(0, m_unreachable);
  }

  // The same for an instance that starts with such a configuration, or has to read the table anew.
  void LargeRowArrivesAtTheStart() {
    m_store->Put(kRowBytes);
    Follow();
    RunUntil(kRowBytes);
    CPPUNIT_ASSERT(m_store->Carried() < 2 * static_cast<std::int64_t>(kRowBytes));
    CPPUNIT_ASSERT_EQUAL(0, m_unreachable);
  }

 private:
  void Follow() {
    m_follower = std::make_shared<store::TableFollower>(
        m_adaptive.get(), &m_timers, &m_clock, service::ConfigurationFollowerSettings(kTable),
        [this](const std::vector<store::StoredRow>& rows, bool) {
          for (const store::StoredRow& row : rows) m_received = row.m_value.size();
        },
        [this](bool reachable) { m_unreachable += reachable ? 0 : 1; });
    m_follower->Start();
  }

  // Until a row has arrived whose value takes this many bytes in base64.
  void RunUntil(std::size_t bytes) {
    const SteadyTime end = std::chrono::steady_clock::now() + kPatience;
    m_io.restart();
    while (m_received != bytes / 4 * 3 && std::chrono::steady_clock::now() < end) m_io.run_one_until(end);
    CPPUNIT_ASSERT_EQUAL(bytes / 4 * 3, m_received);
  }

  asio::io_context m_io;
  AsioTimerService m_timers{&m_io};
  SystemClock m_clock;
  Metrics m_metrics;
  std::unique_ptr<PacedStore> m_store;
  std::shared_ptr<service::StoreRelay> m_relay;
  std::unique_ptr<RowStoreClient> m_rows;
  std::unique_ptr<store::AdaptiveStore> m_adaptive;
  std::shared_ptr<store::TableFollower> m_follower;
  std::size_t m_received = 0;
  int m_unreachable = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SmallLinkTest);

}  // namespace
}  // namespace hickoryquay::platform
