// RetryBudgetShare: a ring of buckets that covers the window.

#include "dispatch/retry_budget_share.h"

#include <algorithm>

namespace pollenrudder {

RetryBudgetShare::RetryBudgetShare(const Options& options, BootTime start)
    : options_(options), start_(start) {}

void RetryBudgetShare::RecordRequest(BootTime now) {
  Advance(now);
  ++buckets_[static_cast<std::size_t>(current_) % kBuckets].requests;
  ++requests_;
}

bool RetryBudgetShare::HasCapacity(BootTime now) {
  Advance(now);
  const std::chrono::duration<double> age = now - start_;
  const std::chrono::duration<double> window = options_.window;
  const double slack = options_.slack * std::min(1.0, age / window);
  const double allowed = kMargin * (options_.ratio * requests_ + slack);
  return retries_ + 1 <= allowed;
}

bool RetryBudgetShare::TryConsumeRetry(BootTime now) {
  if (!HasCapacity(now))
    return false;
  ++buckets_[static_cast<std::size_t>(current_) % kBuckets].retries;
  ++retries_;
  return true;
}

void RetryBudgetShare::Advance(BootTime now) {
  const auto bucket_time =
      options_.window / static_cast<std::int64_t>(kBuckets);
  const std::int64_t bucket = now.time_since_epoch() / bucket_time;
  const std::int64_t steps =
      std::min<std::int64_t>(bucket - current_, kBuckets);
  for (std::int64_t step = 1; step <= steps; ++step) {
    Bucket& old =
        buckets_[static_cast<std::size_t>(bucket - steps + step) % kBuckets];
    requests_ -= old.requests;
    retries_ -= old.retries;
    old = {};
  }
  current_ = std::max(current_, bucket);
}

}  // namespace pollenrudder
