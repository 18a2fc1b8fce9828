// The durations that the lease and claim rules share.

#ifndef POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_
#define POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_

#include <chrono>
#include <cmath>
#include <cstdint>

#include "ownership/controller_options.h"

namespace pollenrudder {

// All instances of a deployment must use the same values: a claimant computes
// from its own how long the lease of another instance can last.
struct LeaseDurations {
  std::chrono::nanoseconds log_lease_duration = std::chrono::milliseconds(600);
  std::chrono::nanoseconds promise_duration = std::chrono::milliseconds(900);
  double max_clock_drift = 0.01;

  static LeaseDurations FromOptions(const ControllerOptions& options) {
    return {options.log_lease_duration, options.promise_duration,
            options.max_clock_drift};
  }

  // Returns how long to wait on the own clock until `duration` has passed on
  // every other clock.
  std::chrono::nanoseconds WithDriftMargin(
      std::chrono::nanoseconds duration) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(
        static_cast<double>(duration.count()) * (1.0 + max_clock_drift))));
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_DURATIONS_H_
