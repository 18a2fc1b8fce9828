// Load report of a leader to a planner.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pollenrudder {

// The recent request rate of one shard.
struct ShardLoadReport {
  std::uint32_t shard = 0;
  double requests_per_second = 0;
};

// The recent request rate of one upstream. `shards` lists only the busiest
// shards; the rest of the rate is divided equally among the other shards that
// the upstream owns.
struct UpstreamLoadReport {
  std::string upstream;
  double requests_per_second = 0;
  std::vector<ShardLoadReport> shards;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_
