// Placement policies for comparison with SpreadPlacement.

#include "routing/placement_baselines.h"

#include <algorithm>
#include <string>
#include <utility>

#include <xxhash.h>

namespace pollenrudder {

namespace {

constexpr int kPointsPerUpstream = 100;

std::vector<std::uint32_t> Accepting(
    std::span<const PlacementUpstream> upstreams) {
  std::vector<std::uint32_t> accepting;
  for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i].accepts)
      accepting.push_back(i);
  }
  return accepting;
}

std::uint64_t HashOf(const std::string& name, std::uint64_t seed) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

}  // namespace

std::vector<std::uint32_t> ModuloPlacement::Place(
    std::span<const ShardPlacement> shards,
    std::span<const PlacementUpstream> upstreams) const {
  const std::vector<std::uint32_t> accepting = Accepting(upstreams);
  std::vector<std::uint32_t> owners(shards.size(), ShardPlacement::kNoOwner);
  for (std::size_t i = 0; i < shards.size() && !accepting.empty(); ++i)
    owners[i] = accepting[shards[i].shard % accepting.size()];
  return owners;
}

std::vector<std::uint32_t> RendezvousPlacement::Place(
    std::span<const ShardPlacement> shards,
    std::span<const PlacementUpstream> upstreams) const {
  const std::vector<std::uint32_t> accepting = Accepting(upstreams);
  std::vector<std::uint32_t> owners(shards.size(), ShardPlacement::kNoOwner);
  for (std::size_t i = 0; i < shards.size() && !accepting.empty(); ++i) {
    owners[i] = *std::max_element(
        accepting.begin(), accepting.end(),
        [&](std::uint32_t left, std::uint32_t right) {
          return HashOf(upstreams[left].name, shards[i].shard) <
                 HashOf(upstreams[right].name, shards[i].shard);
        });
  }
  return owners;
}

std::vector<std::uint32_t> BoundedRingPlacement::Place(
    std::span<const ShardPlacement> shards,
    std::span<const PlacementUpstream> upstreams) const {
  const std::vector<std::uint32_t> accepting = Accepting(upstreams);
  std::vector<std::uint32_t> owners(shards.size(), ShardPlacement::kNoOwner);
  if (accepting.empty())
    return owners;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ring;
  for (const std::uint32_t upstream : accepting) {
    for (int point = 0; point < kPointsPerUpstream; ++point)
      ring.emplace_back(HashOf(upstreams[upstream].name, point), upstream);
  }
  std::sort(ring.begin(), ring.end());
  double total = 0;
  for (const ShardPlacement& shard : shards)
    total += shard.load;
  const double limit = bound_ * total / static_cast<double>(accepting.size());
  std::vector<double> loads(upstreams.size(), 0);
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const std::uint64_t position =
        XXH3_64bits(&shards[i].shard, sizeof(shards[i].shard));
    const auto start = std::lower_bound(ring.begin(), ring.end(),
                                        std::pair(position, std::uint32_t{0}));
    const auto first = static_cast<std::size_t>(start - ring.begin());
    std::uint32_t owner = ring[first % ring.size()].second;
    for (std::size_t step = 0; step < ring.size(); ++step) {
      const std::uint32_t next = ring[(first + step) % ring.size()].second;
      if (loads[next] + shards[i].load > limit)
        continue;
      owner = next;
      break;
    }
    owners[i] = owner;
    loads[owner] += shards[i].load;
  }
  return owners;
}

}  // namespace pollenrudder
