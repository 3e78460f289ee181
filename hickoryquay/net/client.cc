#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "hickoryquay/net/http.h"
#include "hickoryquay/net/unread_grace.h"

namespace hickoryquay::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

using Deadline = std::chrono::steady_clock::time_point;

constexpr std::size_t kLargestPiece = 64 * 1024;  // Of an answer, read at once.
constexpr std::size_t kKeptBuffer = 1024;         // Of an idle connection; there are thousands.
constexpr std::size_t kMaxHeaderBytes = 16'384;   // Of one value. Beast throws on those of 64 KB.
constexpr std::string_view kLineEnds("\r\n\0", 3);

struct Call {
  http::request<http::string_body> m_request;
  Deadline m_deadline;
  Millis m_timeout;
  bool m_large_answer = false;
  std::size_t m_max_answer_bytes = 0;
  std::function<void(int status)> m_on_progress;
  ResponseCallback m_callback;
};

// False where a header would end early, add others or be too long to be written.
bool CanBeWritten(const HttpRequest& request) {
  return std::all_of(request.m_headers.begin(), request.m_headers.end(), [](const Header& header) {
    return header.m_value.size() <= kMaxHeaderBytes && header.m_value.find_first_of(kLineEnds) == std::string::npos;
  });
}

http::request<http::string_body> ToBeast(const Endpoint& to, HttpRequest&& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.m_method);
  message.target(request.m_target);
  message.set(http::field::host, ToString(to));
  for (const Header& header : request.m_headers) message.set(header.m_name, header.m_value);
  message.body() = std::move(request.m_body);
  message.prepare_payload();
  return message;
}

HttpResponse FromBeast(http::response<http::string_body>&& message) {
  HttpResponse response;
  response.m_status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  response.m_body = std::move(message.body());
  return response;
}

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  Impl(asio::io_context* io, const ClientSettings& settings) : m_io(io), m_settings(settings) {}

  void Send(const Endpoint& to, HttpRequest request, Millis timeout, ResponseCallback callback);
  void CloseIdle();  // For good: idle connections own the client, and it owns them.

 private:
  class Connection;

  struct Pool {
    std::vector<std::shared_ptr<Connection>> m_idle;
    std::deque<std::shared_ptr<Call>> m_waiting;
    int m_open = 0;
  };

  void ExpireLater(const Endpoint& to, const std::shared_ptr<Call>& call, Millis timeout);
  void Release(const Endpoint& to, std::shared_ptr<Connection> connection);  // nullptr: the connection is gone.
  // Removes and returns idle connections that are of no use, if the last time is m_sweep_interval ago. Under m_mutex;
  // destroy them outside of it.
  std::vector<std::shared_ptr<Connection>> Sweep();

  asio::io_context* m_io;
  ClientSettings m_settings;
  std::mutex m_mutex;
  std::map<Endpoint, Pool> m_pools;  // Guarded by m_mutex.
  bool m_closing = false;            // Guarded by m_mutex.
  Deadline m_next_sweep{};           // Guarded by m_mutex.
};

