#include "tests/routing/loopback.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace hickoryquay::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Millis kStep{10};
constexpr std::chrono::milliseconds kSocketPause{1};
constexpr int kQuietTurns = 3;          // Pauses without any event before the sockets count as quiet.
constexpr int kMostQuietTurns = 5'000;  // Then what a test waits for does not come.

std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

std::size_t LengthOf(const std::string& head) {
  const std::string length = HeaderOf(head, "Content-Length");
  return length.empty() ? 0 : std::stoul(length);
}

std::string AnswerTo(const std::string& id, const std::string& body, const std::string& more = "", int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nHQ-Request-Id: " + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

struct FakeBackend::Connection {
  Connection(tcp::socket socket, std::shared_ptr<int> open) : m_socket(std::move(socket)), m_open(std::move(open)) {
    ++*m_open;
  }
  ~Connection() { --*m_open; }
  tcp::socket m_socket;
  std::shared_ptr<int> m_open;
  std::array<char, 65536> m_chunk{};
  std::string m_bytes;
};

FakeBackend::FakeBackend(asio::io_context* io, std::string name)
    : m_name(std::move(name)), m_acceptor(*io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  Accept();
}

FakeBackend::~FakeBackend() = default;

routing::BackendServer FakeBackend::Listed(const std::string& domain) const {
  return {BackendId(m_name),
          MarketId("town"),
          DomainId(domain),
          {"127.0.0.1", m_acceptor.local_endpoint().port()},
          8,
          60,
          false};
}

void FakeBackend::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(std::move(socket), m_open);
    m_most_connections = std::max(m_most_connections, *m_open);
    m_all.push_back(connection);
    Read(connection);
    Accept();
  });
}

void FakeBackend::StopListening() {
  m_acceptor.close();
  for (const auto& weak : m_all) {
    if (const auto connection = weak.lock()) connection->m_socket.close();
  }
}

void FakeBackend::AnswerHeld() {
  for (const auto& answer : std::exchange(m_held, {})) answer();
}

void FakeBackend::Read(const std::shared_ptr<Connection>& connection) {
  connection->m_socket.async_read_some(
      asio::buffer(connection->m_chunk), [this, connection](const error_code& error, std::size_t bytes) {
        if (error) return;
        std::string& all = connection->m_bytes;
        all.append(connection->m_chunk.data(), bytes);
        const std::size_t end = all.find("\r\n\r\n");
        if (end != std::string::npos && all.size() >= end + 4 + LengthOf(all.substr(0, end + 2))) {
          const std::string head = all.substr(0, end + 2);
          all.erase(0, end + 4 + LengthOf(head));
          OnRequest(connection, head);
        }
        Read(connection);
      });
}

void FakeBackend::Send(const std::shared_ptr<Connection>& connection, const std::string& bytes, bool close) {
  const auto kept = std::make_shared<std::string>(bytes);
  asio::async_write(connection->m_socket, asio::buffer(*kept),
                    [connection, kept, close](const error_code&, std::size_t) {
                      if (close) connection->m_socket.close();
                    });
}

