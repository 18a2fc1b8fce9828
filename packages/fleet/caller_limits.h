// Limits on the requests and connections of callers.

#ifndef POLLENRUDDER_FLEET_CALLER_LIMITS_H_
#define POLLENRUDDER_FLEET_CALLER_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace pollenrudder {

// The part of a RouterConfiguration that applies to each caller connection. The
// defaults are used until a configuration is known.
struct CallerLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 64 << 20;
  // Maximum time for a request to arrive.
  std::chrono::nanoseconds request_timeout = std::chrono::seconds(3);
  // Maximum time that a connection may stay without a request.
  std::chrono::nanoseconds idle_timeout = std::chrono::seconds(15);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_CALLER_LIMITS_H_
