// Implementation of LoadCounter.

#include "upstreams/load_counter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pollenrudder {

UpstreamLoad LoadCounter::Report(std::string service,
                                 std::string upstream,
                                 bool is_sharded,
                                 std::uint32_t in_flight,
                                 BootTime now) {
  constexpr double kMinSeconds = 0.001;
  const double seconds = std::max(
      std::chrono::duration<double>(now - since_).count(), kMinSeconds);
  UpstreamLoad load;
  load.service = std::move(service);
  load.upstream = std::move(upstream);
  load.requests_per_second = static_cast<double>(requests_) / seconds;
  load.in_flight = in_flight;
  if (is_sharded) {
    for (const auto& [shard, requests] : by_shard_)
      load.shards.push_back({shard, static_cast<double>(requests) / seconds});
    const auto has_higher_rate = [](const ShardLoad& first,
                                    const ShardLoad& second) {
      if (first.requests_per_second != second.requests_per_second)
        return first.requests_per_second > second.requests_per_second;
      return first.shard < second.shard;
    };
    std::ranges::sort(load.shards, has_higher_rate);
    if (load.shards.size() > kMaxReportedShards)
      load.shards.resize(kMaxReportedShards);
  }
  since_ = now;
  requests_ = 0;
  by_shard_.clear();
  return load;
}

}  // namespace pollenrudder
