// How one service is reached.

#ifndef POLLENRUDDER_FLEET_SERVICE_POLICY_H_
#define POLLENRUDDER_FLEET_SERVICE_POLICY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenrudder {

// The part of a RouterConfiguration that holds for one service.
struct ServicePolicy {
  std::string health_path;
  // Connections that one upstream accepts from all instances together.
  std::uint32_t max_connections = 16;
  // Its upstreams own keys: a request runs only where its key is granted.
  bool owns_keys = false;
  // How long keys that come without the former owner's state are slow.
  std::chrono::nanoseconds warmup{0};

  bool operator==(const ServicePolicy&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_SERVICE_POLICY_H_
