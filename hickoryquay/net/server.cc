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

#include "hickoryquay/net/http.h"

namespace hickoryquay::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

namespace {

constexpr std::size_t kRequestBuffer = 4 * 1024;  // Each read of a request takes no more than fits.
constexpr std::chrono::seconds kTlsShutdownTimeout{2};

HttpRequest FromBeast(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.m_method = std::string(message.method_string());
  request.m_target = std::string(message.target());
  for (const auto& field : message) {
    request.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
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

HttpResponse ForReadError(const beast::error_code& error) {
  if (error == http::error::body_limit) return JsonError(413, "body_too_large", "the body is over the limit");
  if (error == http::error::header_limit) return JsonError(431, "header_too_large", "the header is over the limit");
  return JsonError(400, "malformed_request", error.message());
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context* io, const ServerSettings& settings, Handler handler)
      : m_io(io), m_settings(settings), m_handler(std::move(handler)), m_acceptor(asio::make_strand(*io)) {
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
  void Remove(Sessions::iterator position);
  void FinishDrainIfIdle(std::unique_lock<std::mutex> lock);

  asio::io_context* m_io;
  ServerSettings m_settings;
  Handler m_handler;
  std::optional<asio::ssl::context> m_tls;  // Empty: plain TCP.
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_draining{false};
  std::mutex m_mutex;
  Sessions m_sessions;              // Guarded by m_mutex.
  std::function<void()> m_drained;  // Guarded by m_mutex.
};

// One connection, whatever it runs on.
class HttpServer::Impl::Session {
 public:
  virtual ~Session() = default;
  virtual void Start(Sessions::iterator position) = 0;

  // Closes the connection unless a request is in flight; that one closes it behind its answer.
  virtual void CloseIfIdle() = 0;
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
      if (!self->m_in_flight && self->m_buffer.size() == 0) self->CloseSocket();
    });
  }

 private:
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

  void Read() {
    m_parser.emplace();
    m_buffer.reserve(kRequestBuffer);
    m_parser->body_limit(m_server->m_settings.m_max_body_bytes);
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_settings.m_max_header_bytes));
    Lowest().expires_after(m_server->m_settings.m_idle_timeout);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = this->shared_from_this()](const beast::error_code& error, std::size_t) { self->OnRead(error); });
  }

  void OnRead(const beast::error_code& error) {
    if (error) {
      const bool peer_error = error.category() == make_error_code(http::error::bad_method).category();
      if (!peer_error || error == http::error::end_of_stream || error == http::error::partial_message) return Close();
      m_keep_alive = false;
      return Write(ForReadError(error));
    }
    Lowest().expires_never();
    m_in_flight = true;
    auto message = m_parser->release();
    m_keep_alive = message.keep_alive();
    auto reply = std::make_shared<Reply>(this->shared_from_this());
    m_server->m_handler(FromBeast(std::move(message)),
                        [reply](HttpResponse response) { (*reply)(std::move(response)); });
  }

  void Write(HttpResponse response) {
    const bool keep = m_keep_alive && !m_server->m_draining;
    m_response.emplace(ToBeast(std::move(response), keep));
    Lowest().expires_after(m_server->m_settings.m_idle_timeout);
    http::async_write(m_stream, *m_response,
                      [self = this->shared_from_this(), keep](const beast::error_code& error, std::size_t) {
                        self->m_in_flight = false;
                        if (error || !keep) return self->Close();
                        self->Read();
                      });
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
  bool m_keep_alive = true;
  bool m_in_flight = false;
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
    m_acceptor.bind(at);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
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
                            self->Accept();
                          });
}

void HttpServer::Impl::Admit(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::unique_lock lock(m_mutex);
  if (static_cast<int>(m_sessions.size()) >= m_settings.m_max_connections) return;
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
