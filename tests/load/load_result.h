// What a run of the load tool observed.

#ifndef POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_
#define POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pollenrudder {

// Latencies count from the time at which a request was due, not from when it
// was sent, so that a stalled system can't hide its own queue.
struct LoadResult {
  std::vector<std::chrono::microseconds> latencies;
  std::uint64_t sent = 0;
  // By Pollenrudder-Error, or "lost" without any answer.
  std::map<std::string, std::uint64_t> errors;
  // Answers that are cut off, or belong to another request.
  std::uint64_t invalid_responses = 0;
  // Answers by upstream.
  std::map<std::string, std::uint64_t> upstreams;

  void Add(const LoadResult& other);
  // Returns the latency at `share` of the sorted answers.
  std::chrono::microseconds Quantile(double share) const;
  // Returns the load of the busiest upstream relative to the mean.
  double Imbalance() const;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_RESULT_H_