void FakeBackend::OnRequest(const std::shared_ptr<Connection>& connection, const std::string& head) {
  m_last_head = head;
  const std::string id = HeaderOf(head, "HQ-Request-Id");
  const std::string whole = AnswerTo(id, m_name);
  ++m_ran;
  switch (m_behaviour) {
    case Behaviour::kAnswer:
      return Send(connection, whole, false);
    case Behaviour::kEchoTarget: {
      const std::size_t from = head.find(' ') + 1;
      return Send(connection, AnswerTo(id, head.substr(from, head.find(' ', from) - from)), false);
    }
    case Behaviour::kHold:
      return m_held.push_back([this, connection, whole] { Send(connection, whole, false); });
    case Behaviour::kHoldLarge:
      return m_held.push_back(
          [this, connection, id] { Send(connection, AnswerTo(id, std::string(100'000, 'x')), false); });
    case Behaviour::kCross:
      return Send(connection, AnswerTo("f00d", "somebody else's"), false);
    case Behaviour::kCut:
      return Send(connection, whole.substr(0, whole.size() - 2), true);
    case Behaviour::kTwice:
      return Send(connection, whole + whole, false);
    case Behaviour::kRefuse:
      --m_ran;
      ++m_refused;
      return Send(connection, AnswerTo(id, "", "HQ-Not-Run: 1\r\n", 503), false);
    case Behaviour::kLeave:
      return Send(connection, AnswerTo(id, m_name, "HQ-Leaving: 1\r\n"), false);
    case Behaviour::kNoLength:
      return Send(
          connection,
          "HTTP/1.1 200 OK\r\nHQ-Request-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
          false);
    case Behaviour::kOversized:
      return Send(connection, AnswerTo(id, std::string(300'000, 'x')), false);
    case Behaviour::kStall:
      return Send(connection, AnswerTo(id, std::string(100'000, 'x')).substr(0, 50'000), false);
    case Behaviour::kHangUp:
      return Send(connection, "", true);
    case Behaviour::kFail:
      return Send(connection, AnswerTo(id, "failed", "", 500), false);
  }
}

FakeCaller::FakeCaller(asio::io_context* io, const net::Endpoint& to) : m_socket(*io) {
  m_socket.connect(tcp::endpoint(asio::ip::make_address(to.m_address), to.m_port));
}

std::string FakeCaller::Answer::Header(const std::string& name) const {
  return HeaderOf(m_head, name);
}

void FakeCaller::Send(const std::string& bytes) {
  const auto kept = std::make_shared<std::string>(bytes);
  asio::async_write(m_socket, asio::buffer(*kept), [kept](const error_code&, std::size_t) {});
}

void FakeCaller::Read() {
  m_socket.async_read_some(asio::buffer(m_chunk),
                           [this, self = shared_from_this()](const error_code& error, std::size_t bytes) {
                             if (error == asio::error::operation_aborted) return;
                             m_closed = m_closed || error;
                             if (error) return;
                             m_bytes.append(m_chunk.data(), bytes);
                             TakeApart();
                             Read();
                           });
}

void FakeCaller::TakeApart() {
  for (;;) {
    const std::size_t end = m_bytes.find("\r\n\r\n");
    if (end == std::string::npos) return;
    Answer answer;
    answer.m_head = m_bytes.substr(0, end + 2);
    answer.m_status = std::stoi(answer.m_head.substr(9, 3));
    const std::size_t length = LengthOf(answer.m_head);
    if (m_bytes.size() < end + 4 + length) return;
    answer.m_body = m_bytes.substr(end + 4, length);
    m_bytes.erase(0, end + 4 + length);
    m_answers.push_back(std::move(answer));
  }
}

std::string ServeRequest(const std::string& work_class, const std::string& more_headers, const std::string& path,
                         const std::string& body) {
  return "POST /serve" + path +
         " HTTP/1.1\r\nHost: x\r\nHQ-Market: town\r\nHQ-Account: halls\r\nHQ-Class: " + work_class + "\r\n" +
         more_headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Loopback::Loopback(routing::RequestSettings settings) {
  m_clock.Set(Instant{1'000'000});
  settings.m_instance = InstanceId("e-1");
  settings.m_domain = DomainId("near");
  const auto other_paths = [this](const net::HttpRequest& request, const net::Responder& respond) {
    ++m_other_paths;
    if (request.m_target.rfind("/held", 0) == 0) return m_held_other_paths.push_back(respond);
    respond(net::JsonResponse(200, "{}"));
  };
  m_server = std::make_unique<routing::RequestServer>(settings, std::vector{&m_io}, &m_timers, &m_clock, &m_table,
                                                      &m_metrics, other_paths);
}

Loopback::~Loopback() {
  m_server.reset();
  Settle();
}

FakeBackend& Loopback::AddBackend(const std::string& name, const std::string& domain) {
  m_backends.push_back(std::make_unique<FakeBackend>(&m_io, name));
  m_listed.push_back(m_backends.back()->Listed(domain));
  return *m_backends.back();
}

void Loopback::PublishTo(routing::RequestServer* server, const std::vector<InstanceId>& instances) {
  auto market = std::make_shared<Market>();
  market->m_id = MarketId("town");
  market->m_accounts[AccountId("halls")] = ClientAccount{AccountId("halls"), 0, 0, {}};
  market->m_classes[ClassId("booking")] = ClassOfWork{ClassId("booking"), 0, Millis{5'000}, false, false, true};
  market->m_classes[ClassId("preview")] = ClassOfWork{ClassId("preview"), 2, Millis{5'000}, true, false, true};
  market->m_classes[ClassId("bulk")] = ClassOfWork{ClassId("bulk"), 8, Millis{5'000}, true, false, true};
  auto configuration = std::make_shared<Configuration>();
  configuration->m_markets[market->m_id] = market;
  server->PublishConfiguration(configuration);
  server->PublishBackends(m_listed);
  server->PublishInstances(instances);
  Settle();
}

void Loopback::Publish() {
  PublishTo(m_server.get(), {InstanceId("e-1")});
}

std::shared_ptr<FakeCaller> Loopback::Connect() {
  return Connect(*m_server);
}

std::shared_ptr<FakeCaller> Loopback::Connect(const routing::RequestServer& server) {
  auto caller = std::make_shared<FakeCaller>(&m_io, server.Local());
  caller->Start();
  return caller;
}

bool Loopback::Turn() {
  m_io.restart();
  const bool busy = m_io.run_one_for(kSocketPause) > 0;
  m_io.poll();
  m_table.Pump();
  return busy;
}

bool Loopback::RunUntil(const std::function<bool()>& condition) {
  for (int quiet = 0; quiet < kMostQuietTurns; quiet = Turn() ? 0 : quiet + 1) {
    if (condition()) return true;
  }
  return condition();
}

bool Loopback::Answered(const FakeCaller& caller, std::size_t count) {
  return RunUntil([&] { return caller.m_answers.size() >= count; });
}

void Loopback::Settle() {
  for (int quiet = 0; quiet < kQuietTurns; quiet = Turn() ? 0 : quiet + 1) {
  }
}

void Loopback::Advance(Millis by) {
  for (Millis done{0}; done < by; done += kStep) {
    m_timers.Advance(kStep);
    m_io.restart();
    m_io.poll();
    m_table.Pump();
  }
  Settle();
}

FakeCaller::Answer Loopback::Ask(const std::string& request) {
  const auto caller = Connect();
  caller->Send(request);
  RunUntil([&] { return !caller->m_answers.empty() || caller->m_closed; });
  FakeCaller::Answer answer;
  if (!caller->m_answers.empty()) answer = caller->m_answers.front();
  caller->Close();
  Settle();
  return answer;
}

}  // namespace hickoryquay::test
