// One route: which requests it takes, and how they are served.

#ifndef POLLENRUDDER_FLEET_ROUTE_H_
#define POLLENRUDDER_FLEET_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenrudder {

// A service to which a route sends part of its requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// A route of a RouterConfiguration.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // At least one; the weights are positive.
  std::vector<WeightedService> services;
  // The request may run more than once.
  bool repeatable = false;
  // The longest time a caller is kept waiting.
  std::chrono::nanoseconds timeout = std::chrono::seconds(30);
  // An answer within this time has its full value.
  std::chrono::nanoseconds latency_objective = std::chrono::seconds(1);
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // The number of upstreams to which one request may be sent.
  std::uint32_t max_attempts = 1;

  // Returns the service for a number drawn uniformly from [0, 1).
  const std::string& ServiceFor(double draw) const;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_ROUTE_H_
