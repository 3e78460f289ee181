// HTTP/1.1 for everything that is not the request path: admin API, table service, object store, workers.
// Beast stays behind these plain structs, since its headers are slow to compile.
//
// Index of this file:
//   [SECTION] Messages
//   [SECTION] Errors
//   [SECTION] Server
//   [SECTION] Client
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/result.h"

namespace hickoryquay {
class Metrics;
}

namespace hickoryquay::net {

class Arrivals;  // net/arrivals.h

//-------------------------------------------------------------------------------------------------
// [SECTION] Messages
//-------------------------------------------------------------------------------------------------

struct Endpoint {
  std::string m_address;  // An IP number, never a name.
  std::uint16_t m_port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

std::string ToString(const Endpoint& endpoint);  // "127.0.0.1:80", "[::1]:80".

// Reads "ADDRESS:PORT"; the error says what is wrong with the text.
std::variant<Endpoint, std::string> ParseEndpoint(std::string_view text);

struct Header {
  std::string m_name;
  std::string m_value;
};

struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";  // Path and query, percent-encoded.
  std::vector<Header> m_headers;
  std::string m_body;
  bool m_may_wait = false;  // The server may hold its answer back until it has news: silence means nothing.
  // The answer may be of any size. The time limit then bounds the wait for its first bytes and for any further ones,
  // not the answer as a whole: one that was broken off for its size would be as large the next time.
  bool m_large_answer = false;
  std::size_t m_max_answer_bytes = 0;  // Of the body; a longer one is broken off as TooLong. 0: the client's limit.
  std::function<void(int status)> m_on_progress = nullptr;  // A part of an answer arrived that is not whole yet.
};

struct HttpResponse {
  int m_status = 200;
  std::vector<Header> m_headers;
  std::string m_body;
};

// A GET whose answer may be of any size.
HttpRequest LargeRead(std::string target);

// The first header of that name in any letter case; nullptr where there is none.
const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name);

struct Target {
  std::string m_path;                                        // Decoded, without the query.
  std::vector<std::pair<std::string, std::string>> m_query;  // Decoded, in order.
};
Target ParseTarget(std::string_view target);
std::string PercentEncode(std::string_view text);

// The first value of a query key; empty where there is none.
std::string QueryValue(const Target& target, std::string_view key);

//-------------------------------------------------------------------------------------------------
// [SECTION] Errors
//-------------------------------------------------------------------------------------------------

// What became of a call that brought no whole answer. Only NotSent proves that the peer never saw it.
// Not a byte was written.
struct NotSent {
  std::string m_why;
};

// The time limit passed.
struct TimedOut {
  bool m_sent = false;
  std::size_t m_received = 0;  // Bytes of the answer until then, its head included.
};

// Written in part or whole, then the connection ended.
struct Cut {
  std::string m_why;
};

// The answer broke HTTP or a limit.
struct Garbled {
  std::string m_why;
};

// The answer's body is longer than its caller takes.
struct TooLong {};

using NetError = std::variant<NotSent, TimedOut, Cut, Garbled, TooLong>;

// True where the peer may have acted on the call.
bool MaybeSent(const NetError& error);
std::string ToString(const NetError& error);

//-------------------------------------------------------------------------------------------------
// [SECTION] Server
//-------------------------------------------------------------------------------------------------

// What the head of a request already tells.
struct HeadVerdict {
  std::size_t m_max_body_bytes = 0;
  std::optional<HttpResponse> m_refusal;  // Sent at once; the body is not received and the connection ends.
};

// Asked before a body is received that is long or does not tell its length. `head` has no body yet.
using HeadCheck = std::function<HeadVerdict(const HttpRequest& head)>;

struct ServerSettings {
  Endpoint m_listen{"127.0.0.1", 0};           // Port 0: any free one, see HttpServer::Local().
  std::string m_name = "http";                 // In metrics and log lines.
  std::size_t m_max_header_bytes = 16 * 1024;  // Of a head, trailers included.
  std::size_t m_max_fields = 128;              // The same; each takes several times its text.
  std::size_t m_max_body_bytes = 1024 * 1024;
  HeadCheck m_check_head;                // May be empty.
  std::shared_ptr<Arrivals> m_arrivals;  // Bounds the bodies of all servers that share it; null: not bounded.
  std::uint64_t m_body_copies = 1;       // Of a long body, that its handler keeps until it answers.
  Metrics* m_metrics = nullptr;          // May be null.
  Millis m_idle_timeout{60'000};         // Also bounds how slowly a request may arrive.
  // Beyond it a new connection takes the place of the one that has gone longest without a whole request.
  int m_max_connections = 1024;
  std::string m_tls_certificate;  // PEM file of the certificate chain; empty: plain TCP.
  std::string m_tls_key;          // PEM file of its private key.
};

// Answers one request. May be called from any thread, at most once; a responder dropped unanswered closes the
// connection.
using Responder = std::function<void(HttpResponse)>;
using Handler = std::function<void(HttpRequest, Responder)>;

// Malformed or oversized requests get a 4xx with a JSON body and never reach the handler; so do requests for whose body
// memory is short, which get 503 with Retry-After. A client that is still sending then is listened to for a while, so
// that it can read the answer. Thread-safe.
class HttpServer {
 public:
  // Binds at once. Throws std::runtime_error, naming the endpoint or the TLS file, where that fails: a daemon can't go
  // on without.
  HttpServer(boost::asio::io_context* io, const ServerSettings& settings, Handler handler);
  ~HttpServer();

  Endpoint Local() const;

  // Stops accepting, closes idle connections, answers what is in flight with "Connection: close", then calls `done`.
  void Drain(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

// {"error": {"code": code, "message": message, "field": field}} with the given status.
HttpResponse JsonError(int status, std::string_view code, std::string_view message, std::string_view field = "");
HttpResponse JsonResponse(int status, std::string body);

//-------------------------------------------------------------------------------------------------
// [SECTION] Client
//-------------------------------------------------------------------------------------------------

struct ClientSettings {
  int m_max_connections_per_endpoint = 4;  // Further calls wait within their deadline.
  std::size_t m_max_body_bytes = 16 * 1024 * 1024;
  Millis m_idle_timeout{30'000};  // An idle connection older than this is not used again.
  // Between looks at all idle connections: those that are too old, or closed by their servers, are closed. Servers that
  // are gone for good are not called again, and would hold their descriptors for ever.
  Millis m_sweep_interval{5'000};
  Millis m_longest_answer{60'000};  // Of a large answer as a whole, from the sending of its request.
};

using ResponseCallback = std::function<void(Result<HttpResponse, NetError>)>;

// Keep-alive connections per endpoint; one request at a time on each. Never retries. Thread-safe.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context* io, const ClientSettings& settings);
  ~HttpClient();

  // Calls back exactly once, on a thread of the io_context: when `timeout` is over, or for a large answer when nothing
  // of it arrived for that long. An answer that has arrived then and waits to be read still counts. Nothing is sent
  // later.
  void Send(const Endpoint& to, HttpRequest request, Millis timeout, ResponseCallback callback);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::net
