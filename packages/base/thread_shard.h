// Spreads threads over the parts of a sharded object.

#ifndef POLLENRUDDER_BASE_THREAD_SHARD_H_
#define POLLENRUDDER_BASE_THREAD_SHARD_H_

#include <cstddef>

namespace pollenrudder {

// The parts of a sharded object. Each part has its own cache line, so that
// threads that count the same thing do not wait for each other's writes.
inline constexpr std::size_t kThreadShards = 8;
inline constexpr std::size_t kCacheLineBytes = 64;

// Returns the part of the calling thread, below kThreadShards.
std::size_t ThreadShard();

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_THREAD_SHARD_H_
