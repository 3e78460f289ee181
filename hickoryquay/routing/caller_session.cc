#include "hickoryquay/routing/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <utility>

namespace hickoryquay::routing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view kServePrefix = "/serve/";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Millis kLinger{1'000};
constexpr Millis kForever{std::int64_t{1} << 40};
constexpr std::size_t kMostLingeredBytes = 256 * 1024;
constexpr std::size_t kKeptOutBytes = 64 * 1024;

void AppendNumber(std::uint64_t number, std::string* text) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), number).ptr;
  text->append(digits, end);
}

// Lines "Name: value", each with its CRLF.
std::vector<net::Header> SplitLines(std::string_view lines) {
  std::vector<net::Header> headers;
  while (!lines.empty()) {
    const std::size_t end = lines.find("\r\n");
    const std::string_view line = lines.substr(0, end);
    const std::size_t colon = line.find(": ");
    headers.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    lines.remove_prefix(end + 2);
  }
  return headers;
}

}  // namespace

// Answers through the session once; closes the connection where nobody answered.
class CallerSession::Reply {
 public:
  explicit Reply(std::shared_ptr<CallerSession> session) : m_session(std::move(session)) {}
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;
  ~Reply() {
    if (m_used.exchange(true)) return;
    asio::post(*m_session->m_thread->m_io, [session = m_session] { session->Close(); });
  }

  void Send(net::HttpResponse response) {
    if (m_used.exchange(true)) return;
    auto session = std::move(m_session);  // A handler may keep its responder for longer than the connection lasts.
    asio::io_context& io = *session->m_thread->m_io;
    asio::post(io, [session = std::move(session), answer = std::move(response)]() mutable {
      if (session->m_phase == Phase::kHandling) session->SendResponse(std::move(answer));
    });
  }

 private:
  std::shared_ptr<CallerSession> m_session;
  std::atomic<bool> m_used{false};
};

CallerSession::CallerSession(std::shared_ptr<RequestCore> core, RequestThread* thread, tcp::socket socket)
    : m_core(std::move(core)),
      m_thread(thread),
      m_socket(std::move(socket)),
      m_in(m_core->m_settings.m_max_header_bytes),
      m_parser({m_core->m_settings.m_max_header_bytes, m_core->m_settings.m_max_body_bytes, m_core->m_memory}),
      m_exchange(m_core.get(), thread, this) {}

CallerSession::~CallerSession() {
  if (m_phase != Phase::kClosed) --m_core->m_sessions;
}

void CallerSession::Start() {
  m_thread->m_sessions.Add(this);
  ErrorCode ignored;
  m_socket.non_blocking(true, ignored);
  m_socket.set_option(tcp::no_delay(true), ignored);
  NextRequest();
}

