// Routing table entry of one service.

#ifndef POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_
#define POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_

#include <cstdint>
#include <vector>

#include "base/log_offset.h"
#include "document/service_settings.h"

namespace pollenrudder {

// The settings and upstreams of one service and, if it is sharded by key, the
// owners of its shards.
struct RoutedService {
  // Value in `shard_owners` for a shard without an owner.
  static constexpr std::uint32_t kNoUpstream = UINT32_MAX;

  ServiceSettings settings;
  std::uint32_t team_max_in_flight = 0;
  // Indexes into RoutingTable::upstreams.
  std::vector<std::uint32_t> upstreams;
  // Per shard: the owner as an index into RoutingTable::upstreams, and the
  // offset of the log record that assigned it. Both have settings.shards
  // entries, or none.
  std::vector<std::uint32_t> shard_owners;
  std::vector<LogOffset> shard_offsets;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTED_SERVICE_H_
