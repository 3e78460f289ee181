// BackendConnection: one keep-alive connection to a backend server and the call in flight on it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hickoryquay/routing/backend.h"
#include "hickoryquay/routing/http_parser.h"
#include "hickoryquay/routing/read_buffer.h"
#include "hickoryquay/routing/request_thread.h"

namespace hickoryquay::routing {

struct Call {
  std::string_view m_method;
  std::string_view m_path;       // Target on the backend server, from its '/'.
  std::string_view m_forwarded;  // Header lines, each with its CRLF.
  std::string_view m_body;
  std::uint64_t m_id = 0;
  Instant m_deadline;
};

class CallHandler {
 public:
  virtual ~CallHandler() = default;
  // `answer` may be taken from where the result is kWhole or kServerError; else it means nothing.
  virtual void OnCallEnded(BackendConnection* connection, CallResult result, AnswerHead* answer) = 0;
};

struct ConnectionLimits {
  MessageLimits m_answer{16 * 1024, 4 * 1024 * 1024};
  Millis m_connect_timeout{1'000};
  Millis m_linger{10'000};  // How long an answer that nobody waits for is awaited, to know when its slot is free.
};

// Owns the slot of its call: the slot is returned when the answer came, however late, or can come no more. All calls
// on the thread of the connection, but for Close() on an idle one.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  // Counts as open at `backend` already; counts as closed from Close().
  BackendConnection(BackendPtr backend, std::shared_ptr<MarketState> market, const ConnectionLimits& limits,
                    const Clock* clock);
  ~BackendConnection();

  // Starts a call on a slot taken before. `handler` is told once, never inside Start().
  void Start(RequestThread* thread, const Call& call, std::shared_ptr<CallHandler> handler);

  // The handler is told no more. The call goes on, so that its slot is known to be free when it ends.
  void Abandon() { m_handler.reset(); }

  // Ends a call whose deadline passed. To be called now and then.
  void CheckDeadline(Instant now);

  void Close();

  int ThreadIndex() const { return m_thread == nullptr ? -1 : m_thread->m_index; }
  const BackendPtr& GetBackend() const { return m_backend; }

 private:
  friend class Roster<BackendConnection>;
  using ErrorCode = boost::system::error_code;

  void MoveTo(RequestThread* thread);
  bool ClosedByPeer();
  void Compose(const Call& call);
  void Connect();
  void OnConnected(const ErrorCode& error);
  void Write();
  void Read();
  void OnRead(const ErrorCode& error, std::size_t bytes);
  CallResult Judge() const;
  void Tell(CallResult result);  // The backend's record and the handler, once a call.
  void End(CallResult result, bool reusable);
  bool Current(int call) const { return m_busy && call == m_calls; }

  const BackendPtr m_backend;
  const std::shared_ptr<MarketState> m_market;
  const ConnectionLimits m_limits;
  const Clock* m_clock;
  RequestThread* m_thread = nullptr;
  std::optional<boost::asio::ip::tcp::socket> m_socket;  // Empty until the first call.
  bool m_open = true;                                    // Counted at the backend.
  int m_calls = 0;
  std::size_t m_roster_position = 0;
  bool m_busy = false;
  bool m_told = false;
  std::shared_ptr<CallHandler> m_handler;
  Instant m_call_deadline;
  Instant m_deadline;  // Of the step under way: connecting, the call, or lingering.
  Instant m_started;
  std::string m_id;
  bool m_to_head_request = false;
  std::string m_out;
  std::size_t m_written = 0;
  ReadBuffer m_in;
  AnswerParser m_parser;
  AnswerHead m_answer;
};

}  // namespace hickoryquay::routing
