#include "hickoryquay/base/asio_timer_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

namespace hickoryquay {

namespace {

namespace asio = boost::asio;

// One timer; kept alive by its pending wait. Its strand keeps a cancel from racing with a re-arm.
class AsioTimer final : public TimerControl, public std::enable_shared_from_this<AsioTimer> {
 public:
  AsioTimer(asio::io_context* io, Millis period, TimerService::Callback callback)
      : m_timer(asio::make_strand(*io)), m_period(period), m_callback(std::move(callback)) {}

  void Start(Millis delay) {
    m_timer.expires_after(delay);
    Wait();
  }

 protected:
  void Release() override {
    asio::post(m_timer.get_executor(), [self = shared_from_this()] {
      self->m_timer.cancel();
      self->m_callback = nullptr;
    });
  }

 private:
  void Wait() {
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->Fire();
    });
  }

  void Fire() {
    if (Cancelled() || !m_callback) return;
    if (m_period.count() > 0) Rearm();
    m_callback();
  }

  void Rearm() {
    const auto now = std::chrono::steady_clock::now();
    auto next = m_timer.expiry() + m_period;
    if (next < now) next = now + m_period;
    m_timer.expires_at(next);
    Wait();
  }

  asio::steady_timer m_timer;
  Millis m_period;
  TimerService::Callback m_callback;
};

Subscription Schedule(asio::io_context* io, Millis delay, Millis period, TimerService::Callback callback) {
  auto timer = std::make_shared<AsioTimer>(io, period, std::move(callback));
  timer->Start(delay);
  return Subscription(std::move(timer));
}

}  // namespace

Subscription AsioTimerService::After(Millis delay, Callback callback) {
  return Schedule(m_io, delay, Millis{0}, std::move(callback));
}

Subscription AsioTimerService::Every(Millis period, Callback callback) {
  return Schedule(m_io, period, period, std::move(callback));
}

}  // namespace hickoryquay
