// The limit on retries of one service at one ingress.

#ifndef POLLENRUDDER_ROUTING_RETRY_BUDGET_H_
#define POLLENRUDDER_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "base/boot_clock.h"

namespace pollenrudder {

// Allows retries up to a share of the requests of the last ten seconds, so that
// an outage cannot multiply the load. A retry is paid for before it is made.
//   budget.RecordRequest(now);                      // each first attempt
//   if (auto delay = budget.TakeRetry(1, now, deadline)) wait *delay; send;
class RetryBudget {
 public:
  struct Options {
    double share = 0.10;
    // Allowed per window whatever the number of requests, so that a service
    // with few requests has retries at all.
    std::uint32_t minimum = 3;
    // The delay before retry n is uniform in (0, min(first << (n - 1), max)].
    std::chrono::nanoseconds first_delay = std::chrono::milliseconds(10);
    std::chrono::nanoseconds max_delay = std::chrono::milliseconds(250);
  };

  RetryBudget(const Options& options, std::uint64_t seed);

  // Counts a first attempt.
  void RecordRequest(BootTime now);
  // Returns the delay before retry number `attempt` (from 1), or nothing if
  // the budget is spent or the delay would end after the deadline.
  std::optional<std::chrono::nanoseconds> TakeRetry(std::uint32_t attempt,
                                                    BootTime now,
                                                    BootTime deadline);

  std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr std::chrono::nanoseconds kBucket = std::chrono::seconds(1);

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  void Advance(BootTime now);

  const Options options_;
  std::mt19937_64 random_;
  // One bucket per second; the sums are of all buckets.
  std::array<Bucket, kBuckets> buckets_{};
  std::int64_t current_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_RETRY_BUDGET_H_
