// Greedy placement by load.

#include "routing/spread_placement.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

#include <xxhash.h>

namespace pollenrudder {

namespace {

// The minimum load of a shard, as a share of the mean load of a shard: load
// reports list only the busiest shards, so the loads of the others are
// uncertain.
constexpr double kMinLoadShare = 0.1;

// Priority queue entry: the upstream with the least load, then with the lowest
// hash, is on top.
struct Target {
  double load = 0;
  std::uint64_t hash = 0;
  std::uint32_t upstream = 0;

  bool operator<(const Target& other) const {
    return std::pair(load, hash) > std::pair(other.load, other.hash);
  }
};

double MinLoad(std::span<const ShardPlacement> shards) {
  double total = 0;
  for (const ShardPlacement& shard : shards)
    total += shard.load;
  return total > 0 ? kMinLoadShare * total / static_cast<double>(shards.size())
                   : 1;
}

}  // namespace

std::vector<std::uint32_t> SpreadPlacement::Place(
    std::span<const ShardPlacement> shards,
    std::span<const PlacementUpstream> upstreams) const {
  std::vector<std::uint32_t> owners(shards.size(), ShardPlacement::kNoOwner);
  const double min_load = MinLoad(shards);
  std::vector<double> loads(upstreams.size(), 0);
  std::vector<std::size_t> unplaced;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const std::uint32_t owner = shards[i].owner;
    if (owner < upstreams.size() && upstreams[owner].accepts) {
      owners[i] = owner;
      loads[owner] += shards[i].load + min_load;
    } else {
      unplaced.push_back(i);
    }
  }
  if (unplaced.empty())
    return owners;
  std::stable_sort(unplaced.begin(), unplaced.end(),
                   [&](std::size_t left, std::size_t right) {
                     return shards[left].load > shards[right].load;
                   });
  const std::uint32_t seed = shards[unplaced.front()].shard;
  std::priority_queue<Target> targets;
  for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
    if (!upstreams[i].accepts)
      continue;
    const std::string& name = upstreams[i].name;
    targets.push(
        {loads[i], XXH3_64bits_withSeed(name.data(), name.size(), seed), i});
  }
  if (targets.empty())
    return owners;
  for (const std::size_t i : unplaced) {
    Target target = targets.top();
    targets.pop();
    owners[i] = target.upstream;
    target.load += shards[i].load + min_load;
    targets.push(target);
  }
  return owners;
}

}  // namespace pollenrudder
