// A metrics counter for concurrent increments by many threads.

#ifndef POLLENRUDDER_BASE_COUNTER_H_
#define POLLENRUDDER_BASE_COUNTER_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "base/thread_shard.h"

namespace pollenrudder {

// Counts without locks, with one part for each group of threads. Code that runs
// for each request keeps a reference from Metrics::CounterFor() instead of
// looking up the counter each time.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    parts_[ThreadShard()].value.fetch_add(amount, std::memory_order_relaxed);
  }

  std::uint64_t value() const {
    std::uint64_t sum = 0;
    for (const Part& part : parts_)
      sum += part.value.load(std::memory_order_relaxed);
    return sum;
  }

 private:
  struct alignas(kCacheLineBytes) Part {
    std::atomic<std::uint64_t> value = 0;
  };

  std::array<Part, kThreadShards> parts_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_COUNTER_H_
