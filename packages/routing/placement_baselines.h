// Placement policies for comparison with SpreadPlacement. For tests and
// policy_bench only.

#ifndef POLLENRUDDER_ROUTING_PLACEMENT_BASELINES_H_
#define POLLENRUDDER_ROUTING_PLACEMENT_BASELINES_H_

#include <cstdint>
#include <span>
#include <vector>

#include "routing/placement.h"

namespace pollenrudder {

// Owner: shard % number of accepting upstreams.
class ModuloPlacement : public PlacementPolicy {
 public:
  std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const override;
};

// Rendezvous hashing: the owner is the upstream with the highest hash of shard
// and name.
class RendezvousPlacement : public PlacementPolicy {
 public:
  std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const override;
};

// Consistent hashing with bounded loads: a ring with 100 points per upstream,
// on which a shard goes to the next upstream whose load stays below `bound`
// times the mean.
class BoundedRingPlacement : public PlacementPolicy {
 public:
  explicit BoundedRingPlacement(double bound) : bound_(bound) {}
  std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const override;

 private:
  const double bound_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLACEMENT_BASELINES_H_
