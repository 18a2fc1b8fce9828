// Request rates of one upstream between two load reports.

#ifndef POLLENRUDDER_UPSTREAMS_LOAD_COUNTER_H_
#define POLLENRUDDER_UPSTREAMS_LOAD_COUNTER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/boot_clock.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Counts the requests sent, by shard. Call Count() for each request and
// Report() once per report interval; a report lists the busiest shards only.
class LoadCounter {
 public:
  // Maximum number of shards in a report; the planner moves only the busiest.
  static constexpr std::size_t kMaxReportedShards = 64;

  explicit LoadCounter(BootTime now) : since_(now) {}

  void Count(std::uint32_t shard) {
    ++requests_;
    ++by_shard_[shard];
  }

  // Returns the load since the last report and resets the counters.
  UpstreamLoad Report(std::string service,
                      std::string upstream,
                      bool is_sharded,
                      std::uint32_t in_flight,
                      BootTime now);

 private:
  BootTime since_;
  std::uint64_t requests_ = 0;
  std::unordered_map<std::uint32_t, std::uint64_t> by_shard_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_LOAD_COUNTER_H_
