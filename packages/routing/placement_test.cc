// Tests of SpreadPlacement, with the baselines behind the same interface.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "routing/placement_baselines.h"
#include "routing/spread_placement.h"

namespace pollenrudder {
namespace {

std::vector<PlacementUpstream> Upstreams(std::size_t count) {
  std::vector<PlacementUpstream> upstreams(count);
  for (std::size_t i = 0; i < count; ++i)
    upstreams[i].name = "geodata-" + std::to_string(i);
  return upstreams;
}

std::vector<ShardPlacement> Shards(std::uint32_t count) {
  std::vector<ShardPlacement> shards(count);
  for (std::uint32_t i = 0; i < count; ++i)
    shards[i].shard = i;
  return shards;
}

std::size_t HeldBy(const std::vector<std::uint32_t>& owners,
                   std::uint32_t upstream) {
  return static_cast<std::size_t>(
      std::count(owners.begin(), owners.end(), upstream));
}

// The target of section 1.6, at the sizes of the current deployments.
TEST_CASE("A lost upstream moves at most 1.2 x the shards it held") {
  for (const std::size_t count : {8, 9, 15}) {
    const SpreadPlacement policy;
    std::vector<PlacementUpstream> upstreams = Upstreams(count);
    std::vector<ShardPlacement> shards = Shards(1024);
    const std::vector<std::uint32_t> before = policy.Place(shards, upstreams);
    for (std::uint32_t i = 0; i < shards.size(); ++i)
      shards[i].owner = before[i];
    upstreams[2].accepts = false;
    const std::vector<std::uint32_t> after = policy.Place(shards, upstreams);
    std::size_t moves = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
      moves += before[i] != after[i];
    CHECK(HeldBy(after, 2) == 0);
    CHECK(static_cast<double>(moves) <=
          1.2 * static_cast<double>(HeldBy(before, 2)));
  }
}

TEST_CASE("Any policy places all shards on upstreams that accept") {
  const SpreadPlacement spread;
  const ModuloPlacement modulo;
  const RendezvousPlacement rendezvous;
  const BoundedRingPlacement ring(1.15);
  const std::vector<const PlacementPolicy*> policies = {&spread, &modulo,
                                                        &rendezvous, &ring};
  rc::prop("any state", [&] {
    std::vector<PlacementUpstream> upstreams =
        Upstreams(*rc::gen::inRange<std::size_t>(0, 12));
    bool any = false;
    for (PlacementUpstream& upstream : upstreams) {
      upstream.accepts = *rc::gen::arbitrary<bool>();
      any = any || upstream.accepts;
    }
    std::vector<ShardPlacement> shards =
        Shards(*rc::gen::inRange<std::uint32_t>(0, 60));
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

// Guards against idle shards, which have no load, all going to one upstream.
TEST_CASE("Idle shards are spread as well") {
  std::vector<ShardPlacement> shards = Shards(80);
  shards[0].load = 1000;
  for (std::size_t i = 1; i < shards.size(); ++i)
    shards[i].load = 0;
  const auto owners = SpreadPlacement().Place(shards, Upstreams(8));
  for (std::uint32_t i = 0; i < 8; ++i) {
    if (i != owners[0])
      CHECK(HeldBy(owners, i) <= 13);
  }
}

}  // namespace
}  // namespace pollenrudder
