// The durations of the granting duty.

#ifndef POLLENRUDDER_GRANTS_DUTY_TIMES_H_
#define POLLENRUDDER_GRANTS_DUTY_TIMES_H_

#include <chrono>
#include <cstdint>

namespace pollenrudder {

// Invariant: renew_every < hold. docs/design.md says how the defaults trade the
// time that keys of a silently lost upstream stay unserved against the length
// of a store outage that grants survive.
struct DutyTimes {
  // How long an upstream may use a grant after it arrived.
  std::chrono::nanoseconds hold = std::chrono::milliseconds(4000);
  std::chrono::nanoseconds renew_every = std::chrono::milliseconds(1300);
  // An instance grants only for this long after the store has proved its term.
  std::chrono::nanoseconds term_lapse = std::chrono::milliseconds(4500);
  // A call to an upstream without an answer is given up after this.
  std::chrono::nanoseconds call_timeout = std::chrono::milliseconds(800);
  // An upstream's clock may run this much slow, by the platform's bound; used
  // for every wait for the end of somebody else's time.
  double clock_drift = 0.02;

  // The longest time for which another clock may measure `duration`.
  std::chrono::nanoseconds Stretched(std::chrono::nanoseconds duration) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(
        static_cast<double>(duration.count()) * (1 + clock_drift)));
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_DUTY_TIMES_H_
