// Distributes threads over the parts of a sharded object, such as Counter.

#ifndef POLLENRUDDER_BASE_THREAD_SHARD_H_
#define POLLENRUDDER_BASE_THREAD_SHARD_H_

#include <cstddef>

namespace pollenrudder {

// The number of parts of a sharded object. Each part has its own cache line, so
// that threads that write to different parts do not wait for each other.
inline constexpr std::size_t kThreadShards = 8;
inline constexpr std::size_t kCacheLineBytes = 64;

// Returns the index of the part for the calling thread, below kThreadShards.
std::size_t ThreadShard();

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_THREAD_SHARD_H_
