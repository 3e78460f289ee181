#include "hickoryquay/base/clock.h"

#include <ctime>

namespace hickoryquay {

namespace {

template <typename SystemsClock>
Instant Read() {
  const auto since_epoch = SystemsClock::now().time_since_epoch();
  return Instant{std::chrono::duration_cast<Millis>(since_epoch).count()};
}

}  // namespace

Instant SystemClock::Now() const {
  return Read<std::chrono::steady_clock>();
}

Instant SystemClock::Wall() const {
  return Read<std::chrono::system_clock>();
}

Instant BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant{now.tv_sec * std::int64_t{1'000} + now.tv_nsec / 1'000'000};
}

Instant BootClock::Wall() const {
  return SystemClock{}.Wall();
}

}  // namespace hickoryquay
