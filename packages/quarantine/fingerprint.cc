// Hash of the parts of a request.

#include "quarantine/fingerprint.h"

#include <array>

#include <xxhash.h>

namespace pollenrudder {

std::uint64_t RequestFingerprint(std::string_view service,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body) {
  // The parts are hashed in sequence, each seeded with the hash of the
  // preceding parts. This avoids an XXH3 streaming state of 576 bytes.
  std::uint64_t hash = 0;
  for (const std::string_view part : {service, method, target, body}) {
    const std::array<std::uint64_t, 2> seed = {
        hash, static_cast<std::uint64_t>(part.size())};
    hash = XXH3_64bits_withSeed(part.data(), part.size(),
                                XXH3_64bits(seed.data(), sizeof(seed)));
  }
  return hash;
}

}  // namespace pollenrudder
