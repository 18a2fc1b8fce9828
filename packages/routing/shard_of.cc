// Mapping of keys to shards by XXH3.

#include "routing/shard_of.h"

#include <cassert>

#include <xxhash.h>

namespace pollenrudder {

std::uint32_t ShardOf(std::string_view key, std::uint32_t shards) {
  assert(shards > 0);
  return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) %
                                    shards);
}

}  // namespace pollenrudder
