// FrameStream: reads and writes whole frames on one TCP connection. Shared by server and client.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "hickoryquay/base/memory_budget.h"
#include "hickoryquay/inner/message.h"

namespace hickoryquay::inner {

struct TrafficCounters {
  std::atomic<std::uint64_t> m_sent{0};
  std::atomic<std::uint64_t> m_received{0};
};

// All calls on the socket's executor, which is a strand. Kept alive by its pending operations.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  using OnFrame = std::function<void(Frame)>;
  using OnClosed = std::function<void(const std::string& why)>;

  // `memory` bounds the frames that arrive or wait to be sent, of all streams that share it; null: not bounded.
  FrameStream(boost::asio::ip::tcp::socket socket, std::shared_ptr<TrafficCounters> counters,
              std::shared_ptr<MemoryBudget> memory = nullptr);

  // Delivers frames until the connection ends; then calls `closed` once.
  void Start(OnFrame on_frame, OnClosed on_closed);

  // Queues one frame. A peer that doesn't read is cut off once kMaxQueuedBytes wait for it, or where memory is short.
  void Write(const Frame& frame);
  void Close(const std::string& why);

  boost::asio::ip::tcp::socket& Socket() { return m_socket; }

  bool FrameArriving() const { return m_frame_arriving; }           // Its length has come, its end has not.
  std::uint64_t ReceivedBytes() const { return m_received_bytes; }  // Of bodies, that of the arriving frame included.

 private:
  static constexpr std::size_t kMaxQueuedBytes = 8 * 1024 * 1024;
  static constexpr std::size_t kFirstBytes = MemoryHold::kUncounted;  // Of a body; also what is kept between frames.

  void ReadLength();
  void ReadBody();
  void Deliver();
  void WriteNext();

  boost::asio::ip::tcp::socket m_socket;
  std::shared_ptr<TrafficCounters> m_counters;
  OnFrame m_on_frame;
  OnClosed m_on_closed;
  std::array<unsigned char, kLengthBytes> m_length{};
  std::shared_ptr<MemoryBudget> m_memory;
  MemoryHold m_hold;  // Covers m_body.
  std::string m_body;
  std::size_t m_body_bytes = 0;  // As the peer has announced them.
  bool m_frame_arriving = false;
  std::uint64_t m_received_bytes = 0;
  std::deque<std::string> m_queue;
  std::size_t m_queued_bytes = 0;
  MemoryHold m_queue_hold;  // Covers m_queue.
  bool m_closed = false;
};

}  // namespace hickoryquay::inner
