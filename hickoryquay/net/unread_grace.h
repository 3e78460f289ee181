// UnreadGrace: more time for a call whose answer has arrived and waits for its turn to be read. A process that was busy
// or paused would take that for silence of its peer.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "hickoryquay/base/clock.h"

namespace hickoryquay::net {

// Of one call. Not thread-safe.
class UnreadGrace {
 public:
  static constexpr Millis kTurn{30};

  // Whether a call whose time is over gets a further kTurn.
  bool Take(const boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code error;
    const bool unread = socket.is_open() && socket.available(error) > 0;
    return unread && m_taken++ < kMost;
  }

 private:
  static constexpr int kMost = 10;
  int m_taken = 0;
};

}  // namespace hickoryquay::net
