// RetryBudget.

#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace pollenrudder {

RetryBudget::RetryBudget(const Options& options, std::uint64_t seed)
    : options_(options), random_(seed) {
  assert(options.share >= 0);
  assert(options.first_delay.count() > 0);
}

void RetryBudget::Advance(BootTime now) {
  const std::int64_t second = now.time_since_epoch() / kBucket;
  const std::int64_t passed = second - current_;
  if (passed <= 0)
    return;
  const auto buckets = static_cast<std::int64_t>(kBuckets);
  for (std::int64_t step = 1; step <= std::min(passed, buckets); ++step) {
    Bucket& bucket =
        buckets_[static_cast<std::size_t>((current_ + step) % buckets)];
    requests_ -= bucket.requests;
    retries_ -= bucket.retries;
    bucket = {};
  }
  current_ = second;
}

void RetryBudget::RecordRequest(BootTime now) {
  Advance(now);
  ++buckets_[static_cast<std::size_t>(current_) % kBuckets].requests;
  ++requests_;
}

std::optional<std::chrono::nanoseconds>
RetryBudget::TakeRetry(std::uint32_t attempt, BootTime now, BootTime deadline) {
  assert(attempt > 0);
  Advance(now);
  const double allowed =
      std::max(options_.share * static_cast<double>(requests_),
               static_cast<double>(options_.minimum));
  if (static_cast<double>(retries_ + 1) > allowed) {
    ++refused_;
    return std::nullopt;
  }
  std::chrono::nanoseconds longest = options_.first_delay;
  for (std::uint32_t i = 1; i < attempt && longest < options_.max_delay; ++i)
    longest *= 2;
  longest = std::min(longest, options_.max_delay);
  const std::chrono::nanoseconds delay(
      std::uniform_int_distribution<std::int64_t>(1, longest.count())(random_));
  if (now + delay >= deadline)
    return std::nullopt;
  ++buckets_[static_cast<std::size_t>(current_) % kBuckets].retries;
  ++retries_;
  return delay;
}

}  // namespace pollenrudder
