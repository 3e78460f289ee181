// Channels of the inner protocol on Asio: a server that answers messages, a client that keeps one connection a peer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/inner/message.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::inner {

// The peer could not be reached, or gave no answer in time; it may have got the message.
struct NoAnswer {
  std::string m_why;
};

// The peer is of another version and doesn't know this message.
struct NotUnderstood {
  std::int32_t m_peer_protocol = 0;
};
using InnerError = std::variant<NoAnswer, NotUnderstood>;
std::string ToString(const InnerError& error);

using Answer = std::function<void(Message)>;
using MessageHandler = std::function<void(Message, Answer)>;  // Answers at most once, from any thread.
using AnswerCallback = std::function<void(Result<Message, InnerError>)>;

// Bytes in both directions, framing included; for the budget of control traffic.
struct Traffic {
  std::uint64_t m_sent_bytes = 0;
  std::uint64_t m_received_bytes = 0;
};

struct InnerServerSettings {
  // Beyond it a new connection takes the place of the one that has gone longest without a whole frame.
  int m_max_connections = 2'048;
  std::uint64_t m_frame_bytes = 32 * 1024 * 1024;  // Of frames that have arrived in part, on all connections.
  Metrics* m_metrics = nullptr;                    // May be null.
};

// Thread-safe. Unknown messages are answered with Unsupported, bad frames end their connection.
class InnerServer {
 public:
  // Throws std::runtime_error, naming the endpoint, where it can't listen.
  InnerServer(boost::asio::io_context* io, const net::Endpoint& listen, MessageHandler handler,
              const InnerServerSettings& settings = {});
  ~InnerServer();
  net::Endpoint Local() const;
  Traffic Bytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

// Thread-safe. Connects on demand; a connection that fails is opened anew by the next call. Never retries a message.
class InnerClient {
 public:
  explicit InnerClient(boost::asio::io_context* io);
  ~InnerClient();

  // Calls back exactly once, at the latest when `timeout` is over. If a frame is arriving then, which may be the
  // answer, the call waits for its end as long as parts of it arrive within `timeout` of each other. What has arrived
  // by then and was not read yet, for want of processor time, is read first.
  void Call(const net::Endpoint& peer, Message message, Millis timeout, AnswerCallback callback);

  // Closes the connection to a peer that is gone.
  void Forget(const net::Endpoint& peer);
  Traffic Bytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::inner