// One connection, on its own strand. Kept alive by its pending operation, or by its pool while idle.
class HttpClient::Impl::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> client, const Endpoint& to)
      : m_client(std::move(client)),
        m_to(to),
        m_stream(asio::make_strand(*m_client->m_io)),
        m_limit(m_stream.get_executor()) {}

  void Run(std::shared_ptr<Call> call) {
    asio::dispatch(m_stream.get_executor(), [self = shared_from_this(), call = std::move(call)]() mutable {
      self->m_call = std::move(call);
      self->m_started = std::chrono::steady_clock::now();
      self->m_timed_out = false;
      self->m_grace = {};
      self->SetDeadline(self->m_call->m_deadline);
      if (self->m_stream.socket().is_open() && self->ClosedByPeer()) self->m_stream.socket().close();
      self->m_stream.socket().is_open() ? self->Write() : self->Connect();
    });
  }

  bool Fresh(Millis idle_timeout) const { return std::chrono::steady_clock::now() - m_idle_since < idle_timeout; }

  // True where the server closed the connection while it was idle, or sent what nobody asked for. Without this look
  // the next call would be cut, and nobody could say whether it was run. Only while no operation is under way.
  bool ClosedByPeer() {
    char byte = 0;
    const auto got = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  // The stream's own limits would close connections whose answers have arrived, if the process was too busy to read.
  void SetDeadline(Deadline deadline) {
    m_deadline = deadline;
    if (m_limit_armed && m_limit.expiry() <= deadline) return;  // It looks at m_deadline when it fires.
    m_limit_armed = true;
    m_limit.expires_at(deadline);
    m_limit.async_wait([weak = weak_from_this()](const beast::error_code& error) {
      const auto self = weak.lock();
      if (self && !error) self->OnLimit();
    });
  }

  void OnLimit() {
    m_limit_armed = false;
    if (!m_call) return;
    const auto now = std::chrono::steady_clock::now();
    if (now < m_deadline) return SetDeadline(m_deadline);
    if (m_grace.Take(m_stream.socket())) return SetDeadline(now + UnreadGrace::kTurn);
    m_timed_out = true;
    m_stream.close();  // The operation under way ends.
  }

  void Connect() {
    m_buffer.clear();
    beast::error_code error;
    const auto address = asio::ip::make_address(m_to.m_address, error);
    if (error) return Fail(NotSent{error.message()});
    m_stream.async_connect(tcp::endpoint(address, m_to.m_port),
                           [self = shared_from_this()](const beast::error_code& failed) {
                             if (self->m_timed_out) return self->Fail(TimedOut{false});
                             if (failed) return self->Fail(NotSent{failed.message()});
                             beast::error_code ignored;
                             self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
                             self->Write();
                           });
  }

  void Write() {
    // The caller has decided for a moment that is over; what it relied on may be too.
    if (std::chrono::steady_clock::now() >= m_call->m_deadline) {
      return asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->Fail(TimedOut{false}); });
    }
    http::async_write(m_stream, m_call->m_request,
                      [self = shared_from_this()](const beast::error_code& error, std::size_t written) {
                        if (error && written == 0 && self->m_timed_out) return self->Fail(TimedOut{false});
                        if (error && written == 0) return self->Fail(NotSent{error.message()});
                        if (error) return self->FailAfterSending(error);
                        self->Read();
                      });
  }

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(m_call->m_max_answer_bytes);
    m_parser->eager(true);
    m_received = 0;
    ReadSome();
  }

  void ReadSome() {
    http::async_read_some(m_stream, m_buffer, *m_parser,
                          [self = shared_from_this()](const beast::error_code& error, std::size_t received) {
                            self->m_received += received;
                            if (error) return self->FailAfterSending(error);
                            if (self->m_parser->is_done()) return self->Succeed();
                            self->OnProgress();
                            self->GrowBuffer(received);
                            self->ReadSome();
                          });
  }

  // Each piece waits for a turn of the event loop, and Beast reads no more than fits into the buffer as it is.
  void GrowBuffer(std::size_t received) {
    const std::size_t now = m_buffer.capacity();
    if (2 * received >= now && now < kLargestPiece) m_buffer.reserve(std::min(kLargestPiece, 2 * now));
  }

  void OnProgress() {
    if (m_call->m_large_answer) {
      const Deadline latest = m_started + m_client->m_settings.m_longest_answer;
      SetDeadline(std::min<Deadline>(latest, std::chrono::steady_clock::now() + m_call->m_timeout));
    }
    if (m_call->m_on_progress && m_parser->is_header_done())
      m_call->m_on_progress(static_cast<int>(m_parser->get().result_int()));
  }

  void Succeed() {
    auto message = m_parser->release();
    const bool reusable = message.keep_alive() && m_buffer.size() == 0;
    if (m_buffer.capacity() > kKeptBuffer) m_buffer.shrink_to_fit();
    const auto call = std::move(m_call);
    m_idle_since = std::chrono::steady_clock::now();
    m_client->Release(m_to, reusable ? shared_from_this() : nullptr);
    call->m_callback(FromBeast(std::move(message)));
  }

  void FailAfterSending(const beast::error_code& error) {
    if (m_timed_out) return Fail(TimedOut{true, m_received});
    if (error == http::error::body_limit) return Fail(TooLong{});
    const bool http_error = error.category() == make_error_code(http::error::bad_method).category();
    const bool ended = error == http::error::end_of_stream || error == http::error::partial_message;
    if (http_error && !ended) return Fail(Garbled{error.message()});
    Fail(Cut{error.message()});
  }

  void Fail(NetError error) {
    const auto call = std::move(m_call);
    m_stream.close();
    m_client->Release(m_to, nullptr);
    call->m_callback(std::move(error));
  }

  std::shared_ptr<Impl> m_client;
  Endpoint m_to;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::shared_ptr<Call> m_call;
  std::optional<http::response_parser<http::string_body>> m_parser;
  std::size_t m_received = 0;  // Bytes of the answer.
  asio::steady_timer m_limit;  // Of the call; may fire early, and while there is none.
  bool m_limit_armed = false;
  Deadline m_deadline;
  UnreadGrace m_grace;
  bool m_timed_out = false;
  std::chrono::steady_clock::time_point m_started;  // When the call was taken up.
  std::chrono::steady_clock::time_point m_idle_since;
};

