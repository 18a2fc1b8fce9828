// This instance's part of the retries that a service may receive.

#ifndef POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_
#define POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

// Counts requests and resends of one service over a sliding window. All
// instances together may resend `ratio` x the requests + `slack` a window; each
// uses the ratio of its own requests and an equal part of the slack, so that
// the sum holds without messages.
//
//   allowance.RecordRequest(now);              // each request of a caller
//   if (allowance.TryConsumeRetry(now)) ...         // each further send
class RetryBudgetShare {
 public:
  struct Options {
    double ratio = 0.2;
    // The part of the slack that this instance may use.
    double slack = 4;
    std::chrono::nanoseconds window = std::chrono::seconds(10);
  };

  // The slack becomes available over the first window after `start`: an earlier
  // life of this instance may have used its part.
  RetryBudgetShare(const Options& options, BootTime start);

  void RecordRequest(BootTime now);
  // Returns whether one more send is allowed, and counts it.
  bool TryConsumeRetry(BootTime now);
  // Returns whether TryConsumeRetry() would succeed.
  bool HasCapacity(BootTime now);
  void set_slack(double slack) { options_.slack = slack; }

 private:
  static constexpr std::size_t kBuckets = 20;
  // Keeps the sum over all instances below the bound although their windows
  // are not aligned with the one that is judged.
  static constexpr double kMargin = 0.8;

  struct Bucket {
    std::uint32_t requests = 0;
    std::uint32_t resends = 0;
  };

  void Advance(BootTime now);

  Options options_;
  const BootTime start_;
  std::array<Bucket, kBuckets> buckets_{};
  std::int64_t current_ = 0;
  // Invariant: the sums of buckets_.
  std::uint32_t requests_ = 0;
  std::uint32_t resends_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_RETRY_BUDGET_SHARE_H_
