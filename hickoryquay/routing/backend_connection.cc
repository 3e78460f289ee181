#include "hickoryquay/routing/backend_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

namespace hickoryquay::routing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis kTrustedIdle{50};
constexpr std::size_t kKeptOutBytes = 64 * 1024;
constexpr int kFirstServerError = 500;

void AppendNumber(std::int64_t number, std::string* text) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), number).ptr;
  text->append(digits, end);
}

void AssignHex(std::uint64_t number, std::string* text) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), number, 16).ptr;
  text->assign(digits, end);
}

}  // namespace

BackendConnection::BackendConnection(BackendPtr backend, std::shared_ptr<MarketState> market,
                                     const ConnectionLimits& limits, const Clock* clock)
    : m_backend(std::move(backend)),
      m_market(std::move(market)),
      m_limits(limits),
      m_clock(clock),
      m_in(limits.m_answer.m_header_bytes),
      m_parser(limits.m_answer) {}

BackendConnection::~BackendConnection() {
  Close();
}

void BackendConnection::Start(RequestThread* thread, const Call& call, std::shared_ptr<CallHandler> handler) {
  ++m_calls;
  m_busy = true;
  m_told = false;
  m_handler = std::move(handler);
  m_started = m_clock->Now();
  m_call_deadline = call.m_deadline;
  m_deadline = m_call_deadline;
  m_written = 0;
  MoveTo(thread);
  thread->m_calls.Add(this);
  Compose(call);
  if (m_socket->is_open() && Stale(call)) {
    ErrorCode ignored;
    m_socket->close(ignored);
  }
  if (!m_socket->is_open()) return Connect();
  Write();
}

void BackendConnection::MoveTo(RequestThread* thread) {
  if (m_thread == thread) return;
  m_thread = thread;
  if (!m_socket || !m_socket->is_open()) {
    m_socket.emplace(*thread->m_io);
    return;
  }
  ErrorCode error;
  const tcp::endpoint peer = m_socket->remote_endpoint(error);
  const auto handle = m_socket->release(error);
  m_socket.emplace(*thread->m_io);
  if (!error) m_socket->assign(peer.protocol(), handle, error);
  if (!error) m_socket->non_blocking(true, error);
}

// Asking the socket costs a system call. A request that can be repeated does without where the connection was just
// used: if it is closed nevertheless, the request is tried again.
bool BackendConnection::Stale(const Call& call) {
  const bool just_used = m_started - m_idle_since < kTrustedIdle;
  return !(call.m_repeatable && just_used) && ClosedByPeer();
}

