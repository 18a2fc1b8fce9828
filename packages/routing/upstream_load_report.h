// What a leader reports to a planner.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pollenrudder {

// The recent work rate of one shard.
struct ShardLoadReport {
  std::uint32_t shard = 0;
  double requests_per_second = 0;
};

// The recent work rate of one upstream. `shards` lists the busiest only; the
// rest of the rate is shared equally among the other shards it owns.
struct UpstreamLoadReport {
  std::string upstream;
  double requests_per_second = 0;
  std::vector<ShardLoadReport> shards;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_LOAD_REPORT_H_
