#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <list>
#include <mutex>
#include <optional>
#include <stdexcept>

#include "hickoryquay/net/accept_again.h"
#include "hickoryquay/net/arrivals.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/net/refusals.h"

namespace hickoryquay::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

namespace {

constexpr std::size_t kRequestBuffer = 4 * 1024;  // Each read of a request takes no more than fits.
constexpr std::chrono::seconds kTlsShutdownTimeout{2};
// How much and how long a client is listened to that still sends when its request has been refused.
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;
constexpr std::chrono::seconds kLingerTimeout{2};
constexpr int kReceiveBuffer = 16 * 1024;  // Of one connection, in the kernel.
constexpr int kClosingConnections = 8;     // Beyond the limit, while those that gave way are being closed.

HttpRequest HeadOf(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

HttpRequest FromBeast(http::request<http::string_body>&& message) {
  HttpRequest request = HeadOf(message);
  request.m_body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToBeast(HttpResponse&& response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.m_status));
  for (const Header& header : response.m_headers) message.set(header.m_name, header.m_value);
  message.body() = std::move(response.m_body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

// Why a request is refused before its handler sees it, by the error of the parser.
struct ParseRefusal {
  Refusal m_why;
  HttpResponse m_response;
};

ParseRefusal ForParseError(const beast::error_code& error) {
  if (error == http::error::body_limit) {
    return {Refusal::kBodyTooLarge, JsonError(413, "body_too_large", "the body is over the limit")};
  }
  if (error == http::error::header_limit) {
    return {Refusal::kHeaderTooLarge, JsonError(431, "header_too_large", "the header is over the limit")};
  }
  return {Refusal::kMalformed, JsonError(400, "malformed_request", error.message())};
}

HttpResponse NoRoom() {
  HttpResponse response = JsonError(503, "no_room", "too many large bodies are arriving, this one was not looked at");
  response.m_headers.push_back({"Retry-After", "1"});
  return response;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context* io, const ServerSettings& settings, Handler handler)
      : m_io(io),
        m_settings(settings),
        m_handler(std::move(handler)),
        m_refusals(settings.m_name, settings.m_metrics),
        m_acceptor(asio::make_strand(*io)) {
    LoadTls();
    Bind();
  }

  void Accept();
  void Drain(std::function<void()> done);
  void Stop();
  Endpoint Local() const;

 private:
  class Session;
  template <typename Stream>
  class SessionOn;
  using Sessions = std::list<std::weak_ptr<Session>>;

  void LoadTls();
  void Bind();
  void Admit(tcp::socket socket);
  void MoveToEnd(Sessions::iterator position);
  void Remove(Sessions::iterator position);
  bool MakeRoom(std::vector<std::shared_ptr<Session>>* looked_at);
  void FinishDrainIfIdle(std::unique_lock<std::mutex> lock);

  asio::io_context* m_io;
  ServerSettings m_settings;
  Handler m_handler;
  RefusalLog m_refusals;
  std::optional<asio::ssl::context> m_tls;  // Empty: plain TCP.
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_draining{false};
  std::mutex m_mutex;
  Sessions m_sessions;              // Guarded by m_mutex; by when they began or got their last whole request.
  std::function<void()> m_drained;  // Guarded by m_mutex.
};

// One connection, whatever it runs on.
class HttpServer::Impl::Session {
 public:
  virtual ~Session() = default;
  virtual void Start(Sessions::iterator position) = 0;

  // Closes the connection unless a request is in flight; that one closes it behind its answer.
  virtual void CloseIfIdle() = 0;

  // Makes room for another connection. False while its request is being handled, or where it was asked before.
  virtual bool GiveWay() = 0;
};

// Kept alive by its pending operations and by the responder of a request in flight.
template <typename Stream>
class HttpServer::Impl::SessionOn final : public Session, public std::enable_shared_from_this<SessionOn<Stream>> {
 public:
  template <typename... TlsContext>
  SessionOn(std::shared_ptr<Impl> server, tcp::socket socket, TlsContext&... tls)
      : m_server(std::move(server)),
        m_stream(std::move(socket), tls...),
        m_buffer(m_server->m_settings.m_max_header_bytes) {}
  ~SessionOn() override { m_server->Remove(m_position); }

  void Start(Sessions::iterator position) override {
    m_position = position;
    asio::dispatch(m_stream.get_executor(), [self = this->shared_from_this()] { self->Handshake(); });
  }

  void CloseIfIdle() override {
    asio::post(m_stream.get_executor(), [self = this->shared_from_this()] {
      if (!self->m_in_flight && self->m_phase == Phase::kHead && self->m_buffer.size() == 0) self->CloseSocket();
    });
  }

  bool GiveWay() override {
    if (m_in_flight || m_gave_way.exchange(true)) return false;
    asio::post(m_stream.get_executor(), [self = this->shared_from_this()] { self->CloseSocket(); });
    return true;
  }

 private:
  enum class Phase {
    kHead,       // Between requests, or a head has arrived in part.
    kBody,       // A head is there, its body is not whole.
    kAnswering,  // The request is handled or its answer goes out.
    kLingering,  // The last answer is out; what the client still sends is dropped.
  };

  // Answers through the session once; closes the connection where nobody answered.
  struct Reply {
    explicit Reply(std::shared_ptr<SessionOn> session) : m_session(std::move(session)) {}
    ~Reply() {
      if (m_used.exchange(true)) return;
      asio::post(m_session->m_stream.get_executor(), [session = m_session] { session->Close(); });
    }
    void operator()(HttpResponse response) {
      if (m_used.exchange(true)) return;
      // A handler may keep its responder; that must not keep the session, or a drain would wait for it.
      const auto session = std::move(m_session);
      asio::post(session->m_stream.get_executor(),
                 [session, answer = std::move(response)]() mutable { session->Write(std::move(answer)); });
    }
    std::shared_ptr<SessionOn> m_session;
    std::atomic<bool> m_used{false};
  };

  beast::tcp_stream& Lowest() { return beast::get_lowest_layer(m_stream); }

  void Handshake() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      Lowest().expires_after(m_server->m_settings.m_idle_timeout);
      m_stream.async_handshake(asio::ssl::stream_base::server,
                               [self = this->shared_from_this()](const beast::error_code& error) {
                                 error ? self->CloseSocket() : self->Read();
                               });
    } else {
      Read();
    }
  }

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Reading
  //-----------------------------------------------------------------------------------------------

