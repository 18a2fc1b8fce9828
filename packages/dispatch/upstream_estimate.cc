// UpstreamEstimate: smoothed latency, failures and a limit that follows
// answers.

#include "dispatch/upstream_estimate.h"

#include <algorithm>
#include <cassert>

namespace pollenrudder {
namespace {

// Weights of a new sample. An answer time varies by itself, so that a single
// one says little; a run of failures must show within a few requests.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.15;
// The limit grows while answers take less than this part of their aim, and
// shrinks above kLateShare: between them it stays.
constexpr double kEarlyShare = 0.6;
constexpr double kLateShare = 1.0;
constexpr double kShrinkFactor = 0.75;
constexpr double kMinLimit = 1;
// Pauses after failures in a row, doubled with each one.
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kMaxPause{1600};
// An estimate without a new answer falls to half in this time, so that an
// upstream that was slow is tried again.
constexpr std::chrono::seconds kForgetHalf{3};
constexpr double kColdFactor = 2;

}  // namespace

UpstreamEstimate::UpstreamEstimate(const Options& options)
    : options_(options),
      limit_(std::min(options.initial_limit, options.max_limit)),
      latency_ns_(static_cast<double>(options.initial_latency.count())) {}

void UpstreamEstimate::OnEnded(AttemptResult result,
                               std::chrono::nanoseconds elapsed,
                               std::chrono::nanoseconds latency_objective,
                               BootTime now) {
  assert(in_flight_ > 0);
  --in_flight_;
  if (result == AttemptResult::kCanceled)
    return;
  const bool failed =
      result != AttemptResult::kAnswered && result != AttemptResult::kMisrouted;
  failure_share_ += kFailureWeight * ((failed ? 1 : 0) - failure_share_);
  switch (result) {
    case AttemptResult::kAnswered:
    case AttemptResult::kErrorResponse: {
      failures_in_row_ = 0;
      avoid_until_ = {};
      const auto sample = static_cast<double>(elapsed.count());
      latency_ns_ += kLatencyWeight * (sample - latency_ns_);
      last_answer_ = now;
      if (elapsed < latency_objective * kEarlyShare)
        limit_ = std::min(limit_ + 1 / limit_, options_.max_limit);
      else if (elapsed > latency_objective * kLateShare)
        Shrink(now);
      return;
    }
    case AttemptResult::kShed:
      Shrink(now);
      return;
    case AttemptResult::kMisrouted:
    case AttemptResult::kReplaced:
    case AttemptResult::kCanceled:
      return;
    case AttemptResult::kTimedOut:
      latency_ns_ +=
          kLatencyWeight * (static_cast<double>(elapsed.count()) - latency_ns_);
      Shrink(now);
      [[fallthrough]];
    case AttemptResult::kUnreachable:
    case AttemptResult::kLost:
      ++failures_in_row_;
      break;
  }
  // One lost answer is common on a sound upstream.
  if (result != AttemptResult::kUnreachable && failures_in_row_ < 2)
    return;
  const auto pause =
      kFirstPause * (1U << std::min<std::uint32_t>(failures_in_row_ - 1, 4));
  avoid_until_ = now + std::min<std::chrono::milliseconds>(pause, kMaxPause);
}

bool UpstreamEstimate::HasCapacity(BootTime now) const {
  if (IsAvoided(now))
    return false;
  if (failures_in_row_ > 1)
    return in_flight_ == 0;
  return in_flight_ + 1 <= limit_ + 0.01;
}

std::chrono::nanoseconds UpstreamEstimate::ExpectedLatency(BootTime now) const {
  double latency = latency_ns_;
  if (last_answer_ != BootTime{} && in_flight_ == 0) {
    const std::chrono::duration<double> age = now - last_answer_;
    const auto first = static_cast<double>(options_.initial_latency.count());
    const double kept =
        kForgetHalf.count() / (kForgetHalf.count() + age.count());
    if (latency > first)
      latency = first + (latency - first) * kept;
  }
  if (now < cold_until_)
    latency *= kColdFactor;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(latency));
}

void UpstreamEstimate::set_max_limit(double limit) {
  options_.max_limit = std::max(limit, kMinLimit);
  limit_ = std::min(limit_, options_.max_limit);
}

void UpstreamEstimate::Shrink(BootTime now) {
  // Several late answers belong to one queue; it shrinks the limit once.
  const std::chrono::nanoseconds pause(static_cast<std::int64_t>(latency_ns_));
  if (now - last_shrink_ < pause)
    return;
  last_shrink_ = now;
  limit_ = std::max(kMinLimit, limit_ * kShrinkFactor);
}

}  // namespace pollenrudder
