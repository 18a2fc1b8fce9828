// A clock for leases that also counts the time the machine was suspended.

#ifndef POLLENRUDDER_BASE_BOOT_CLOCK_H_
#define POLLENRUDDER_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace pollenrudder {

// Reads CLOCK_BOOTTIME. std::chrono::steady_clock stops during a suspension on
// Linux, so a lease measured on it could outlive its promise.
class BootClock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is required of a clock.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using BootTime = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Both clocks read at one moment. The decision code takes the time as an
// argument and never reads a clock.
struct Now {
  BootTime boot;
  WallTime wall;

  static Now Read() noexcept;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_BOOT_CLOCK_H_