  void Read() {
    m_phase = Phase::kHead;
    m_parser.emplace();
    m_parser->eager(false);
    m_parser->body_limit(boost::none);  // Checked with the head.
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_settings.m_max_header_bytes));
    Lowest().expires_after(m_server->m_settings.m_idle_timeout);
    m_buffer.size() > 0 ? Parse() : ReadSome();
  }

  void ReadSome() {
    const std::size_t room = std::min(kRequestBuffer, m_buffer.max_size() - m_buffer.size());
    if (room == 0) return Refuse(ForParseError(http::error::header_limit));
    m_reading = true;
    m_stream.async_read_some(m_buffer.prepare(room),
                             [self = this->shared_from_this()](const beast::error_code& error, std::size_t bytes) {
                               self->m_reading = false;
                               self->OnRead(error, bytes);
                             });
  }

  void OnRead(const beast::error_code& error, std::size_t bytes) {
    if (m_phase == Phase::kLingering) return OnLinger(error, bytes);
    if (error && m_phase != Phase::kAnswering) return Close();
    m_buffer.commit(bytes);
    if (m_phase == Phase::kAnswering) return m_buffer.consume(bytes);  // It gave way while it was read.
    if (m_arrival) m_arrival->m_received += bytes;
    Parse();
  }

  void Parse() {
    while (!m_parser->is_done() && m_buffer.size() > 0) {
      if (m_phase == Phase::kBody && !HoldBody()) return;
      beast::error_code error;
      const std::size_t taken = m_parser->put(m_buffer.data(), error);
      m_buffer.consume(taken);
      if (error && error != http::error::need_more) return Refuse(ForParseError(error));
      if (!FieldsFit()) return Refuse(ForParseError(http::error::header_limit));
      if (m_phase == Phase::kHead && m_parser->is_header_done() && !BeginBody()) return;
      if (error == http::error::need_more) break;
    }
    m_parser->is_done() ? Handle() : ReadSome();
  }

  // The parser's own limit is on what it has not taken in yet, so that whole fields may come without end.
  bool FieldsFit() const {
    const auto& message = m_parser->get();
    std::size_t fields = 0;
    std::size_t bytes = message.target().size();
    for (const auto& field : message) {
      ++fields;
      bytes += field.name_string().size() + field.value().size();
    }
    return fields <= m_server->m_settings.m_max_fields && bytes <= m_server->m_settings.m_max_header_bytes;
  }

  // Refuses what the head already shows to be unservable; returns whether the request is still to be received.
  bool BeginBody() {
    m_phase = Phase::kBody;
    m_parser->eager(true);
    const auto length = m_parser->content_length();
    std::size_t limit = m_server->m_settings.m_max_body_bytes;
    if (m_parser->is_done() || (length && *length <= std::min<std::uint64_t>(limit, MemoryHold::kUncounted)))
      return true;
    if (m_server->m_settings.m_check_head) {
      HeadVerdict verdict = m_server->m_settings.m_check_head(HeadOf(m_parser->get()));
      if (verdict.m_refusal) {
        Refuse({Refusal::kHead, std::move(*verdict.m_refusal)});
        return false;
      }
      limit = std::min(limit, verdict.m_max_body_bytes);
    }
    if (length && *length > limit) {
      Refuse(ForParseError(http::error::body_limit));
      return false;
    }
    m_parser->body_limit(limit);
    if (!m_server->m_settings.m_arrivals) return true;
    m_arrival = m_server->m_settings.m_arrivals->Begin([weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) asio::post(self->m_stream.get_executor(), [self] { self->GiveUpBody(); });
    });
    return !length || HoldBytes(*length);
  }

  // Makes room for what is in the buffer. A body without a length grows by half of what it has.
  bool HoldBody() {
    std::string& body = m_parser->get().body();
    const std::size_t wanted = body.size() + m_buffer.size();
    if (!m_arrival || m_parser->content_length() || wanted <= body.capacity()) return true;
    const std::size_t grown = std::max(wanted, body.capacity() + body.capacity() / 2);
    if (!HoldBytes(grown)) return false;
    body.reserve(grown);
    return true;
  }

  bool HoldBytes(std::uint64_t bytes) {
    if (m_server->m_settings.m_arrivals->Take(bytes, m_arrival.get(), &m_hold)) return true;
    Refuse({Refusal::kNoRoom, NoRoom()});
    return false;
  }

  // Another body needs the room of this one, which arrives more slowly.
  void GiveUpBody() {
    if (m_phase != Phase::kBody) return;
    if (std::is_same_v<Stream, TlsStream>) {  // A TLS stream can't be shut down while it is read.
      m_server->m_refusals.Note(Refusal::kGaveWay);
      return CloseSocket();
    }
    Refuse({Refusal::kGaveWay, NoRoom()});
  }

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Answering
  //-----------------------------------------------------------------------------------------------

  void Handle() {
    const std::size_t body = m_parser->get().body().size();
    if (m_arrival && m_hold.Bytes() > 0 && !HoldBytes(body * m_server->m_settings.m_body_copies)) return;
    Lowest().expires_never();
    m_phase = Phase::kAnswering;
    m_in_flight = true;
    m_arrival.reset();
    m_server->MoveToEnd(m_position);
    auto message = m_parser->release();
    m_keep_alive = message.keep_alive();
    auto reply = std::make_shared<Reply>(this->shared_from_this());
    m_server->m_handler(FromBeast(std::move(message)),
                        [reply](HttpResponse response) { (*reply)(std::move(response)); });
  }

  void Refuse(ParseRefusal refusal) {
    m_server->m_refusals.Note(refusal.m_why);
    m_phase = Phase::kAnswering;
    m_keep_alive = false;
    m_parser.reset();
    m_arrival.reset();
    m_hold.Release();
    Write(std::move(refusal.m_response));
  }

  void Write(HttpResponse response) {
    const bool keep = m_keep_alive && !m_server->m_draining;
    m_response.emplace(ToBeast(std::move(response), keep));
    if (!m_reading) Lowest().expires_after(m_server->m_settings.m_idle_timeout);
    http::async_write(m_stream, *m_response,
                      [self = this->shared_from_this(), keep](const beast::error_code& error, std::size_t) {
                        self->OnWritten(error, keep);
                      });
  }

  void OnWritten(const beast::error_code& error, bool keep) {
    const bool was_whole = m_in_flight.exchange(false);
    m_response.reset();
    m_hold.Release();
    if (error) return Close();
    if (keep) return Read();
    was_whole ? Close() : Linger();
  }

  //-----------------------------------------------------------------------------------------------
  // [SECTION] Ending
  //-----------------------------------------------------------------------------------------------

  // Closing a connection with unread bytes would reset it, and the answer with it.
  void Linger() {
    if (std::is_same_v<Stream, TlsStream>) return Close();
    beast::error_code ignored;
    Lowest().socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_phase = Phase::kLingering;
    m_buffer.clear();
    m_reading ? Lowest().cancel() : ReadToLinger();
  }

  void OnLinger(const beast::error_code& error, std::size_t bytes) {
    const bool was_cancelled = error == asio::error::operation_aborted && !m_lingers;
    m_lingered_bytes += bytes;
    if ((error && !was_cancelled) || m_lingered_bytes > kMaxLingerBytes) return CloseSocket();
    ReadToLinger();
  }

  void ReadToLinger() {
    if (!std::exchange(m_lingers, true)) Lowest().expires_after(kLingerTimeout);
    ReadSome();
  }

  void Close() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      if (m_closing) return;
      m_closing = true;
      Lowest().expires_after(kTlsShutdownTimeout);
      m_stream.async_shutdown([self = this->shared_from_this()](const beast::error_code&) { self->CloseSocket(); });
    } else {
      CloseSocket();
    }
  }

  void CloseSocket() {
    beast::error_code ignored;
    Lowest().socket().shutdown(tcp::socket::shutdown_send, ignored);
    Lowest().close();
  }

  std::shared_ptr<Impl> m_server;
  Stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<http::response<http::string_body>> m_response;
  Phase m_phase = Phase::kHead;
  std::shared_ptr<Arrival> m_arrival;  // Of the body that is being received, if it counts.
  MemoryHold m_hold;                   // Covers the body until its answer is out.
  bool m_keep_alive = true;
  bool m_reading = false;                // A read is pending.
  std::atomic<bool> m_in_flight{false};  // A whole request is being answered.
  std::atomic<bool> m_gave_way{false};
  bool m_lingers = false;
  std::size_t m_lingered_bytes = 0;
  bool m_closing = false;
  Sessions::iterator m_position;
};

