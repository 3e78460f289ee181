#include "hickoryquay/net/io_threads.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

#include "hickoryquay/base/run_loop.h"

namespace hickoryquay::net {

namespace asio = boost::asio;

namespace {

constexpr int kLastRounds = 8;  // Handlers that post to one another come to their end within a few.

}  // namespace

struct IoThreads::Loop {
  asio::io_context m_io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_io);
  std::thread m_thread;
};

IoThreads::IoThreads(int count) {
  for (int i = 0; i < std::max(1, count); ++i) {
    m_loops.push_back(std::make_unique<Loop>());
    m_loops.back()->m_thread = std::thread([loop = m_loops.back().get()] { RunLoop(&loop->m_io); });
  }
}

IoThreads::~IoThreads() {
  Stop();
}

std::vector<asio::io_context*> IoThreads::All() const {
  std::vector<asio::io_context*> all;
  for (const auto& loop : m_loops) all.push_back(&loop->m_io);
  return all;
}

void IoThreads::Stop() {
  for (const auto& loop : m_loops) loop->m_io.stop();
  for (const auto& loop : m_loops) {
    if (loop->m_thread.joinable()) loop->m_thread.join();
  }
  for (int round = 0; round < kLastRounds; ++round) {
    for (const auto& loop : m_loops) {
      loop->m_io.restart();
      loop->m_io.poll();
    }
  }
}

}  // namespace hickoryquay::net
