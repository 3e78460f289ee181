#include "hickoryquay/inner/frame_stream.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace hickoryquay::inner {

namespace asio = boost::asio;
using boost::system::error_code;

FrameStream::FrameStream(asio::ip::tcp::socket socket, std::shared_ptr<TrafficCounters> counters,
                         std::shared_ptr<MemoryBudget> memory)
    : m_socket(std::move(socket)), m_counters(std::move(counters)), m_memory(std::move(memory)) {}

void FrameStream::Start(OnFrame on_frame, OnClosed on_closed) {
  m_on_frame = std::move(on_frame);
  m_on_closed = std::move(on_closed);
  error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  ReadLength();
}

void FrameStream::ReadLength() {
  asio::async_read(m_socket, asio::buffer(m_length), [self = shared_from_this()](const error_code& error, std::size_t) {
    if (error) return self->Close(error.message());
    std::uint32_t length = 0;
    for (const unsigned char byte : self->m_length) length = (length << 8) | byte;
    if (length > kMaxFrameBytes) return self->Close("a frame is over the limit");
    self->m_body.clear();
    self->m_body_bytes = length;
    self->m_frame_arriving = true;
    self->ReadBody();
  });
}

// Memory is taken as the body arrives, not as it is announced.
void FrameStream::ReadBody() {
  const std::size_t begin = m_body.size();
  const std::size_t end = std::min(m_body_bytes, std::max(kFirstBytes, 2 * begin));
  if (!m_hold.Take(m_memory, end)) return Close("too many large frames are arriving");
  m_body.reserve(end);
  m_body.resize(end);
  const auto count = [self = shared_from_this(), begin, before = m_received_bytes](const error_code& error,
                                                                                   std::size_t size) {
    self->m_received_bytes = before + size;
    return error ? 0 : self->m_body.size() - begin - size;
  };
  asio::async_read(m_socket, asio::buffer(m_body.data() + begin, end - begin), count,
                   [self = shared_from_this()](const error_code& error, std::size_t) {
                     if (error) return self->Close(error.message());
                     if (self->m_body.size() < self->m_body_bytes) return self->ReadBody();
                     self->m_frame_arriving = false;
                     self->Deliver();
                   });
}

void FrameStream::Deliver() {
  m_counters->m_received += kLengthBytes + m_body.size();
  auto frame = Decode(m_body);
  if (m_body.capacity() > kFirstBytes) std::string().swap(m_body);
  m_hold.Release();
  if (!Ok(frame)) return Close("a bad frame: " + ErrorOf(frame).m_why);
  if (m_on_frame) m_on_frame(TakeValue(std::move(frame)));
  if (!m_closed) ReadLength();
}

void FrameStream::Write(const Frame& frame) {
  if (m_closed) return;
  m_queue.push_back(Encode(frame));
  m_queued_bytes += m_queue.back().size();
  if (m_queued_bytes > kMaxQueuedBytes) return Close("the peer does not read");
  if (!m_queue_hold.Take(m_memory, m_queued_bytes)) return Close("too many peers do not read");
  if (m_queue.size() == 1) WriteNext();
}

void FrameStream::WriteNext() {
  asio::async_write(m_socket, asio::buffer(m_queue.front()),
                    [self = shared_from_this()](const error_code& error, std::size_t size) {
                      self->m_counters->m_sent += size;
                      if (error) return self->Close(error.message());
                      if (self->m_closed) return;
                      self->m_queued_bytes -= self->m_queue.front().size();
                      self->m_queue.pop_front();
                      self->m_queue_hold.Take(self->m_memory, self->m_queued_bytes);
                      if (!self->m_queue.empty()) self->WriteNext();
                    });
}

void FrameStream::Close(const std::string& why) {
  if (m_closed) return;
  m_closed = true;
  error_code ignored;
  m_socket.close(ignored);
  m_hold.Release();
  m_on_frame = nullptr;
  const OnClosed on_closed = std::exchange(m_on_closed, nullptr);
  if (on_closed) on_closed(why);
}

}  // namespace hickoryquay::inner
