// Converts terms and shards to routes.

#include "ownership/routing_table_builder.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pollenrudder {
namespace {

RoutedUpstream RouteUpstream(const TermState& term, const StopSchedule& stops) {
  RoutedUpstream upstream;
  upstream.name = term.upstream;
  upstream.service = term.service;
  upstream.zone = term.zone;
  upstream.region = term.region;
  upstream.address = term.address;
  upstream.leaving = term.lost || stops.IsUpstreamStopping(term.upstream);
  upstream.term = term.term;
  upstream.leader_fence = term.leader_fence;
  upstream.leader = term.leader;
  upstream.leader_zone = term.leader_zone;
  upstream.leader_address = term.leader_forward_address;
  return upstream;
}

void RouteShards(const OwnershipTable& table,
                 const std::map<std::string, std::uint32_t>& indexes,
                 RoutedService& service) {
  if (!service.settings.is_sharded)
    return;
  service.shard_owners.assign(service.settings.shards,
                              RoutedService::kNoUpstream);
  service.shard_offsets.assign(service.settings.shards, kNoOffset);
  const std::vector<ShardState>* shards =
      table.FindShards(service.settings.name);
  if (!shards)
    return;
  for (std::size_t shard = 0; shard < shards->size(); ++shard) {
    const auto owner = indexes.find((*shards)[shard].upstream);
    if (!(*shards)[shard].has_owner() || owner == indexes.end())
      continue;
    service.shard_owners[shard] = owner->second;
    service.shard_offsets[shard] = (*shards)[shard].placed_offset;
  }
}

}  // namespace

RoutingTablePointer BuildRoutingTable(const OwnershipTable& table,
                                      const StopSchedule& stops) {
  auto routing = std::make_shared<RoutingTable>();
  routing->offset = table.applied();
  for (const auto& [team, section] : table.document().sections()) {
    for (const ServiceSettings& settings : section.services) {
      RoutedService& service = routing->services[settings.name];
      service.settings = settings;
      service.team_max_in_flight = section.max_in_flight;
    }
  }
  std::map<std::string, std::uint32_t> indexes;
  for (const auto& [name, term] : table.state().terms) {
    const auto service = routing->services.find(term.service);
    if (service == routing->services.end())
      continue;
    const auto index = static_cast<std::uint32_t>(routing->upstreams.size());
    routing->upstreams.push_back(RouteUpstream(term, stops));
    service->second.upstreams.push_back(index);
    indexes[name] = index;
  }
  for (auto& [name, service] : routing->services)
    RouteShards(table, indexes, service);
  return routing;
}

}  // namespace pollenrudder
