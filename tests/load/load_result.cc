// Totals, quantiles and imbalance of a run.

#include "tests/load/load_result.h"

#include <algorithm>
#include <cmath>

namespace pollenrudder {

void LoadResult::Add(const LoadResult& other) {
  latencies.insert(latencies.end(), other.latencies.begin(),
                   other.latencies.end());
  std::sort(latencies.begin(), latencies.end());
  sent += other.sent;
  invalid_responses += other.invalid_responses;
  for (const auto& [error, count] : other.errors)
    errors[error] += count;
  for (const auto& [upstream, count] : other.upstreams)
    upstreams[upstream] += count;
}

std::chrono::microseconds LoadResult::Quantile(double share) const {
  if (latencies.empty())
    return std::chrono::microseconds(0);
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(latencies.size())));
  return latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
}

double LoadResult::Imbalance() const {
  std::uint64_t total = 0;
  std::uint64_t busiest = 0;
  for (const auto& [upstream, count] : upstreams) {
    total += count;
    busiest = std::max(busiest, count);
  }
  if (total == 0)
    return 0;
  return static_cast<double>(busiest * upstreams.size()) /
         static_cast<double>(total);
}

}  // namespace pollenrudder
