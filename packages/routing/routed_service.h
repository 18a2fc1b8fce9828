// One service in the routing table.

#ifndef POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_
#define POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_

#include <cstdint>
#include <vector>

#include "base/log_offset.h"
#include "document/service_settings.h"

namespace pollenrudder {

// A service with its upstreams and, if it is divided by key, its shards.
struct RoutedService {
  // Marks a shard without an owner in `shard_owners`.
  static constexpr std::uint32_t kNoUpstream = UINT32_MAX;

  ServiceSettings settings;
  std::uint32_t team_max_in_flight = 0;
  // Indexes into RoutingTable::upstreams.
  std::vector<std::uint32_t> upstreams;
  // Per shard: an index into RoutingTable::upstreams, and the offset of the
  // record that placed it. Both have settings.shards entries, or none.
  std::vector<std::uint32_t> shard_owners;
  std::vector<LogOffset> shard_offsets;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_
