// The durations of the granting duty.

#ifndef POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_
#define POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_

#include <chrono>
#include <cstdint>

namespace pollenrudder {

// Invariant: renew_interval < hold. docs/design.md says how the defaults trade
// the time that keys of a silently lost upstream stay unserved against the
// length of a store outage that grants survive.
struct GrantDurations {
  // How long an upstream may use a grant after it arrived.
  std::chrono::nanoseconds grant_ttl = std::chrono::milliseconds(4000);
  std::chrono::nanoseconds renew_interval = std::chrono::milliseconds(1300);
  // An instance grants only for this long after the store has proved its term.
  std::chrono::nanoseconds leader_lease_duration =
      std::chrono::milliseconds(4500);
  // A call to an upstream without an answer is given up after this.
  std::chrono::nanoseconds call_timeout = std::chrono::milliseconds(800);
  // An upstream's clock may run this much slow, by the platform's bound; used
  // for every wait for the end of somebody else's time.
  double max_clock_drift = 0.02;

  // The longest time for which another clock may measure `duration`.
  std::chrono::nanoseconds WithDriftMargin(
      std::chrono::nanoseconds duration) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(
        static_cast<double>(duration.count()) * (1 + max_clock_drift)));
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_
