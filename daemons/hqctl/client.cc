#include "daemons/hqctl/client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <optional>

namespace hickoryquay::hqctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kMaxAnswerBytes = 256 * 1024 * 1024;

using TlsStream = beast::ssl_stream<beast::tcp_stream>;

// One call on a connection of its own.
template <typename Stream>
class Exchange {
 public:
  Exchange(Stream* stream, const net::HttpRequest& request) : m_stream(stream) {
    m_request.version(11);
    m_request.method_string(request.m_method);
    m_request.target(request.m_target);
    for (const net::Header& header : request.m_headers) m_request.set(header.m_name, header.m_value);
    m_request.body() = request.m_body;
    m_request.keep_alive(false);
    m_request.prepare_payload();
    m_parser.body_limit(kMaxAnswerBytes);
  }

  void Start(const net::Endpoint& to, Millis timeout) {
    m_request.set(http::field::host, net::ToString(to));
    beast::get_lowest_layer(*m_stream).expires_after(timeout);
    const tcp::endpoint at(asio::ip::make_address(to.m_address), to.m_port);
    beast::get_lowest_layer(*m_stream).async_connect(at, [this](const beast::error_code& error) {
      if (error) return void(m_error = error);
      Handshake();
    });
  }

  bool Sent() const { return m_sent; }
  const beast::error_code& Error() const { return m_error; }

  net::HttpResponse Response() {
    auto message = m_parser.release();
    net::HttpResponse response;
    response.m_status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      response.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.m_body = std::move(message.body());
    return response;
  }

 private:
  void Handshake() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      m_stream->async_handshake(asio::ssl::stream_base::client, [this](const beast::error_code& error) {
        if (error) return void(m_error = error);
        Write();
      });
    } else {
      Write();
    }
  }

  void Write() {
    m_sent = true;
    http::async_write(*m_stream, m_request, [this](const beast::error_code& error, std::size_t) {
      if (error) return void(m_error = error);
      Read();
    });
  }

  void Read() {
    http::async_read(*m_stream, m_buffer, m_parser,
                     [this](const beast::error_code& error, std::size_t) { m_error = error; });
  }

  Stream* m_stream;
  http::request<http::string_body> m_request;
  http::response_parser<http::string_body> m_parser;
  beast::flat_buffer m_buffer;
  beast::error_code m_error;
  bool m_sent = false;
};

template <typename Stream>
Result<net::HttpResponse, CallError> RunExchange(asio::io_context* io, Stream* stream, const net::Endpoint& to,
                                                 const net::HttpRequest& request, Millis timeout) {
  Exchange<Stream> exchange(stream, request);
  exchange.Start(to, timeout);
  io->run();
  if (!exchange.Error()) return exchange.Response();
  const std::string why = net::ToString(to) + ": " + exchange.Error().message();
  if (exchange.Sent()) return CallError{AnswerLost{to, why}};
  return CallError{Unreachable{why}};
}

}  // namespace

Result<net::HttpResponse, CallError> AdminClient::SendTo(const net::Endpoint& to,
                                                         const net::HttpRequest& request) const {
  asio::io_context io;
  if (!m_options.m_tls) {
    beast::tcp_stream stream(io);
    return RunExchange(&io, &stream, to, request, m_options.m_timeout);
  }
  try {
    asio::ssl::context context(asio::ssl::context::tls_client);
    context.set_verify_mode(asio::ssl::verify_peer);
    context.set_default_verify_paths();
    if (!m_options.m_ca_file.empty()) context.load_verify_file(m_options.m_ca_file);
    TlsStream stream(io, context);
    stream.set_verify_callback(asio::ssl::host_name_verification(to.m_address));
    return RunExchange(&io, &stream, to, request, m_options.m_timeout);
  } catch (const boost::system::system_error& error) {
    return CallError{Unreachable{"TLS: " + error.code().message()}};
  }
}

Result<net::HttpResponse, CallError> AdminClient::Send(const net::HttpRequest& request, Repeat repeat) {
  net::HttpRequest with_token = request;
  with_token.m_headers.push_back({"Authorization", "Bearer " + m_options.m_token});
  std::string why;
  for (std::size_t tried = 0; tried < m_options.m_at.size(); ++tried) {
    const std::size_t index = (m_first + tried) % m_options.m_at.size();
    auto answer = SendTo(m_options.m_at[index], with_token);
    if (Ok(answer)) {
      m_first = index;
      return answer;
    }
    const auto* lost = std::get_if<AnswerLost>(&ErrorOf(answer));
    if (lost != nullptr && repeat == Repeat::kUnsafe) return answer;
    why += (why.empty() ? "" : "; ") + (lost != nullptr ? lost->m_why : std::get<Unreachable>(ErrorOf(answer)).m_why);
  }
  return CallError{Unreachable{why}};
}

}  // namespace hickoryquay::hqctl
