// ThreadShard(): assigns parts to threads round robin.

#include "base/thread_shard.h"

#include <atomic>

namespace pollenrudder {

std::size_t ThreadShard() {
  static std::atomic<std::size_t> next = 0;
  thread_local const std::size_t shard = next++ % kThreadShards;
  return shard;
}

}  // namespace pollenrudder
