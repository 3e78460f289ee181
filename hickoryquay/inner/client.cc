#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "hickoryquay/inner/channel.h"
#include "hickoryquay/inner/frame_stream.h"
#include "hickoryquay/net/unread_grace.h"

namespace hickoryquay::inner {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// One connection to one peer with the calls that wait for their answers. All members on its strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context* io, net::Endpoint peer, std::shared_ptr<TrafficCounters> counters)
      : m_strand(asio::make_strand(*io)), m_peer(std::move(peer)), m_counters(std::move(counters)) {}

  void Call(Message message, Millis timeout, AnswerCallback callback) {
    asio::post(m_strand, [self = shared_from_this(), message = std::move(message), timeout,
                          callback = std::move(callback)]() mutable {
      self->Add(std::move(message), timeout, std::move(callback));
    });
  }

  void Close() {
    asio::post(m_strand, [self = shared_from_this()] { self->Break("forgotten"); });
  }

 private:
  struct Pending {
    AnswerCallback m_callback;
    std::shared_ptr<asio::steady_timer> m_timer;
    Millis m_timeout;
    std::uint64_t m_received_before = 0;  // Frames of the connection when the call was made.
    std::optional<std::uint64_t>
        m_awaited_frame{};               // Number of the frame that was arriving when the time was first over.
    std::uint64_t m_received_bytes = 0;  // Of the connection when the call was last extended.
    net::UnreadGrace m_grace{};
  };

  void Add(Message message, Millis timeout, AnswerCallback callback) {
    const std::int64_t id = ++m_last_id;
    auto timer = std::make_shared<asio::steady_timer>(m_strand);
    m_pending[id] = Pending{std::move(callback), timer, timeout, m_received};
    StartTimer(id, timeout);
    const Frame frame{kProtocol, id, false, std::move(message)};
    if (m_stream && !m_connecting) return m_stream->Write(frame);
    m_unsent.push_back(frame);
    if (!m_stream) Connect();
  }

  void StartTimer(std::int64_t id, Millis after) {
    const Pending& pending = m_pending.at(id);
    pending.m_timer->expires_after(after);
    pending.m_timer->async_wait([self = shared_from_this(), id](const error_code& error) {
      if (!error) self->OnTimeout(id);
    });
  }

  // Gives an overdue call more time if a frame is arriving, since that may hold its answer: until the first such frame
  // has ended, as long as it makes progress. False if the call's time is over for good.
  bool TryExtend(Pending* pending) const {
    if (!m_stream || !m_stream->FrameArriving()) return false;
    const bool first = !pending->m_awaited_frame;
    if (!first && *pending->m_awaited_frame != m_received) return false;
    if (!first && pending->m_received_bytes == m_stream->ReceivedBytes()) return false;
    pending->m_awaited_frame = m_received;
    pending->m_received_bytes = m_stream->ReceivedBytes();
    return true;
  }

