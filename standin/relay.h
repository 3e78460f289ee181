// Relay: hands TCP bytes through to a target chosen for each connection. Balancers and the paths between failure
// domains are relays, so that a cut can be made in them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "hickoryquay/net/http.h"

namespace hickoryquay::standin {

// While `cut` says so, bytes on existing connections are held back, and new connections hang: as a partition does.
class Relay {
 public:
  using Choose = std::function<std::optional<net::Endpoint>()>;  // Empty: nobody to connect to; the caller is closed.
  using IsCut = std::function<bool()>;

  Relay(boost::asio::io_context* io, Choose choose, IsCut cut);
  ~Relay();
  net::Endpoint Local() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace hickoryquay::standin
