// Clock: where time comes from. Only daemons use the system's; decisions and tests are given theirs.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hickoryquay {

using Millis = std::chrono::milliseconds;

// A point in time in milliseconds. Within a process it is monotonic; in rows and messages it counts from the Unix
// epoch.
struct Instant {
  std::int64_t m_ms = 0;

  auto operator<=>(const Instant&) const = default;
};

constexpr Instant operator+(Instant at, Millis delay) {
  return Instant{at.m_ms + delay.count()};
}
constexpr Instant operator-(Instant at, Millis delay) {
  return Instant{at.m_ms - delay.count()};
}
constexpr Millis operator-(Instant later, Instant earlier) {
  return Millis{later.m_ms - earlier.m_ms};
}

// Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;   // Never goes back. For deadlines, leases and timers within one process.
  virtual Instant Wall() const = 0;  // Unix time. For rows and for people; may jump.
};

class SystemClock final : public Clock {
 public:
  Instant Now() const override;
  Instant Wall() const override;
};

// Now() goes on while the machine is suspended, as the leases that others hold against it do.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
  Instant Wall() const override;
};

// Stands still until told to move. Wall and monotonic time are the same.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return Instant{m_now_ms.load()}; }
  Instant Wall() const override { return Now(); }
  void Advance(Millis by) { m_now_ms += by.count(); }
  void Set(Instant at) { m_now_ms = at.m_ms; }

 private:
  std::atomic<std::int64_t> m_now_ms{0};
};

}  // namespace hickoryquay
