// This instance's share of the retry budget of a service.

#ifndef POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_
#define POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

// Counts the requests and retries of one service over a sliding window. All
// instances together may send `ratio` x requests + `slack` retries per window.
// Each instance uses the ratio of its own requests and an equal part of the
// slack, so the bound holds without coordination.
//
//   budget.RecordRequest(now);             // for each request of a caller
//   if (budget.TryConsumeRetry(now)) ...   // for each further attempt
class RetryBudgetShare {
 public:
  struct Options {
    double ratio = 0.2;
    // This instance's part of the slack.
    double slack = 4;
    std::chrono::nanoseconds window = std::chrono::seconds(10);
  };

  // The slack becomes available gradually over the first window after `start`,
  // since an earlier incarnation of this instance may have used its part.
  RetryBudgetShare(const Options& options, BootTime start);

  void RecordRequest(BootTime now);
  // Counts a retry and returns true if the budget allows one.
  bool TryConsumeRetry(BootTime now);
  // Returns whether TryConsumeRetry() would succeed.
  bool HasCapacity(BootTime now);
  void set_slack(double slack) { options_.slack = slack; }

 private:
  static constexpr std::size_t kBuckets = 20;
  // Keeps the sum of all instances below the bound in any window, although
  // their buckets are not aligned with it.
  static constexpr double kMargin = 0.8;

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  void Advance(BootTime now);

  Options options_;
  const BootTime start_;
  std::array<Bucket, kBuckets> buckets_{};
  std::int64_t current_ = 0;
  // Invariant: the sums over buckets_.
  std::uint32_t requests_ = 0;
  std::uint32_t retries_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_
