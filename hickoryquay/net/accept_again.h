// AcceptAgain: goes on accepting connections. Where that failed, such as for want of descriptors, it would fail again
// at once, and trying without a pause would take all of the processor.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace hickoryquay::net {

// `again` starts the next asynchronous accept. It runs on the executor, or at once after a success.
template <typename Executor, typename Again>
void AcceptAgain(const Executor& executor, const boost::system::error_code& error, Again again) {
  constexpr std::chrono::milliseconds kPause{100};
  if (!error) return again();
  const auto timer = std::make_shared<boost::asio::steady_timer>(executor, kPause);
  timer->async_wait([timer, again = std::move(again)](const boost::system::error_code&) { again(); });
}

}  // namespace hickoryquay::net