void HttpClient::Impl::Send(const Endpoint& to, HttpRequest request, Millis timeout, ResponseCallback callback) {
  if (!CanBeWritten(request)) {
    return asio::post(*m_io,
                      [callback = std::move(callback)] { callback(NetError{NotSent{"a header can't be written"}}); });
  }
  auto call = std::make_shared<Call>();
  call->m_timeout = timeout;
  call->m_large_answer = request.m_large_answer;
  const std::size_t most = request.m_max_answer_bytes;
  call->m_max_answer_bytes = most == 0 ? m_settings.m_max_body_bytes : std::min(most, m_settings.m_max_body_bytes);
  call->m_on_progress = std::move(request.m_on_progress);
  call->m_request = ToBeast(to, std::move(request));
  call->m_deadline = std::chrono::steady_clock::now() + timeout;
  call->m_callback = std::move(callback);

  std::vector<std::shared_ptr<Connection>> unused;  // Ends outside of the lock.
  std::unique_lock lock(m_mutex);
  unused = Sweep();
  Pool& pool = m_pools[to];
  std::shared_ptr<Connection> connection;
  while (!pool.m_idle.empty() && !connection) {
    connection = std::move(pool.m_idle.back());
    pool.m_idle.pop_back();
    if (connection->Fresh(m_settings.m_idle_timeout)) break;
    connection.reset();
    --pool.m_open;
  }
  if (!connection && pool.m_open >= m_settings.m_max_connections_per_endpoint) {
    pool.m_waiting.push_back(call);
    lock.unlock();
    return ExpireLater(to, call, timeout);
  }
  if (!connection) {
    ++pool.m_open;
    connection = std::make_shared<Connection>(shared_from_this(), to);
  }
  lock.unlock();
  connection->Run(std::move(call));
}

void HttpClient::Impl::ExpireLater(const Endpoint& to, const std::shared_ptr<Call>& call, Millis timeout) {
  auto timer = std::make_shared<asio::steady_timer>(*m_io, timeout);
  timer->async_wait([self = shared_from_this(), timer, to, call](const beast::error_code&) {
    std::unique_lock lock(self->m_mutex);
    const bool still_waiting = std::erase(self->m_pools[to].m_waiting, call) > 0;
    lock.unlock();
    if (still_waiting) call->m_callback(NetError{TimedOut{false}});
  });
}

void HttpClient::Impl::Release(const Endpoint& to, std::shared_ptr<Connection> connection) {
  std::unique_lock lock(m_mutex);
  Pool& pool = m_pools[to];
  if (pool.m_waiting.empty()) {
    if (connection && !m_closing) {
      pool.m_idle.push_back(std::move(connection));
    } else {
      --pool.m_open;
    }
    return;
  }
  auto call = std::move(pool.m_waiting.front());
  pool.m_waiting.pop_front();
  if (!connection) connection = std::make_shared<Connection>(shared_from_this(), to);
  lock.unlock();
  connection->Run(std::move(call));
}

std::vector<std::shared_ptr<HttpClient::Impl::Connection>> HttpClient::Impl::Sweep() {
  std::vector<std::shared_ptr<Connection>> unused;
  const auto now = std::chrono::steady_clock::now();
  if (now < m_next_sweep) return unused;
  m_next_sweep = now + m_settings.m_sweep_interval;
  for (auto& [endpoint, pool] : m_pools) {
    const auto first = std::stable_partition(pool.m_idle.begin(), pool.m_idle.end(), [this](const auto& connection) {
      return connection->Fresh(m_settings.m_idle_timeout) && !connection->ClosedByPeer();
    });
    pool.m_open -= static_cast<int>(pool.m_idle.end() - first);
    std::move(first, pool.m_idle.end(), std::back_inserter(unused));
    pool.m_idle.erase(first, pool.m_idle.end());
  }
  std::erase_if(m_pools, [](const auto& entry) { return entry.second.m_open == 0 && entry.second.m_waiting.empty(); });
  return unused;
}

void HttpClient::Impl::CloseIdle() {
  std::vector<std::shared_ptr<Connection>> idle;  // Ends outside of the lock.
  const std::lock_guard lock(m_mutex);
  m_closing = true;
  for (auto& [endpoint, pool] : m_pools) {
    pool.m_open -= static_cast<int>(pool.m_idle.size());
    std::move(pool.m_idle.begin(), pool.m_idle.end(), std::back_inserter(idle));
    pool.m_idle.clear();
  }
}

HttpClient::HttpClient(asio::io_context* io, const ClientSettings& settings)
    : m_impl(std::make_shared<Impl>(io, settings)) {}

HttpClient::~HttpClient() {
  m_impl->CloseIdle();
}

void HttpClient::Send(const Endpoint& to, HttpRequest request, Millis timeout, ResponseCallback callback) {
  m_impl->Send(to, std::move(request), timeout, std::move(callback));
}

}  // namespace hickoryquay::net
