// Rendezvous hashing: ranks instances for a key, with the same result on every
// instance.

#ifndef POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_
#define POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenrudder {

// Returns the score of `instance` for `key`.
std::uint64_t RendezvousScore(std::string_view key, std::string_view instance);

// Returns the number of `instances` with a higher score for `key` than
// `instance`. Equal scores are ordered by name.
std::size_t RendezvousRank(std::string_view key,
                           std::string_view instance,
                           const std::vector<std::string>& instances);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_RENDEZVOUS_SCORE_H_
