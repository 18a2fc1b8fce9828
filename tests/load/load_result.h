// Results of a load run.

#ifndef POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_
#define POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenrudder {

// Latencies are measured from the scheduled time of a request rather than from
// its sending, so that they include the time in the queue of a stalled system.
struct LoadResult {
  std::vector<std::chrono::microseconds> latencies;
  std::uint64_t sent = 0;
  // Counts by Pollenrudder-Error; "lost" for requests without a response.
  std::map<std::string, std::uint64_t> errors;
  // Responses that are truncated or belong to another request.
  std::uint64_t invalid_responses = 0;
  // Valid responses by upstream.
  std::map<std::string, std::uint64_t> upstreams;

  void Add(const LoadResult& other);
  // Returns the latency at the quantile `share`, from 0 to 1.
  std::chrono::microseconds Quantile(double share) const;
  // Returns the requests of the busiest upstream relative to the mean.
  double Imbalance() const;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_