void CallerSession::Enter(Phase phase, Millis timeout) {
  m_phase = phase;
  m_phase_began = m_core->m_clock->Now();
  m_expires = m_phase_began + timeout;
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Reading
//-------------------------------------------------------------------------------------------------

void CallerSession::NextRequest() {
  m_parser.Begin(&m_request);
  m_continued = false;
  Enter(Phase::kIdle, m_core->m_settings.m_idle_timeout);
  m_in.Empty() ? Read() : Parse();
}

void CallerSession::Read() {
  if (m_reading) return;  // Since before its request was refused.
  m_reading = true;
  m_socket.async_read_some(m_in.Room(), [self = shared_from_this()](const ErrorCode& error, std::size_t bytes) {
    self->m_reading = false;
    if (self->m_phase != Phase::kClosed) self->OnRead(error, bytes);
  });
}

void CallerSession::OnRead(const ErrorCode& error, std::size_t bytes) {
  if (m_phase == Phase::kLingering) return OnLinger(error, bytes);
  if (error) return Close();
  if (m_phase == Phase::kWriting) return;  // It was refused while it was read: the rest does not count.
  m_in.Commit(bytes);
  Parse();
}

// Of a body that holds memory and is not whole yet.
void CallerSession::NoteArrival() {
  const std::uint64_t held = m_request.m_memory.Bytes();
  if (held == 0) return;
  if (!m_arrival) {
    m_arrival = m_core->m_arrivals->Begin([weak = weak_from_this(), io = m_thread->m_io] {
      asio::post(*io, [weak] {
        if (const auto self = weak.lock()) self->GiveUpBody();
      });
    });
  }
  m_arrival->m_received = m_request.m_body.size();
  m_arrival->m_held_bytes = held;
}

void CallerSession::GiveUpBody() {
  if (m_phase == Phase::kReading) RefuseAndClose(Reason::kOutOfMemory);
}

void CallerSession::Parse() {
  if (m_phase == Phase::kIdle) Enter(Phase::kReading, m_core->m_settings.m_request_timeout);
  const ParseResult parsed = m_parser.Put(m_in.Unread());
  m_in.Consume(parsed.m_consumed);
  switch (parsed.m_state) {
    case ParseState::kDone:
      return Handle();
    case ParseState::kMore:
      NoteArrival();
      if (m_request.m_wants_100 && m_parser.HeaderDone() && !m_continued) Continue();
      return Read();
    case ParseState::kHeaderTooLarge:
      return RefuseAndClose(Reason::kHeaderTooLarge);
    case ParseState::kBodyTooLarge:
      return RefuseAndClose(Reason::kBodyTooLarge);
    case ParseState::kOutOfMemory:
      m_core->m_arrivals->GiveUpSlowest(1, m_arrival.get());
      return RefuseAndClose(Reason::kOutOfMemory);
    case ParseState::kMalformed:
      return RefuseAndClose(Reason::kMalformed);
  }
}

// Small enough to go out whole into an empty socket; a caller who gets nothing sends its body all the same.
void CallerSession::Continue() {
  m_continued = true;
  ErrorCode ignored;
  m_socket.write_some(asio::buffer(kContinue.data(), kContinue.size()), ignored);
}

void CallerSession::Handle() {
  m_arrival.reset();
  ++m_requests;
  m_keep = m_request.m_keep_alive;
  Enter(Phase::kHandling, kForever);
  m_request_began = m_phase_began;
  const std::string_view target = m_request.m_target;
  if (target.substr(0, kServePrefix.size()) == kServePrefix) return m_exchange.Begin(&m_request);
  HandleElsewhere();
}

void CallerSession::HandleElsewhere() {
  net::HttpRequest request;
  request.m_method = m_request.m_method;
  request.m_target = m_request.m_target;
  request.m_headers = SplitLines(m_request.m_forwarded);
  if (!m_request.m_deadline.empty()) request.m_headers.push_back({"HQ-Deadline-Ms", m_request.m_deadline});
  request.m_body = m_request.m_body;
  auto reply = std::make_shared<Reply>(shared_from_this());
  m_core->m_fallback(std::move(request), [reply](net::HttpResponse response) { reply->Send(std::move(response)); });
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Answering
//-------------------------------------------------------------------------------------------------

void CallerSession::BeginHead(int status, Outcome outcome, std::string_view reason) {
  const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  m_out.assign("HTTP/1.1 ");
  AppendNumber(static_cast<std::uint64_t>(status), &m_out);
  m_out.append(" ").append(text.data(), text.size()).append("\r\nHQ-Outcome: ").append(ToString(outcome));
  if (!reason.empty()) m_out.append("\r\nHQ-Reason: ").append(reason);
  m_out.append("\r\n");
}

void CallerSession::FinishHead(std::size_t body_size) {
  if (m_phase == Phase::kClosed) return;  // The caller went away while its request ran on.
  if (m_core->m_draining.load(std::memory_order_relaxed) && !MoreToAnswer()) m_keep = false;
  m_out.append("Content-Length: ");
  AppendNumber(body_size, &m_out);
  m_out.append(m_keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
  m_written = 0;
  Enter(Phase::kWriting, m_core->m_settings.m_write_timeout);
}

void CallerSession::SendAnswer(AnswerHead* answer) {
  const bool sampled = m_requests % kLatencySampleEvery == 0;
  if (sampled) m_core->m_latency_ms->Add(static_cast<double>((m_core->m_clock->Now() - m_request_began).count()));
  m_core->m_answers[0]->Add();
  BeginHead(answer->m_status, Outcome::kDone, "");
  m_out.append(answer->m_forwarded);
  m_out_body.swap(answer->m_body);
  m_out_memory = std::move(answer->m_memory);
  FinishHead(m_out_body.size());
  Write();
}

void CallerSession::SendKept(const KeptAnswer& answer) {
  m_core->m_answers[0]->Add();
  BeginHead(answer.m_status, Outcome::kDone, "kept-answer");
  if (!answer.m_content_type.empty()) m_out.append("Content-Type: ").append(answer.m_content_type).append("\r\n");
  m_out_body = answer.m_body;
  FinishHead(m_out_body.size());
  Write();
}

void CallerSession::SendReason(Reason reason) {
  const ReasonText& text = Describe(reason);
  m_core->m_answers.at(static_cast<std::size_t>(reason))->Add();
  BeginHead(text.m_status, text.m_outcome, text.m_code);
  if (text.m_retry_after_s > 0) {
    m_out.append("Retry-After: ");
    AppendNumber(static_cast<std::uint64_t>(text.m_retry_after_s), &m_out);
    m_out.append("\r\n");
  }
  m_out.append("Content-Type: application/json\r\n");
  m_out_body.assign("{\"error\":{\"code\":\"").append(text.m_code).append("\",\"message\":\"");
  m_out_body.append(text.m_message).append("\"}}");
  FinishHead(m_out_body.size());
  Write();
}

void CallerSession::SendResponse(net::HttpResponse response) {
  const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.m_status));
  m_out.assign("HTTP/1.1 ");
  AppendNumber(static_cast<std::uint64_t>(response.m_status), &m_out);
  m_out.append(" ").append(text.data(), text.size()).append("\r\n");
  for (const net::Header& header : response.m_headers) {
    m_out.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
  }
  m_out_body = std::move(response.m_body);
  FinishHead(m_out_body.size());
  Write();
}

void CallerSession::RefuseAndClose(Reason reason) {
  m_keep = false;
  m_arrival.reset();
  m_request.m_memory.Release();
  std::string().swap(m_request.m_body);
  SendReason(reason);
}

// Writes at once what the socket takes; most answers go out whole this way.
void CallerSession::Write() {
  if (m_phase == Phase::kClosed) return;
  if (m_request.m_method == "HEAD") m_out_body.clear();
  const std::size_t total = m_out.size() + m_out_body.size();
  const std::size_t head_left = m_out.size() - std::min(m_written, m_out.size());
  const std::size_t body_written = m_written - std::min(m_written, m_out.size());
  const std::array<asio::const_buffer, 2> rest{
      asio::buffer(m_out.data() + m_out.size() - head_left, head_left),
      asio::buffer(m_out_body.data() + body_written, m_out_body.size() - body_written)};
  ErrorCode error;
  m_written += m_socket.write_some(rest, error);
  if (m_written == total) return OnWritten();
  if (error && error != asio::error::would_block) return Close();
  m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode& failed) {
    if (self->m_phase != Phase::kWriting) return;
    failed ? self->Close() : self->Write();
  });
}