  // A connection that delivered nothing since the call is taken for dead: the next call opens another.
  void OnTimeout(std::int64_t id) {
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) return;
    Pending& pending = found->second;
    if (TryExtend(&pending)) return StartTimer(id, pending.m_timeout);
    if (m_stream && pending.m_grace.Take(m_stream->Socket())) return StartTimer(id, net::UnreadGrace::kTurn);
    const bool silent = pending.m_received_before == m_received;
    Finish(id, NoAnswer{"timed out"});
    if (silent) Break("silent");
  }

  void Connect() {
    error_code error;
    const auto address = asio::ip::make_address(m_peer.m_address, error);
    if (error) return Break(error.message());
    m_connecting = true;
    m_stream = std::make_shared<FrameStream>(tcp::socket(m_strand), m_counters);
    m_stream->Socket().async_connect(tcp::endpoint(address, m_peer.m_port),
                                     [self = shared_from_this(), stream = m_stream](const error_code& failed) {
                                       if (self->m_stream != stream) return;  // Given up meanwhile.
                                       failed ? self->Break(failed.message()) : self->OnConnected();
                                     });
  }

  void OnConnected() {
    m_connecting = false;
    // The stream holds these callbacks and the connection holds the stream: weak, so that the two don't keep each
    // other.
    const std::weak_ptr<Connection> weak = weak_from_this();
    m_stream->Start(
        [weak](Frame frame) {
          if (const auto self = weak.lock()) self->OnFrame(std::move(frame));
        },
        [weak, stream = m_stream.get()](const std::string& why) {
          const auto self = weak.lock();
          if (self && self->m_stream.get() == stream) self->Break(why);
        });
    for (const Frame& frame : std::exchange(m_unsent, {})) m_stream->Write(frame);
  }

  void OnFrame(Frame frame) {
    ++m_received;
    if (frame.m_answer) OnAnswer(std::move(frame));
  }

  void OnAnswer(Frame frame) {
    if (const auto* unsupported = std::get_if<wire::Unsupported>(&frame.m_message)) {
      return Finish(frame.m_id, NotUnderstood{unsupported->protocol});
    }
    Finish(frame.m_id, std::move(frame.m_message));
  }

  void Finish(std::int64_t id, Result<Message, InnerError> result) {
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) return;  // Late or repeated.
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    pending.m_timer->cancel();
    std::erase_if(m_unsent, [id](const Frame& frame) { return frame.m_id == id; });
    pending.m_callback(std::move(result));
  }

  void Break(const std::string& why) {
    const auto stream = std::exchange(m_stream, nullptr);
    m_connecting = false;
    m_unsent.clear();
    if (stream) stream->Close(why);
    std::vector<std::int64_t> ids;
    for (const auto& [id, pending] : m_pending) ids.push_back(id);
    for (const std::int64_t id : ids) Finish(id, NoAnswer{why});
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  net::Endpoint m_peer;
  std::shared_ptr<TrafficCounters> m_counters;
  std::shared_ptr<FrameStream> m_stream;
  bool m_connecting = false;
  std::vector<Frame> m_unsent;
  std::map<std::int64_t, Pending> m_pending;
  std::int64_t m_last_id = 0;
  std::uint64_t m_received = 0;
};

}  // namespace

class InnerClient::Impl {
 public:
  explicit Impl(asio::io_context* io) : m_io(io) {}
  ~Impl() {
    for (const auto& [peer, connection] : m_connections) connection->Close();
  }

  std::shared_ptr<Connection> To(const net::Endpoint& peer) {
    const std::scoped_lock lock(m_mutex);
    auto& connection = m_connections[peer];
    if (!connection) connection = std::make_shared<Connection>(m_io, peer, m_counters);
    return connection;
  }

  void Forget(const net::Endpoint& peer) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_connections.find(peer);
    if (found == m_connections.end()) return;
    found->second->Close();
    m_connections.erase(found);
  }

  Traffic Bytes() const { return {m_counters->m_sent, m_counters->m_received}; }

 private:
  asio::io_context* m_io;
  std::shared_ptr<TrafficCounters> m_counters = std::make_shared<TrafficCounters>();
  std::mutex m_mutex;
  std::map<net::Endpoint, std::shared_ptr<Connection>> m_connections;  // Guarded by m_mutex.
};

InnerClient::InnerClient(asio::io_context* io) : m_impl(std::make_shared<Impl>(io)) {}
InnerClient::~InnerClient() = default;

void InnerClient::Call(const net::Endpoint& peer, Message message, Millis timeout, AnswerCallback callback) {
  m_impl->To(peer)->Call(std::move(message), timeout, std::move(callback));
}

void InnerClient::Forget(const net::Endpoint& peer) {
  m_impl->Forget(peer);
}
Traffic InnerClient::Bytes() const {
  return m_impl->Bytes();
}

std::string ToString(const InnerError& error) {
  return std::visit(Overloaded{[](const NoAnswer& e) { return "no answer: " + e.m_why; },
                               [](const NotUnderstood& e) {
                                 return "not understood by protocol " + std::to_string(e.m_peer_protocol);
                               }},
                    error);
}

}  // namespace hickoryquay::inner
