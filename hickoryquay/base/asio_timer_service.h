// AsioTimerService: the timer service of a daemon, on the threads of one io_context.
#pragma once

#include <boost/asio/io_context.hpp>

#include "hickoryquay/base/timer_service.h"

namespace hickoryquay {

// Periods do not drift: a late callback does not put off the next one, and missed ones are skipped.
class AsioTimerService final : public TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context* io) : m_io(io) {}

  Subscription After(Millis delay, Callback callback) override;
  Subscription Every(Millis period, Callback callback) override;

 private:
  boost::asio::io_context* m_io;
};

}  // namespace hickoryquay
