// Sliding window of the retry budget, and the backoff.

#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace pollenrudder {

RetryBudget::RetryBudget(const Options& options, std::uint64_t seed)
    : options_(options), random_(seed) {
  assert(options.share >= 0);
  assert(options.first_delay.count() > 0);
}

void RetryBudget::RemoveOldBuckets(BootTime now) {
  const std::int64_t second = now.time_since_epoch() / kBucketDuration;
  const std::int64_t elapsed = second - current_second_;
  if (elapsed <= 0)
    return;
  const auto buckets = static_cast<std::int64_t>(kBuckets);
  for (std::int64_t step = 1; step <= std::min(elapsed, buckets); ++step) {
    Bucket& bucket =
        buckets_[static_cast<std::size_t>((current_second_ + step) % buckets)];
    requests_ -= bucket.requests;
    retries_ -= bucket.retries;
    bucket = {};
  }
  current_second_ = second;
}

void RetryBudget::RecordRequest(BootTime now) {
  RemoveOldBuckets(now);
  ++buckets_[static_cast<std::size_t>(current_second_) % kBuckets].requests;
  ++requests_;
}

std::optional<std::chrono::nanoseconds>
RetryBudget::TakeRetry(std::uint32_t attempt, BootTime now, BootTime deadline) {
  assert(attempt > 0);
  RemoveOldBuckets(now);
  const double allowed =
      std::max(options_.share * static_cast<double>(requests_),
               static_cast<double>(options_.minimum));
  if (static_cast<double>(retries_ + 1) > allowed) {
    ++refused_;
    return std::nullopt;
  }
  std::chrono::nanoseconds delay_limit = options_.first_delay;
  for (std::uint32_t i = 1; i < attempt && delay_limit < options_.max_delay;
       ++i)
    delay_limit *= 2;
  delay_limit = std::min(delay_limit, options_.max_delay);
  const std::chrono::nanoseconds delay(
      std::uniform_int_distribution<std::int64_t>(
          1, delay_limit.count())(random_));
  if (now + delay >= deadline)
    return std::nullopt;
  ++buckets_[static_cast<std::size_t>(current_second_) % kBuckets].retries;
  ++retries_;
  return delay;
}

}  // namespace pollenrudder
