// The configuration of the router: routes, services and limits.

#ifndef POLLENRUDDER_FLEET_ROUTER_CONFIGURATION_H_
#define POLLENRUDDER_FLEET_ROUTER_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/caller_limits.h"
#include "fleet/route.h"
#include "fleet/service_policy.h"

namespace pollenrudder {

// One accepted version of the configuration. Immutable once built.
//
//   const Route* route =
//       configuration.FindRoute("soil.example", "/records/7");
class RouterConfiguration {
 public:
  std::uint64_t version = 0;
  std::map<std::string, ServicePolicy, std::less<>> services;
  CallerLimits limits;

  // Adds a route. Of two routes with the same host and prefix the first is
  // used.
  void AddRoute(Route route);

  // Returns the route with the longest prefix of `path` for `host` (a port in
  // `host` is ignored), or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the policy of `service`, or the default policy if it has none.
  const ServicePolicy& PolicyOf(std::string_view service) const;

  // Returns the regions in which the requests of all routes to `service` that
  // have allowed regions may be served; nothing if there is no such route.
  std::optional<std::vector<std::string>> CommonRegionsOf(
      std::string_view service) const;

  // Returns whether a service has upstreams that tolerate only a limited rate
  // while they are cold.
  bool LimitsColdUpstreams() const;

  std::size_t route_count() const;
  const std::map<std::string, std::vector<Route>, std::less<>>& routes() const {
    return routes_by_host_;
  }

 private:
  // Invariant: the routes of a host are sorted by prefix length, longest first.
  std::map<std::string, std::vector<Route>, std::less<>> routes_by_host_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_ROUTER_CONFIGURATION_H_
