// What peers that take more than their part do to the others.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "hickoryquay/inner/channel.h"

namespace hickoryquay::inner {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kAnswer = 400'000;
constexpr int kCalls = 15;
constexpr std::chrono::milliseconds kQuiet{500};

class InnerPressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InnerPressureTest);
  CPPUNIT_TEST(PeerThatDoesNotReadIsCutOffWhereMemoryIsShort);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_thread = std::thread([this] { m_io.run(); });
  }

  // Guards against answers that nobody reads, up to 8 MB for each connection.
  void PeerThatDoesNotReadIsCutOffWhereMemoryIsShort() {
    InnerServerSettings settings;
    settings.m_frame_bytes = 1024 * 1024;
    InnerServer server(
        &m_io, {"127.0.0.1", 0},
        [this](const Message&, const Answer& answer) {
          ++m_handled;
          wire::StoreAnswer large;
          large.__set_body(std::string(kAnswer, 'x'));
          answer(large);
        },
        settings);
    tcp::socket socket(m_own);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4'096));
    socket.connect({asio::ip::make_address("127.0.0.1"), server.Local().m_port});
    for (int i = 1; i <= kCalls; ++i) {
      boost::system::error_code ignored;  // It may have been cut off by then.
      asio::write(socket, asio::buffer(Encode({kProtocol, i, false, wire::JobNotice()})), ignored);
    }
    for (int before = -1; before != m_handled; std::this_thread::sleep_for(kQuiet)) before = m_handled;
    CPPUNIT_ASSERT(ReadToEnd(&socket) < kCalls * kAnswer);

    InnerClient client(&m_io);
    std::promise<bool> answered;
    client.Call(server.Local(), wire::JobNotice(), Millis{20'000},
                [&](const Result<Message, InnerError>& result) { answered.set_value(Ok(result)); });
    CPPUNIT_ASSERT(answered.get_future().get());
  }

  void tearDown() override {
    m_work.reset();
    m_io.stop();
    m_thread.join();
  }

 private:
  // Returns how many bytes came, and stops where all answers are there.
  static std::size_t ReadToEnd(tcp::socket* socket) {
    std::string part(65'536, '\0');
    std::size_t bytes = 0;
    boost::system::error_code error;
    while (!error && bytes < kCalls * kAnswer) bytes += socket->read_some(asio::buffer(part), error);
    return bytes;
  }

  asio::io_context m_own;
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_io);
  std::thread m_thread;
  std::atomic<int> m_handled{0};
};
CPPUNIT_TEST_SUITE_REGISTRATION(InnerPressureTest);

}  // namespace
}  // namespace hickoryquay::inner