void HttpServer::Impl::LoadTls() {
  if (m_settings.m_tls_certificate.empty()) return;
  try {
    m_tls.emplace(asio::ssl::context::tls_server);
    m_tls->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    m_tls->use_certificate_chain_file(m_settings.m_tls_certificate);
    m_tls->use_private_key_file(m_settings.m_tls_key, asio::ssl::context::pem);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot use the TLS files " + m_settings.m_tls_certificate + " and " +
                             m_settings.m_tls_key + ": " + error.code().message());
  }
}

void HttpServer::Impl::Bind() {
  try {
    const tcp::endpoint at(asio::ip::make_address(m_settings.m_listen.m_address), m_settings.m_listen.m_port);
    m_acceptor.open(at.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    beast::error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);  // Connections inherit it.
    m_acceptor.bind(at);
    m_acceptor.listen(std::min(m_settings.m_max_connections, int{asio::socket_base::max_listen_connections}));
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + ToString(m_settings.m_listen) + ": " + error.code().message());
  }
}

Endpoint HttpServer::Impl::Local() const {
  const tcp::endpoint at = m_acceptor.local_endpoint();
  return Endpoint{at.address().to_string(), at.port()};
}

void HttpServer::Impl::Accept() {
  m_acceptor.async_accept(asio::make_strand(*m_io),
                          [self = shared_from_this()](const beast::error_code& error, tcp::socket socket) {
                            if (error == asio::error::operation_aborted || self->m_draining) return;
                            if (!error) self->Admit(std::move(socket));
                            AcceptAgain(self->m_acceptor.get_executor(), error, [self] {
                              if (!self->m_draining) self->Accept();
                            });
                          });
}

