#include "hickoryquay/base/timer_service.h"

#include <utility>

namespace hickoryquay {

Subscription& Subscription::operator=(Subscription&& other) noexcept {
  if (this != &other) {
    Cancel();
    m_control = std::move(other.m_control);
  }
  return *this;
}

void Subscription::Cancel() {
  if (m_control) m_control->Cancel();
  m_control.reset();
}

Subscription ManualTimerService::After(Millis delay, Callback callback) {
  return Add(delay, Millis{0}, std::move(callback));
}

Subscription ManualTimerService::Every(Millis period, Callback callback) {
  return Add(period, period, std::move(callback));
}

Subscription ManualTimerService::Add(Millis delay, Millis period, Callback callback) {
  auto control = std::make_shared<TimerControl>();
  m_entries.emplace(m_clock->Now() + delay, Entry{std::move(callback), period, control});
  return Subscription(std::move(control));
}

void ManualTimerService::Advance(Millis by) {
  const Instant until = m_clock->Now() + by;
  while (!m_entries.empty() && m_entries.begin()->first <= until) {
    auto node = m_entries.extract(m_entries.begin());
    m_clock->Set(node.key());
    const std::shared_ptr<TimerControl> control = node.mapped().m_control;
    if (control->Cancelled()) continue;
    const Callback callback = node.mapped().m_callback;
    if (node.mapped().m_period.count() > 0) {
      node.key() = node.key() + node.mapped().m_period;
      m_entries.insert(std::move(node));
    }
    callback();
  }
  m_clock->Set(until);
}

}  // namespace hickoryquay
