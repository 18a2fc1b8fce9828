// Shares the current routing table among threads.

#ifndef POLLENRUDDER_CALLERS_ROUTING_TABLE_HOLDER_H_
#define POLLENRUDDER_CALLERS_ROUTING_TABLE_HOLDER_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <utility>

#include "routing/routing_table.h"

namespace pollenrudder {

// The control thread calls Publish(). Each I/O thread caches the pointer from
// Load() and compares version() for each request, which costs one shared atomic
// read.
class RoutingTableHolder {
 public:
  void Publish(RoutingTablePointer table) {
    const std::lock_guard lock(mutex_);
    table_ = std::move(table);
    version_.fetch_add(1);
  }

  // Null until the first Publish().
  RoutingTablePointer Load() const {
    const std::lock_guard lock(mutex_);
    return table_;
  }

  // Changes with each Publish(). Read it before Load(), so that a table
  // published in between is not missed.
  std::uint64_t version() const { return version_.load(); }

 private:
  mutable std::mutex mutex_;
  RoutingTablePointer table_;
  std::atomic<std::uint64_t> version_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_ROUTING_TABLE_HOLDER_H_
