// Placement of shards on upstreams.

#ifndef POLLENRUDDER_ROUTING_PLACEMENT_H_
#define POLLENRUDDER_ROUTING_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pollenrudder {

// A shard to place or to keep. `load` is in any unit that is the same for all
// shards; with no reports yet, give every shard 1.
struct ShardPlacement {
  // Marks a shard without an owner, or without a possible owner.
  static constexpr std::uint32_t kNoOwner = UINT32_MAX;

  std::uint32_t shard = 0;
  // An index into the upstreams, or kNoOwner.
  std::uint32_t owner = kNoOwner;
  double load = 1;
};

struct PlacementUpstream {
  std::string name;
  // False if it is lost or leaving: all its shards get another owner.
  bool accepts = true;
};

// Decides which upstream owns which shard. A policy is a pure function of its
// arguments, so that it gives the same answer at every instance. Uses:
//   - first placement: all shards with kNoOwner;
//   - loss or stop of an upstream: `accepts` false for it; the shards whose
//     owner changes in the result are moved.
// Related: SpreadPlacement, Planner (moves by load while nothing is lost).
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  // Returns the owner of each shard, in the order of `shards`, as an index into
  // `upstreams`; kNoOwner for all if no upstream accepts.
  virtual std::vector<std::uint32_t> Place(
      std::span<const ShardPlacement> shards,
      std::span<const PlacementUpstream> upstreams) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLACEMENT_H_
