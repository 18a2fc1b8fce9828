// Rendezvous hashing of instances.

#ifndef POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_
#define POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenrudder {

// The score of `instance` for `key`; the same on every instance.
std::uint64_t RendezvousScore(std::string_view key, std::string_view instance);

// The number of `instances` that score higher for `key` than `instance`. Equal
// scores are ordered by name.
std::size_t RendezvousRank(std::string_view key,
                           std::string_view instance,
                           const std::vector<std::string>& instances);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_