void HttpServer::Impl::Admit(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::vector<std::shared_ptr<Session>> looked_at;  // Outlives the lock: the end of a session takes it too.
  std::unique_lock lock(m_mutex);
  const int open = static_cast<int>(m_sessions.size());
  if (open >= m_settings.m_max_connections) {
    const bool full = open >= m_settings.m_max_connections + kClosingConnections || !MakeRoom(&looked_at);
    m_refusals.Note(full ? Refusal::kConnection : Refusal::kIdleConnection);
    if (full) return;
  }
  std::shared_ptr<Session> session;
  if (m_tls.has_value()) {
    session = std::make_shared<SessionOn<TlsStream>>(shared_from_this(), std::move(socket), *m_tls);
  } else {
    session = std::make_shared<SessionOn<beast::tcp_stream>>(shared_from_this(), std::move(socket));
  }
  const auto position = m_sessions.insert(m_sessions.end(), session);
  lock.unlock();
  session->Start(position);
}

// Asks the connection to close that has gone longest without a whole request. The caller holds m_mutex.
bool HttpServer::Impl::MakeRoom(std::vector<std::shared_ptr<Session>>* looked_at) {
  for (const auto& weak : m_sessions) {
    looked_at->push_back(weak.lock());
    if (looked_at->back() && looked_at->back()->GiveWay()) return true;
  }
  return false;
}

