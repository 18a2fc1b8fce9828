// RequestFingerprint.

#include "routing/fingerprint.h"

#include <array>

#include <xxhash.h>

namespace pollenrudder {

std::uint64_t RequestFingerprint(std::string_view service,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body) {
  // The parts are hashed one after the other, each with the hash of the parts
  // before it as its seed. This needs no hashing state, which is 576 bytes.
  std::uint64_t hash = 0;
  for (const std::string_view part : {service, method, target, body}) {
    const std::array<std::uint64_t, 2> link = {
        hash, static_cast<std::uint64_t>(part.size())};
    hash = XXH3_64bits_withSeed(part.data(), part.size(),
                                XXH3_64bits(link.data(), sizeof(link)));
  }
  return hash;
}

}  // namespace pollenrudder
