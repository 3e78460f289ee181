// AdminClient: calls of the admin API, one at a time, over TCP or TLS.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "daemons/hqctl/options.h"
#include "hickoryquay/base/result.h"
#include "hickoryquay/net/http.h"

namespace hickoryquay::hqctl {

// No entry instance saw the call.
struct Unreachable {
  std::string m_why;
};

// An entry instance may have seen the call; no whole answer came.
struct AnswerLost {
  net::Endpoint m_at;
  std::string m_why;
};

using CallError = std::variant<Unreachable, AnswerLost>;

// Whether a call may be sent again although it may have taken effect.
enum class Repeat { kSafe, kUnsafe };

// Blocks for at most the timeout, for each address it tries.
class AdminClient {
 public:
  explicit AdminClient(const Options& options) : m_options(options) {}

  // Tries the addresses in order, starting with the one that answered last. A call that is not safe to repeat goes on
  // to the next address only while it was provably not sent.
  Result<net::HttpResponse, CallError> Send(const net::HttpRequest& request, Repeat repeat);

 private:
  Result<net::HttpResponse, CallError> SendTo(const net::Endpoint& to, const net::HttpRequest& request) const;

  Options m_options;
  std::size_t m_first = 0;  // Index of the address that answered last.
};

}  // namespace hickoryquay::hqctl
