// Placement by load, with as few moves as possible.

#ifndef POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_
#define POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "routing/placement.h"

namespace pollenrudder {

// Leaves every shard whose owner accepts where it is. The others are placed
// heaviest first, each on the upstream with the least load. Among upstreams of
// equal load the one with the highest rendezvous hash of shard and name is
// taken, so that two leaders that lose an upstream at the same time do not
// choose the same target for all their shards.
class SpreadPlacement : public PlacementPolicy {
 public:
  std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const override;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_
