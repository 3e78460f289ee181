// ReadBuffer: bytes read from a socket and not yet parsed. Grows to its limit and no further.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <vector>

namespace hickoryquay::routing {

class ReadBuffer {
 public:
  explicit ReadBuffer(std::size_t most_bytes) : m_most_bytes(most_bytes) {}

  // Room to read into; empty only where the buffer is full.
  boost::asio::mutable_buffer Room() {
    if (m_begin > 0) Compact();
    if (m_end == m_bytes.size() && m_end < m_most_bytes) {
      m_bytes.resize(m_end == 0 ? kFirstBytes : std::min(m_most_bytes, m_end * 2));
    }
    return boost::asio::buffer(m_bytes.data() + m_end, m_bytes.size() - m_end);
  }
  void Commit(std::size_t bytes) { m_end += bytes; }

  std::string_view Unread() const { return {m_bytes.data() + m_begin, m_end - m_begin}; }
  void Consume(std::size_t bytes) {
    m_begin += bytes;
    if (m_begin == m_end) m_begin = m_end = 0;
  }
  void Clear() { m_begin = m_end = 0; }
  bool Empty() const { return m_begin == m_end; }

 private:
  static constexpr std::size_t kFirstBytes = 2048;

  void Compact() {
    std::memmove(m_bytes.data(), m_bytes.data() + m_begin, m_end - m_begin);
    m_end -= m_begin;
    m_begin = 0;
  }

  std::size_t m_most_bytes;
  std::vector<char> m_bytes;
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
};

}  // namespace hickoryquay::routing
