// Rendezvous hashing with XXH3.

#include "ownership/rendezvous_score.h"

#include <algorithm>

#include <xxhash.h>

namespace pollenrudder {

std::uint64_t RendezvousScore(std::string_view key, std::string_view instance) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(instance.data(), instance.size(), seed);
}

std::size_t RendezvousRank(std::string_view key,
                           std::string_view instance,
                           const std::vector<std::string>& instances) {
  const std::uint64_t own_score = RendezvousScore(key, instance);
  return static_cast<std::size_t>(std::count_if(
      instances.begin(), instances.end(), [&](const std::string& other) {
        const std::uint64_t score = RendezvousScore(key, other);
        return score > own_score || (score == own_score && other < instance);
      }));
}

}  // namespace pollenrudder
