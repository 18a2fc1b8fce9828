// SpreadPlacement.

#include "routing/spread_placement.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

#include <xxhash.h>

namespace pollenrudder {

namespace {

// The least load of a shard, as a share of the mean load of a shard: reports
// list the busiest shards only, so the load of the others is uncertain.
constexpr double kLeastShare = 0.1;

// The upstream with the least load, then with the lowest hash, is on top.
struct Bin {
  double load = 0;
  std::uint64_t hash = 0;
  std::uint32_t upstream = 0;

  bool operator<(const Bin& other) const {
    return std::pair(load, hash) > std::pair(other.load, other.hash);
  }
};

double LeastLoad(std::span<const ShardPlacement> shards) {
  double total = 0;
  for (const ShardPlacement& shard : shards)
    total += shard.load;
  return total > 0 ? kLeastShare * total / static_cast<double>(shards.size())
                   : 1;
}

}  // namespace

std::vector<std::uint32_t> SpreadPlacement::Place(
    std::span<const ShardPlacement> shards,
    std::span<const PlacementUpstream> upstreams) const {
  std::vector<std::uint32_t> owners(shards.size(), ShardPlacement::kNoOwner);
  const double least = LeastLoad(shards);
  std::vector<double> loads(upstreams.size(), 0);
  std::vector<std::size_t> homeless;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    const std::uint32_t owner = shards[i].owner;
    if (owner < upstreams.size() && upstreams[owner].accepts) {
      owners[i] = owner;
      loads[owner] += shards[i].load + least;
    } else {
      homeless.push_back(i);
    }
  }
  if (homeless.empty())
    return owners;
  std::stable_sort(homeless.begin(), homeless.end(),
                   [&](std::size_t left, std::size_t right) {
                     return shards[left].load > shards[right].load;
                   });
  const std::uint32_t seed = shards[homeless.front()].shard;
  std::priority_queue<Bin> bins;
  for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
    if (!upstreams[i].accepts)
      continue;
    const std::string& name = upstreams[i].name;
    bins.push(
        {loads[i], XXH3_64bits_withSeed(name.data(), name.size(), seed), i});
  }
  if (bins.empty())
    return owners;
  for (const std::size_t i : homeless) {
    Bin bin = bins.top();
    bins.pop();
    owners[i] = bin.upstream;
    bin.load += shards[i].load + least;
    bins.push(bin);
  }
  return owners;
}

}  // namespace pollenrudder
