// BootClock, implemented with clock_gettime().

#include "base/boot_clock.h"

#include <ctime>

namespace pollenrudder {

BootClock::time_point BootClock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

Now Now::Read() noexcept {
  return Now{BootClock::now(), std::chrono::system_clock::now()};
}

}  // namespace pollenrudder
