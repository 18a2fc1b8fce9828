// Lookups in the routing table by path and name.

#include "routing/routing_table.h"

namespace pollenrudder {

const RoutedService* RoutingTable::FindServiceByPath(
    std::string_view path) const {
  const RoutedService* longest = nullptr;
  for (const auto& [name, service] : services) {
    const std::string& prefix = service.settings.path_prefix;
    if (!path.starts_with(prefix))
      continue;
    if (!longest || prefix.size() > longest->settings.path_prefix.size())
      longest = &service;
  }
  return longest;
}

const RoutedService* RoutingTable::FindService(std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

const RoutedUpstream* RoutingTable::FindUpstream(std::string_view name) const {
  for (const RoutedUpstream& upstream : upstreams) {
    if (upstream.name == name)
      return &upstream;
  }
  return nullptr;
}

}  // namespace pollenrudder
