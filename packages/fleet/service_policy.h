// Settings of one service.

#ifndef POLLENRUDDER_FLEET_SERVICE_POLICY_H_
#define POLLENRUDDER_FLEET_SERVICE_POLICY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenrudder {

// The part of a RouterConfiguration that applies to one service.
struct ServicePolicy {
  std::string health_path;
  // Maximum number of connections that one upstream accepts from all instances
  // together.
  std::uint32_t max_connections = 16;
  // The upstreams of the service own keys: a request runs only at the upstream
  // to which its key is granted.
  bool owns_keys = false;
  // How long keys are slow at a new owner that received them without the state
  // of the former owner.
  std::chrono::nanoseconds warmup{0};
  // How long an upstream is cold after it has started, and how many requests a
  // second it tolerates then from all instances together. 0 if neither is
  // limited.
  std::chrono::nanoseconds cold_time{0};
  double cold_rate = 0;

  bool operator==(const ServicePolicy&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_SERVICE_POLICY_H_
