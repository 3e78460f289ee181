// Loopback: a request server, backend servers with faults and callers, on one thread and virtual time. Only the sockets
// are real.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/metrics.h"
#include "hickoryquay/base/timer_service.h"
#include "hickoryquay/routing/request_server.h"
#include "tests/fakes/fake_table.h"

namespace hickoryquay::test {

// What a fake backend server does with a request.
enum class Behaviour {
  kAnswer,
  kEchoTarget,  // Answers with the target it was asked for.
  kHold,        // Runs it, answers when told to.
  kHoldLarge,   // The same, with an answer of 100,000 bytes.
  kCross,       // Answers with another request's id.
  kCut,         // Sends half of the answer, then closes.
  kTwice,       // Sends the whole answer two times.
  kRefuse,      // HQ-Not-Run: 1.
  kLeave,       // Answers with HQ-Leaving: 1.
  kNoLength,    // A chunked answer.
  kOversized,   // More than the limit of an answer.
  kStall,       // Sends the beginning of a large answer, then nothing.
  kHangUp,      // Closes without an answer, after running it.
  kFail,        // A whole answer with status 500.
};

class FakeBackend {
 public:
  FakeBackend(boost::asio::io_context* io, std::string name);
  ~FakeBackend();

  void SetBehaviour(Behaviour behaviour) { m_behaviour = behaviour; }
  routing::BackendServer Listed(const std::string& domain) const;
  void AnswerHeld();     // Whatever is held so far.
  void StopListening();  // Refuses connections and cuts those that are there.

  int m_ran = 0;  // Requests executed.
  int m_refused = 0;
  int m_most_connections = 0;
  int Connections() const { return *m_open; }  // Open now.
  std::string m_last_head;

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  void OnRequest(const std::shared_ptr<Connection>& connection, const std::string& head);
  void Send(const std::shared_ptr<Connection>& connection, const std::string& bytes, bool close);

  std::shared_ptr<int> m_open = std::make_shared<int>(0);
  std::string m_name;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Behaviour m_behaviour = Behaviour::kAnswer;
  std::vector<std::weak_ptr<Connection>> m_all;
  std::vector<std::function<void()>> m_held;
};

// One connection of a caller. Answers are taken apart as they come.
class FakeCaller : public std::enable_shared_from_this<FakeCaller> {
 public:
  FakeCaller(boost::asio::io_context* io, const net::Endpoint& to);
  void Start() { Read(); }

  struct Answer {
    int m_status = 0;
    std::string m_head;
    std::string m_body;
    std::string Header(const std::string& name) const;  // Empty where it is absent.
    std::string Outcome() const { return Header("HQ-Outcome"); }
    std::string Reason() const { return Header("HQ-Reason"); }
  };

  void Send(const std::string& bytes);
  void Close() { m_socket.close(); }
  std::deque<Answer> m_answers;
  bool m_closed = false;  // By the server.

 private:
  void Read();
  void TakeApart();

  boost::asio::ip::tcp::socket m_socket;
  std::array<char, 65536> m_chunk{};
  std::string m_bytes;
};

// Head of a request of the market "town", account "halls".
std::string ServeRequest(const std::string& work_class, const std::string& more_headers = "",
                         const std::string& path = "/confirm", const std::string& body = "");

class Loopback {
 public:
  explicit Loopback(routing::RequestSettings settings = {});
  ~Loopback();

  FakeBackend& AddBackend(const std::string& name, const std::string& domain = "near");
  void Publish();  // Configuration, backend servers and instances.
  void PublishTo(routing::RequestServer* server, const std::vector<InstanceId>& instances);
  std::shared_ptr<FakeCaller> Connect();
  std::shared_ptr<FakeCaller> Connect(const routing::RequestServer& server);

  // Runs the loop until the condition holds; false where it does not for seconds on end.
  bool RunUntil(const std::function<bool()>& condition);
  bool Answered(const FakeCaller& caller, std::size_t count = 1);
  void Settle();            // Runs until sockets are quiet.
  void Advance(Millis by);  // In steps of the timer, with the loop run between them.

  // Sends one request on a connection of its own and returns its answer.
  FakeCaller::Answer Ask(const std::string& request);

  bool Turn();  // Of the loop; false where nothing happened.

  boost::asio::io_context m_io;
  ManualClock m_clock;
  ManualTimerService m_timers{&m_clock};
  FakeTable m_table;
  Metrics m_metrics;
  std::vector<std::unique_ptr<FakeBackend>> m_backends;
  std::vector<routing::BackendServer> m_listed;
  std::unique_ptr<routing::RequestServer> m_server;
  int m_other_paths = 0;                           // Requests that were not for backend servers.
  std::vector<net::Responder> m_held_other_paths;  // Of targets under /held.
};

}  // namespace hickoryquay::test
