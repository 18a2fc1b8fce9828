// A route: which requests it matches and how they are served.

#ifndef POLLENRUDDER_FLEET_ROUTE_H_
#define POLLENRUDDER_FLEET_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pollenrudder {

// A service and its share of the requests of a route.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// One route of a RouterConfiguration.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // At least one; the weights are positive.
  std::vector<WeightedService> services;
  // Whether a request may run more than once.
  bool repeatable = false;
  // Maximum time that a caller waits for a response.
  std::chrono::nanoseconds timeout = std::chrono::seconds(30);
  // A response within this time has its full value.
  std::chrono::nanoseconds latency_objective = std::chrono::seconds(1);
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of upstreams to which one request is sent.
  std::uint32_t max_attempts = 1;
  // The regions whose upstreams may get the requests; null if all may. Shared
  // with the requests, which keep the restriction that they arrived under.
  std::shared_ptr<const std::vector<std::string>> allowed_regions;
  // Responses are tens of times larger than others, so that their volume
  // matters more than their latency.
  bool large_responses = false;

  // Returns the service for `draw`, a number drawn uniformly from [0, 1).
  const std::string& ServiceFor(double draw) const;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_ROUTE_H_
