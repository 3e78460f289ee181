// TimerService: the one place that parts subscribe to for the passing of time.
//
//   m_tick = timers.Every(kRenewEvery, [this] { Renew(); });   // Stops when m_tick is destroyed.
//   timers.After(kTimeout, [self = shared_from_this()] { self->GiveUp(); }).Detach();
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "hickoryquay/base/clock.h"

namespace hickoryquay {

// Shared by a subscription and its timer. Thread-safe.
class TimerControl {
 public:
  virtual ~TimerControl() = default;
  bool Cancelled() const { return m_cancelled.load(std::memory_order_acquire); }
  void Cancel() {
    m_cancelled.store(true, std::memory_order_release);
    Release();
  }

 protected:
  virtual void Release() {}  // Frees what the timer holds before it falls due.

 private:
  std::atomic<bool> m_cancelled{false};
};

// Ends its timer when destroyed, unless detached. A callback that is under way in another thread still completes.
class [[nodiscard]] Subscription {
 public:
  Subscription() = default;
  explicit Subscription(std::shared_ptr<TimerControl> control) : m_control(std::move(control)) {}
  Subscription(Subscription&& other) noexcept = default;
  Subscription& operator=(Subscription&& other) noexcept;
  ~Subscription() { Cancel(); }

  void Cancel();
  void Detach() { m_control.reset(); }  // The callback runs although nobody holds the subscription.
  bool Active() const { return m_control != nullptr; }

 private:
  std::shared_ptr<TimerControl> m_control;
};

// Thread-safe. Callbacks run on the threads of the service's executor, never inside the subscribing call.
class TimerService {
 public:
  using Callback = std::function<void()>;

  virtual ~TimerService() = default;
  virtual Subscription After(Millis delay, Callback callback) = 0;
  virtual Subscription Every(Millis period, Callback callback) = 0;
};

// Virtual time for tests: callbacks run in order of their times, in the thread that advances the clock. Not
// thread-safe.
class ManualTimerService final : public TimerService {
 public:
  explicit ManualTimerService(ManualClock* clock) : m_clock(clock) {}

  Subscription After(Millis delay, Callback callback) override;
  Subscription Every(Millis period, Callback callback) override;

  // Moves the clock on by `by` and runs everything that falls due on the way.
  void Advance(Millis by);

 private:
  struct Entry {
    Callback m_callback;
    Millis m_period{0};  // 0: runs once.
    std::shared_ptr<TimerControl> m_control;
  };

  Subscription Add(Millis delay, Millis period, Callback callback);

  ManualClock* m_clock;
  std::multimap<Instant, Entry> m_entries;
};

}  // namespace hickoryquay