void CallerSession::OnWritten() {
  m_out_memory.Release();
  if (m_out_body.capacity() > kKeptOutBytes) std::string().swap(m_out_body);
  if (!m_keep) return Linger();
  if (m_in.Empty()) return NextRequest();
  // Requests pipelined behind are begun from the loop, not from inside this one.
  Enter(Phase::kIdle, m_core->m_settings.m_idle_timeout);
  asio::post(*m_thread->m_io, [self = shared_from_this()] {
    if (self->m_phase == Phase::kIdle) self->NextRequest();
  });
}

//-------------------------------------------------------------------------------------------------
// [SECTION] Ending
//-------------------------------------------------------------------------------------------------

// True where bytes of a further request have arrived.
bool CallerSession::MoreToAnswer() {
  if (!m_in.Empty()) return true;
  char byte = 0;
  return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerSession::Linger() {
  ErrorCode ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_in.Clear();
  m_lingered_bytes = 0;
  Enter(Phase::kLingering, kLinger);
  Read();
}

void CallerSession::OnLinger(const ErrorCode& error, std::size_t bytes) {
  m_lingered_bytes += bytes;
  if (error || m_lingered_bytes > kMostLingeredBytes) return Close();
  Read();
}

void CallerSession::CheckDeadline(Instant now) {
  m_exchange.CheckDeadline(now);
  const bool draining = m_core->m_draining.load(std::memory_order_relaxed);
  const bool idle = m_phase == Phase::kIdle && m_in.Empty();
  if (draining && idle && now - m_phase_began >= m_core->m_settings.m_drain_idle && !MoreToAnswer()) return Close();
  if (now < m_expires) return;
  if (m_phase == Phase::kReading) return RefuseAndClose(Reason::kRequestTooSlow);
  if (m_phase != Phase::kHandling) Close();
}

void CallerSession::Close() {
  if (m_phase == Phase::kClosed) return;
  m_phase = Phase::kClosed;
  m_thread->m_sessions.Remove(this);
  --m_core->m_sessions;
  m_exchange.Withdraw();
  ErrorCode ignored;
  m_socket.close(ignored);
}

}  // namespace hickoryquay::routing
