// The clock of an upstream, as its leader knows it.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_CLOCK_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/boot_clock.h"

namespace pollenrudder {

// Translates a time of this instance into the upstream's own clock, never
// later than the real time it stands for. An upstream that was frozen can't
// tell how long a request waited in its socket buffer, so that a limit
// relative to the moment it reads the request would let old requests run.
class UpstreamClock {
 public:
  // The two clocks differ in rate by at most this share.
  static constexpr double kMaxClockDrift = 0.01;
  // An older reading is too inexact: its error is 1% of its age, against a
  // run-before of 400 ms.
  static constexpr std::chrono::seconds kMaxAge{10};

  // Takes the clock reading of an answer that was received at `received`.
  // Ignores text that is no whole number.
  void OnReading(std::string_view milliseconds, BootTime received);
  // Forgets the reading: the upstream may have been restarted.
  void Reset() { reading_.reset(); }

  bool IsCurrent(BootTime now) const;

  // Returns the upstream's time, in ms, that it has reached at the latest when
  // `time` is reached here. Precondition: IsCurrent().
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
