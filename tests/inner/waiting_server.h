// A server of the inner protocol that answers when it is told to.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hickoryquay/inner/channel.h"

namespace hickoryquay::inner {

// Answers all calls when told to, from a thread of its own. Listens on all loopback addresses, so that each of them is
// a peer with a connection of its own.
class WaitingServer {
 public:
  WaitingServer()
      : m_server(&m_io, {"0.0.0.0", 0}, [this](Message message, const Answer& answer) {
          m_calls.emplace_back([message = std::move(message), answer] { answer(message); });
          ++m_received;
        }) {
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~WaitingServer() {
    m_io.stop();
    m_thread.join();
  }
  WaitingServer(const WaitingServer&) = delete;
  WaitingServer& operator=(const WaitingServer&) = delete;
  net::Endpoint Peer(int number) const { return {"127.0.1." + std::to_string(number + 1), m_server.Local().m_port}; }
  int Received() const { return m_received; }
  void AnswerAll() {
    boost::asio::post(m_io, [this] {
      for (const auto& call : std::exchange(m_calls, {})) call();
    });
  }

 private:
  boost::asio::io_context m_io;
  std::vector<std::function<void()>> m_calls;  // Of the thread.
  std::atomic<int> m_received{0};
  InnerServer m_server;
  std::thread m_thread;
};

}  // namespace hickoryquay::inner
