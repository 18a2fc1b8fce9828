// A monotonic clock for leases that includes the time in which the computer was
// suspended.

#ifndef POLLENRUDDER_BASE_BOOT_CLOCK_H_
#define POLLENRUDDER_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace pollenrudder {

// Reads CLOCK_BOOTTIME. On Linux, std::chrono::steady_clock stops during a
// suspension, so that a lease measured with it could outlast its promise.
class BootClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard requires this name of a clock.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using BootTime = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Times of both clocks, read together. Decision code receives them as an
// argument and never reads a clock.
struct Now {
  BootTime boot;
  WallTime wall;

  static Now Read() noexcept;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_BOOT_CLOCK_H_
