// What the tests with many instances at cold upstreams share.

#ifndef POLLENRUDDER_DISPATCH_COLD_DEPLOYMENT_TEST_H_
#define POLLENRUDDER_DISPATCH_COLD_DEPLOYMENT_TEST_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "dispatch/dispatcher_fixture_test.h"

namespace pollenrudder {

// What a cold upstream tolerates in any one second.
inline double MaxPerSecond(double rate) {
  constexpr double kOverage = 1.5;
  constexpr double kSlack = 8;
  return rate * kOverage + kSlack;
}

// Returns the largest number of `times` within one second.
inline std::size_t BusiestSecond(std::vector<std::chrono::milliseconds> times) {
  std::ranges::sort(times);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= std::chrono::seconds(1))
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

// One of the instances that share the upstreams of a deployment.
struct Instance {
  explicit Instance(std::uint64_t seed, const FleetContact* contact = nullptr)
      : dispatcher({.zone = "a1",
                    .region_of_zone = {{"a1", "a"}, {"a2", "a"}},
                    .seed = seed,
                    .contact = contact},
                   recorder) {}

  DispatchRecorder recorder;
  Dispatcher dispatcher;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_COLD_DEPLOYMENT_TEST_H_
