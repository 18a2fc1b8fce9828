// Tests of SpreadPlacement, and of the baselines with the same interface.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "routing/placement_baselines.h"
#include "routing/spread_placement.h"

namespace pollenrudder {
namespace {

std::vector<PlacementUpstream> MakeUpstreams(std::size_t count) {
  std::vector<PlacementUpstream> upstreams(count);
  for (std::size_t i = 0; i < count; ++i)
    upstreams[i].name = "geodata-" + std::to_string(i);
  return upstreams;
}

std::vector<ShardPlacement> MakeShards(std::uint32_t count) {
  std::vector<ShardPlacement> shards(count);
  for (std::uint32_t i = 0; i < count; ++i)
    shards[i].shard = i;
  return shards;
}

std::size_t CountOwnedBy(const std::vector<std::uint32_t>& owners,
                         std::uint32_t upstream) {
  return static_cast<std::size_t>(
      std::count(owners.begin(), owners.end(), upstream));
}

// Target of docs/design.md, section 1.6, at the sizes of the current
// deployments.
TEST_CASE("Loss of an upstream moves at most 1.2 x its shards") {
  for (const std::size_t count : {8, 9, 15}) {
    const SpreadPlacement policy;
    std::vector<PlacementUpstream> upstreams = MakeUpstreams(count);
    std::vector<ShardPlacement> shards = MakeShards(1024);
    const std::vector<std::uint32_t> before = policy.Place(shards, upstreams);
    for (std::uint32_t i = 0; i < shards.size(); ++i)
      shards[i].owner = before[i];
    upstreams[2].accepts = false;
    const std::vector<std::uint32_t> after = policy.Place(shards, upstreams);
    std::size_t moves = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
      moves += before[i] != after[i];
    CHECK(CountOwnedBy(after, 2) == 0);
    CHECK(static_cast<double>(moves) <=
          1.2 * static_cast<double>(CountOwnedBy(before, 2)));
  }
}

TEST_CASE("Every policy places all shards on accepting upstreams") {
  const SpreadPlacement spread;
  const ModuloPlacement modulo;
  const RendezvousPlacement rendezvous;
  const BoundedRingPlacement ring(1.15);
  const std::vector<const PlacementPolicy*> policies = {&spread, &modulo,
                                                        &rendezvous, &ring};
  rc::prop("any state", [&] {
    std::vector<PlacementUpstream> upstreams =
        MakeUpstreams(*rc::gen::inRange<std::size_t>(0, 12));
    bool any = false;
    for (PlacementUpstream& upstream : upstreams) {
      upstream.accepts = *rc::gen::arbitrary<bool>();
      any = any || upstream.accepts;
    }
    std::vector<ShardPlacement> shards =
        MakeShards(*rc::gen::inRange<std::uint32_t>(0, 60));
    for (ShardPlacement& shard : shards) {
      shard.owner = *rc::gen::inRange<std::uint32_t>(0, 14);
      shard.load = *rc::gen::inRange(0, 50);
    }
    for (const PlacementPolicy* policy : policies) {
      const std::vector<std::uint32_t> owners =
          policy->Place(shards, upstreams);
      RC_ASSERT(owners.size() == shards.size());
      for (std::size_t i = 0; i < owners.size(); ++i) {
        RC_ASSERT((owners[i] != ShardPlacement::kNoOwner) == any);
        if (any)
          RC_ASSERT(upstreams[owners[i]].accepts);
        const std::uint32_t owner = shards[i].owner;
        if (policy == &spread && owner < upstreams.size() &&
            upstreams[owner].accepts)
          RC_ASSERT(owners[i] == owner);
      }
    }
  });
}

// Guards against the placement of all idle shards, which have no load, on one
// upstream.
TEST_CASE("Idle shards are spread over the upstreams") {
  std::vector<ShardPlacement> shards = MakeShards(80);
  shards[0].load = 1000;
  for (std::size_t i = 1; i < shards.size(); ++i)
    shards[i].load = 0;
  const auto owners = SpreadPlacement().Place(shards, MakeUpstreams(8));
  for (std::uint32_t i = 0; i < 8; ++i) {
    if (i != owners[0])
      CHECK(CountOwnedBy(owners, i) <= 13);
  }
}

}  // namespace
}  // namespace pollenrudder
