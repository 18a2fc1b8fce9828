// Mapping of keys to shards.

#ifndef POLLENRUDDER_ROUTING_SHARD_OF_H_
#define POLLENRUDDER_ROUTING_SHARD_OF_H_

#include <cstdint>
#include <string_view>

namespace pollenrudder {

// Returns XXH3(key) % shards. All instances must agree on the result, so
// neither this function nor the shard count may change during the lifetime of a
// service. Precondition: shards > 0.
std::uint32_t ShardOf(std::string_view key, std::uint32_t shards);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_SHARD_OF_H_
