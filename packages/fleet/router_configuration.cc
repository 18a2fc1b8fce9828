// RouterConfiguration: routes by host, longest prefix first.

#include "fleet/router_configuration.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {

const std::string& Route::ServiceFor(double draw) const {
  assert(!services.empty());
  double sum = 0;
  for (const WeightedService& weighted : services)
    sum += weighted.weight;
  double remaining = draw * sum;
  for (const WeightedService& weighted : services) {
    remaining -= weighted.weight;
    if (remaining < 0)
      return weighted.service;
  }
  return services.back().service;
}

void RouterConfiguration::AddRoute(Route route) {
  assert(!route.services.empty());
  std::vector<Route>& routes = routes_by_host_[route.host];
  const auto it = std::ranges::find_if(routes, [&](const Route& existing) {
    return existing.path_prefix.size() < route.path_prefix.size();
  });
  routes.insert(it, std::move(route));
}

const Route* RouterConfiguration::FindRoute(std::string_view host,
                                            std::string_view path) const {
  const auto it = routes_by_host_.find(host.substr(0, host.find(':')));
  if (it == routes_by_host_.end())
    return nullptr;
  for (const Route& route : it->second) {
    if (path.starts_with(route.path_prefix))
      return &route;
  }
  return nullptr;
}

const ServicePolicy& RouterConfiguration::PolicyOf(
    std::string_view service) const {
  static const ServicePolicy default_policy;
  const auto it = services.find(service);
  return it == services.end() ? default_policy : it->second;
}

std::optional<std::vector<std::string>> RouterConfiguration::CommonRegionsOf(
    std::string_view service) const {
  std::optional<std::vector<std::string>> common;
  for (const auto& [host, routes] : routes_by_host_) {
    for (const Route& route : routes) {
      if (!route.allowed_regions ||
          std::ranges::find(route.services, service,
                            &WeightedService::service) == route.services.end())
        continue;
      if (!common) {
        common = *route.allowed_regions;
        continue;
      }
      std::erase_if(*common, [&route](const std::string& region) {
        return std::ranges::find(*route.allowed_regions, region) ==
               route.allowed_regions->end();
      });
    }
  }
  return common;
}

bool RouterConfiguration::LimitsColdUpstreams() const {
  return std::ranges::any_of(services, [](const auto& service) {
    return service.second.cold_rate > 0;
  });
}

std::size_t RouterConfiguration::route_count() const {
  std::size_t count = 0;
  for (const auto& [host, routes] : routes_by_host_)
    count += routes.size();
  return count;
}

}  // namespace pollenrudder
