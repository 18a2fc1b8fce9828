// Placement of shards on the least loaded upstreams, with as few moves as
// possible.

#ifndef POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_
#define POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "routing/placement.h"

namespace pollenrudder {

// Keeps every shard whose owner accepts. The others are placed in the order of
// their load, heaviest first, each on the upstream with the least load.
// Upstreams of equal load are ordered by a hash of their name and the first
// shard to be placed, so that two leaders that each lose an upstream at the
// same time prefer different targets. Each shard counts with a minimum load, so
// that idle shards are spread as well.
class SpreadPlacement : public PlacementPolicy {
 public:
  std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const override;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_SPREAD_PLACEMENT_H_