void HttpServer::Impl::MoveToEnd(Sessions::iterator position) {
  const std::lock_guard lock(m_mutex);
  m_sessions.splice(m_sessions.end(), m_sessions, position);
}

void HttpServer::Impl::Remove(Sessions::iterator position) {
  std::unique_lock lock(m_mutex);
  m_sessions.erase(position);
  FinishDrainIfIdle(std::move(lock));
}

void HttpServer::Impl::FinishDrainIfIdle(std::unique_lock<std::mutex> lock) {
  if (!m_drained || !m_sessions.empty()) return;
  const std::function<void()> done = std::move(m_drained);
  m_drained = nullptr;
  lock.unlock();
  asio::post(*m_io, done);
}

void HttpServer::Impl::Stop() {
  m_draining = true;
  asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
    beast::error_code ignored;
    self->m_acceptor.close(ignored);
  });
}

void HttpServer::Impl::Drain(std::function<void()> done) {
  Stop();
  std::unique_lock lock(m_mutex);
  m_drained = std::move(done);
  std::vector<std::shared_ptr<Session>> sessions;
  for (const auto& weak : m_sessions) {
    if (auto session = weak.lock()) sessions.push_back(std::move(session));
  }
  if (sessions.empty()) return FinishDrainIfIdle(std::move(lock));
  lock.unlock();
  for (const auto& session : sessions) session->CloseIfIdle();
}

HttpServer::HttpServer(asio::io_context* io, const ServerSettings& settings, Handler handler)
    : m_impl(std::make_shared<Impl>(io, settings, std::move(handler))) {
  m_impl->Accept();
}

HttpServer::~HttpServer() {
  m_impl->Stop();
}

Endpoint HttpServer::Local() const {
  return m_impl->Local();
}

void HttpServer::Drain(std::function<void()> done) {
  m_impl->Drain(std::move(done));
}

}  // namespace hickoryquay::net
