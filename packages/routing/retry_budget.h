// Retry budget of one service at one ingress.

#ifndef POLLENRUDDER_ROUTING_RETRY_BUDGET_H_
#define POLLENRUDDER_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "base/boot_clock.h"

namespace pollenrudder {

// Limits retries to a share of the requests of the last ten seconds, so that an
// outage does not multiply the load. Take each retry from the budget before
// sending it:
//   budget.RecordRequest(now);                      // each first attempt
//   if (auto delay = budget.TakeRetry(1, now, deadline)) wait *delay; send;
class RetryBudget {
 public:
  struct Options {
    double share = 0.10;
    // Retries allowed per window regardless of the number of requests, so that
    // a service with few requests can retry at all.
    std::uint32_t minimum = 3;
    // Exponential backoff with full jitter: the delay before retry n is uniform
    // in (0, min(first_delay << (n - 1), max_delay)].
    std::chrono::nanoseconds first_delay = std::chrono::milliseconds(10);
    std::chrono::nanoseconds max_delay = std::chrono::milliseconds(250);
  };

  RetryBudget(const Options& options, std::uint64_t seed);

  // Counts a first attempt.
  void RecordRequest(BootTime now);
  // Takes one retry from the budget and returns the delay before retry number
  // `attempt` (from 1). Returns nothing, and takes none, if the budget is spent
  // or the delay would reach the deadline.
  std::optional<std::chrono::nanoseconds> TakeRetry(std::uint32_t attempt,
                                                    BootTime now,
                                                    BootTime deadline);

  std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::size_t kBuckets = 10;
  static constexpr std::chrono::nanoseconds kBucketDuration =
      std::chrono::seconds(1);

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  void RemoveOldBuckets(BootTime now);

  const Options options_;
  std::mt19937_64 random_;
  // One bucket per second; requests_ and retries_ are the sums over all
  // buckets.
  std::array<Bucket, kBuckets> buckets_{};
  std::int64_t current_second_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_RETRY_BUDGET_H_