// Also true where bytes came that nobody asked for.
bool BackendConnection::ClosedByPeer() {
  char byte = 0;
  const auto got = ::recv(m_socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void BackendConnection::Compose(const Call& call) {
  AssignHex(call.m_id, &m_id);
  m_to_head_request = call.m_method == "HEAD";
  if (m_out.capacity() > kKeptOutBytes) std::string().swap(m_out);
  m_out.clear();
  m_out.append(call.m_method).append(" ").append(call.m_path).append(" HTTP/1.1\r\nHost: ");
  m_out.append(m_backend->Server().m_endpoint.m_address).append("\r\nHQ-Request-Id: ").append(m_id);
  m_out.append("\r\nHQ-Deadline-Ms: ");
  AppendNumber(std::max<std::int64_t>(1, (call.m_deadline - m_started).count()), &m_out);
  m_out.append("\r\n").append(call.m_forwarded).append("Content-Length: ");
  AppendNumber(static_cast<std::int64_t>(call.m_body.size()), &m_out);
  m_out.append("\r\n\r\n").append(call.m_body);
}

void BackendConnection::Connect() {
  m_deadline = std::min(m_deadline, m_started + m_limits.m_connect_timeout);
  const net::Endpoint& to = m_backend->Server().m_endpoint;
  ErrorCode error;
  const auto address = asio::ip::make_address(to.m_address, error);
  const tcp::endpoint peer(address, to.m_port);
  if (!error) m_socket->open(peer.protocol(), error);
  if (error) {
    asio::post(*m_thread->m_io, [self = shared_from_this(), call = m_calls] {
      if (self->Current(call)) self->End(CallResult::kNotSent, false);
    });
    return;
  }
  m_socket->async_connect(peer, [self = shared_from_this(), call = m_calls](const ErrorCode& failed) {
    if (self->Current(call)) self->OnConnected(failed);
  });
}

void BackendConnection::OnConnected(const ErrorCode& error) {
  if (error) return End(CallResult::kNotSent, false);
  m_deadline = m_call_deadline;
  ErrorCode ignored;
  m_socket->non_blocking(true, ignored);
  m_socket->set_option(tcp::no_delay(true), ignored);
  Write();
}

// Writes at once what the socket takes; most requests go out whole this way.
void BackendConnection::Write() {
  ErrorCode error;
  m_written += m_socket->write_some(asio::buffer(m_out.data() + m_written, m_out.size() - m_written), error);
  if (m_written == m_out.size()) {
    m_in.Clear();
    m_parser.Begin(&m_answer, m_to_head_request);
    return Read();
  }
  if (error && error != asio::error::would_block) {
    const CallResult result = m_written == 0 ? CallResult::kNotSent : CallResult::kCut;
    asio::post(*m_thread->m_io, [self = shared_from_this(), call = m_calls, result] {
      if (self->Current(call)) self->End(result, false);
    });
    return;
  }
  m_socket->async_wait(tcp::socket::wait_write, [self = shared_from_this(), call = m_calls](const ErrorCode& failed) {
    if (!self->Current(call)) return;
    if (failed) return self->End(self->m_written == 0 ? CallResult::kNotSent : CallResult::kCut, false);
    self->Write();
  });
}

void BackendConnection::Read() {
  m_socket->async_read_some(m_in.Room(),
                            [self = shared_from_this(), call = m_calls](const ErrorCode& error, std::size_t bytes) {
                              if (self->Current(call)) self->OnRead(error, bytes);
                            });
}

void BackendConnection::OnRead(const ErrorCode& error, std::size_t bytes) {
  if (error) return End(CallResult::kCut, false);
  m_in.Commit(bytes);
  const ParseResult parsed = m_parser.Put(m_in.Unread());
  m_in.Consume(parsed.m_consumed);
  switch (parsed.m_state) {
    case ParseState::kMore:
      return Read();
    case ParseState::kDone:
      break;
    case ParseState::kHeaderTooLarge:
    case ParseState::kBodyTooLarge:
    case ParseState::kOutOfMemory:
      return End(CallResult::kTooLarge, false);
    case ParseState::kMalformed:
      return End(CallResult::kBadAnswer, false);
  }
  const CallResult result = Judge();
  const bool whole = result == CallResult::kWhole || result == CallResult::kServerError;
  const bool understood = whole || result == CallResult::kRefused;
  if (understood && m_answer.m_leaving) m_backend->MarkLeaving();
  End(result, understood && m_answer.m_keep_alive && m_in.Empty());
}

CallResult BackendConnection::Judge() const {
  if (m_answer.m_request_id != m_id) return CallResult::kCrossed;
  if (!m_answer.m_has_length) return CallResult::kBadAnswer;
  if (m_answer.m_not_run) return CallResult::kRefused;
  return m_answer.m_status >= kFirstServerError ? CallResult::kServerError : CallResult::kWhole;
}

void BackendConnection::Tell(CallResult result) {
  if (m_told) return;
  m_told = true;
  const Instant now = m_clock->Now();
  m_backend->OnResult(result, now - m_started, now);
  if (const auto handler = std::exchange(m_handler, nullptr)) handler->OnCallEnded(this, result, &m_answer);
}

void BackendConnection::CheckDeadline(Instant now) {
  if (!m_busy || now < m_deadline) return;
  if (m_told || m_written == 0) return End(m_written == 0 ? CallResult::kNotSent : CallResult::kLate, false);
  Tell(CallResult::kLate);
  m_deadline = now + m_limits.m_linger;
}

void BackendConnection::End(CallResult result, bool reusable) {
  const auto self = shared_from_this();
  const Instant now = m_clock->Now();
  m_busy = false;
  m_idle_since = now;
  m_thread->m_calls.Remove(this);
  if (!reusable) Close();
  Tell(result);
  m_answer.Clear();  // Nobody took an answer that came late: an idle connection must not hold its memory.
  // From PutIdle() on another thread may use this connection; before the slot, so that whoever gets it finds it idle.
  const Millis held = now - m_started;
  if (reusable) m_backend->PutIdle(self);
  m_backend->ReturnSlot();
  m_market->m_dispatcher.OnSlotReturned(held, now);
}

void BackendConnection::Close() {
  if (!m_open) return;
  m_open = false;
  ErrorCode ignored;
  if (m_socket) m_socket->close(ignored);
  m_backend->OnConnectionClosed();
}

}  // namespace hickoryquay::routing
