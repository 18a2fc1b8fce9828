// Estimate of the clock of an upstream.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_CLOCK_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/boot_clock.h"

namespace pollenrudder {

// Converts a time on the boot clock of this instance into the clock of the
// upstream. The result is never later than the actual time there. Limits are
// sent in the upstream's clock because a frozen upstream cannot determine how
// long a request waited in its socket buffer: a limit relative to the time it
// reads the request would let old requests run.
class UpstreamClock {
 public:
  // Maximum relative difference of the rates of the two clocks.
  static constexpr double kMaxClockDrift = 0.01;
  // Maximum age of a reading. The error grows to 1% of the age, which is 100 ms
  // here, against a run-before limit of 400 ms.
  static constexpr std::chrono::seconds kMaxAge{10};

  // Stores the clock reading of a response that was received at `received`.
  // Ignores text that is not a whole number.
  void OnReading(std::string_view milliseconds, BootTime received);
  // Discards the reading. Call it when the upstream may have been restarted.
  void Reset() { reading_.reset(); }

  bool IsCurrent(BootTime now) const;

  // Returns the earliest time, in ms, that the upstream's clock can show at
  // `time`. Precondition: IsCurrent().
  std::uint64_t Translate(BootTime time) const;

 private:
  struct Reading {
    std::uint64_t milliseconds = 0;
    BootTime received;
  };

  std::optional<Reading> reading_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_CLOCK_H_
