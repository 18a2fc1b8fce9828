// Durations that the lease rules and the claim rules have in common.

#ifndef POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_
#define POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_

#include <chrono>
#include <cmath>
#include <cstdint>

#include "ownership/controller_options.h"

namespace pollenrudder {

// All instances of a deployment must use the same values: a claimant uses its
// own to compute how long the lease of another instance can last.
struct LeaseDurations {
  std::chrono::nanoseconds log_lease_duration = std::chrono::milliseconds(600);
  std::chrono::nanoseconds promise_duration = std::chrono::milliseconds(900);
  double max_clock_drift = 0.01;

  static LeaseDurations FromOptions(const ControllerOptions& options) {
    return {options.log_lease_duration, options.promise_duration,
            options.max_clock_drift};
  }

  // Returns the time to wait on the clock of this instance until `duration` has
  // passed on every other clock that drifts by at most `max_clock_drift`.
  std::chrono::nanoseconds WithDriftMargin(
      std::chrono::nanoseconds duration) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(
        static_cast<double>(duration.count()) * (1.0 + max_clock_drift))));
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_
