// CallerSession: one keep-alive connection of a caller. Answers its requests in their order, one at a time; those that
// are pipelined behind wait in its buffer and in the socket.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "hickoryquay/net/arrivals.h"
#include "hickoryquay/net/http.h"
#include "hickoryquay/routing/exchange.h"
#include "hickoryquay/routing/http_parser.h"
#include "hickoryquay/routing/read_buffer.h"
#include "hickoryquay/routing/request_core.h"

namespace hickoryquay::routing {

// Keeps itself alive by its pending operations. All calls on its thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(std::shared_ptr<RequestCore> core, RequestThread* thread, boost::asio::ip::tcp::socket socket);
  ~CallerSession();

  void Start();

  // The outcome of the request in hand, from its exchange. Exactly one of them for each request.
  void SendAnswer(AnswerHead* answer);
  void SendKept(const KeptAnswer& answer);
  void SendReason(Reason reason);

  // Ends what has waited for too long. To be called now and then.
  void CheckDeadline(Instant now);

  // Cuts the connection, whatever is in flight.
  void Close();

  // Nothing of it is being handled or answered.
  bool MayGiveWay() const {
    return m_phase == Phase::kIdle || m_phase == Phase::kReading || m_phase == Phase::kLingering;
  }
  Instant PhaseBegan() const { return m_phase_began; }

 private:
  friend class Roster<CallerSession>;
  using ErrorCode = boost::system::error_code;

  enum class Phase {
    kIdle,       // Between requests.
    kReading,    // A request has arrived in part.
    kHandling,   // The exchange or the handler of other paths has it.
    kWriting,    // Its answer goes out.
    kLingering,  // Nothing more is sent; reads what the caller still sends, so that the last answer is not lost.
    kClosed,
  };
  class Reply;

  void NextRequest();
  void Parse();
  void Read();
  void OnRead(const ErrorCode& error, std::size_t bytes);
  void Continue();
  void NoteArrival();
  void GiveUpBody();
  void Handle();
  void HandleElsewhere();
  void SendResponse(net::HttpResponse response);
  void RefuseAndClose(Reason reason);
  void BeginHead(int status, Outcome outcome, std::string_view reason);
  void FinishHead(std::size_t body_size);
  void Write();
  void OnWritten();
  bool MoreToAnswer();
  void Linger();
  void OnLinger(const ErrorCode& error, std::size_t bytes);
  void Enter(Phase phase, Millis timeout);

  std::shared_ptr<RequestCore> m_core;
  RequestThread* m_thread;
  boost::asio::ip::tcp::socket m_socket;
  std::size_t m_roster_position = 0;
  ReadBuffer m_in;
  RequestParser m_parser;
  RequestHead m_request;
  std::shared_ptr<net::Arrival> m_arrival;  // Of a long body that is being received.
  bool m_reading = false;                   // A read is pending.
  Exchange m_exchange;
  Phase m_phase = Phase::kIdle;
  Instant m_expires;  // Of the phase.
  Instant m_phase_began;
  Instant m_request_began;
  std::uint64_t m_requests = 0;
  bool m_continued = false;  // "100 Continue" was sent.
  bool m_keep = true;        // The connection goes on behind the answer.
  std::string m_out;         // Head of the answer.
  std::string m_out_body;
  MemoryHold m_out_memory;  // Covers m_out_body.
  std::size_t m_written = 0;
  std::size_t m_lingered_bytes = 0;
};

}  // namespace hickoryquay::routing
