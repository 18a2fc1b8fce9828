// Interface of the policies that assign shards to upstreams.

#ifndef POLLENRUDDER_ROUTING_PLACEMENT_H_
#define POLLENRUDDER_ROUTING_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pollenrudder {

// A shard to assign. `load` can be in any unit that is the same for all shards;
// without load reports, use 1 for every shard.
struct ShardPlacement {
  // Value for a shard that has no owner, or that no upstream can own.
  static constexpr std::uint32_t kNoOwner = UINT32_MAX;

  std::uint32_t shard = 0;
  // Index into the upstreams, or kNoOwner.
  std::uint32_t owner = kNoOwner;
  double load = 1;
};

struct PlacementUpstream {
  std::string name;
  // False if the upstream is lost or leaving: all its shards get another owner.
  bool accepts = true;
};

// Assigns shards to upstreams. A policy is a pure function of its arguments, so
// that it gives the same result at every instance. Uses:
//   - first placement: all shards with kNoOwner;
//   - loss or stop of an upstream: set `accepts` to false for it; the shards
//     whose owner differs in the result are moved.
// Related: SpreadPlacement, Planner (balances the load while all upstreams are
// available).
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  // Returns the owner of each shard, in the order of `shards`, as an index into
  // `upstreams`; kNoOwner for all shards if no upstream accepts.
  virtual std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLACEMENT_H_
