// Implementation of UpstreamClock.

#include "upstreams/upstream_clock.h"

#include <cassert>
#include <charconv>

namespace pollenrudder {

void UpstreamClock::OnReading(std::string_view milliseconds,
                              BootTime received) {
  std::uint64_t value = 0;
  const char* const end = milliseconds.data() + milliseconds.size();
  const auto parsed = std::from_chars(milliseconds.data(), end, value);
  if (milliseconds.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return;
  reading_ = Reading{value, received};
}

bool UpstreamClock::IsCurrent(BootTime now) const {
  return reading_ && now - reading_->received <= kMaxAge;
}

std::uint64_t UpstreamClock::Translate(BootTime time) const {
  assert(reading_);
  // The reading was taken before the response was received, so the upstream's
  // clock shows at least this value at `time`.
  const std::chrono::duration<double, std::milli> elapsed =
      time - reading_->received;
  const double min_elapsed = elapsed.count() * (1.0 - kMaxClockDrift);
  return reading_->milliseconds +
         (min_elapsed > 0 ? static_cast<std::uint64_t>(min_elapsed) : 0);
}

}  // namespace pollenrudder
