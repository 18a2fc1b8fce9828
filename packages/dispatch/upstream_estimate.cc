// UpstreamEstimate: smoothed latency, failure share and an adaptive concurrency
// limit.

#include "dispatch/upstream_estimate.h"

#include <algorithm>
#include <cassert>

namespace pollenrudder {
namespace {

// Weights of a new sample. Latencies vary, so a single one has little weight;
// consecutive failures must show within a few requests.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.15;
// The limit grows while latencies are below kEarlyShare of the latency
// objective, and shrinks while they are above kLateShare of it.
constexpr double kEarlyShare = 0.6;
constexpr double kLateShare = 1.0;
constexpr double kShrinkFactor = 0.75;
// Below this part of one request at a time, an instance pauses between requests
// after a rejection. With fewer instances a place soon becomes free for the
// next request.
constexpr double kMaxPausedLimit = 0.25;
// The pause after a rejection, as a fraction of the latency, at the limit
// kMaxPausedLimit. It is inversely proportional to the limit.
constexpr double kBasePauseShare = 1;
// Ejection times after consecutive failures, doubled with each one.
constexpr std::chrono::milliseconds kBaseEjection{100};
constexpr std::chrono::milliseconds kMaxEjection{1600};
// An estimate without a new response decays to half of its excess over the
// initial latency in this time, so that an upstream that was slow is tried
// again.
constexpr std::chrono::seconds kEstimateHalfTime{3};
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
  if (result == AttemptResult::kCanceled || result == AttemptResult::kNotSent)
    return;
  if (result == AttemptResult::kOutpaced) {
    // Otherwise an upstream whose slow requests are all hedged would pass for a
    // fast one.
    const auto sample = static_cast<double>(elapsed.count());
    latency_ns_ += kLatencyWeight * std::max(0.0, sample - latency_ns_);
    last_response_ = now;
    if (elapsed > latency_objective * kLateShare)
      Shrink(now);
    return;
  }
  const bool failed =
      result != AttemptResult::kAnswered && result != AttemptResult::kMisrouted;
  failure_share_ += kFailureWeight * ((failed ? 1 : 0) - failure_share_);
  switch (result) {
    case AttemptResult::kAnswered:
    case AttemptResult::kErrorResponse: {
      consecutive_failures_ = 0;
      ejected_until_ = {};
      const auto sample = static_cast<double>(elapsed.count());
      latency_ns_ += kLatencyWeight * (sample - latency_ns_);
      last_response_ = now;
      if (elapsed < latency_objective * kEarlyShare)
        limit_ = std::min(limit_ < 1 ? 2 * limit_ : limit_ + 1 / limit_,
                          options_.max_limit);
      else if (elapsed > latency_objective * kLateShare)
        Shrink(now);
      return;
    }
    case AttemptResult::kShed:
      if (in_flight_ == 0 && options_.min_limit <= kMaxPausedLimit)
        Pause(now);
      else
        Shrink(now);
      return;
    case AttemptResult::kMisrouted:
    case AttemptResult::kReplaced:
    case AttemptResult::kCanceled:
    case AttemptResult::kNotSent:
    case AttemptResult::kOutpaced:
      return;
    case AttemptResult::kTimedOut:
      latency_ns_ +=
          kLatencyWeight * (static_cast<double>(elapsed.count()) - latency_ns_);
      Shrink(now);
      [[fallthrough]];
    case AttemptResult::kUnreachable:
    case AttemptResult::kLost:
      ++consecutive_failures_;
      break;
  }
  // A single lost response is common with a healthy upstream.
  if (result != AttemptResult::kUnreachable && consecutive_failures_ < 2)
    return;
  const auto ejection = kBaseEjection * (1U << std::min<std::uint32_t>(
                                             consecutive_failures_ - 1, 4));
  ejected_until_ =
      now + std::min<std::chrono::milliseconds>(ejection, kMaxEjection);
}

void UpstreamEstimate::OnPauseRequested(BootTime until) {
  requested_pause_until_ = std::max(requested_pause_until_, until);
  // All requests that wait for the end of the pause must not be sent at once.
  limit_ = std::min(limit_, 1.0);
}

bool UpstreamEstimate::HasCapacity(BootTime now) const {
  if (IsEjected(now) || now < paused_until())
    return false;
  if (consecutive_failures_ > 1)
    return in_flight_ == 0;
  return in_flight_ + 1 <= std::max(limit_, 1.0) + 0.01;
}

std::chrono::nanoseconds UpstreamEstimate::ExpectedLatency(BootTime now) const {
  double latency = latency_ns_;
  if (last_response_ != BootTime{} && in_flight_ == 0) {
    const std::chrono::duration<double> age = now - last_response_;
    const auto initial = static_cast<double>(options_.initial_latency.count());
    const double remaining =
        kEstimateHalfTime.count() / (kEstimateHalfTime.count() + age.count());
    if (latency > initial)
      latency = initial + (latency - initial) * remaining;
  }
  if (now < cold_until_)
    latency *= kColdFactor;
  return std::chrono::nanoseconds(static_cast<std::int64_t>(latency));
}

std::chrono::nanoseconds UpstreamEstimate::ExpectedInterval(
    BootTime now) const {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(ExpectedLatency(now).count()) / limit_));
}

void UpstreamEstimate::set_max_limit(double limit) {
  options_.max_limit = std::max(limit, 1.0);
  limit_ = std::min(limit_, options_.max_limit);
}

void UpstreamEstimate::Shrink(BootTime now) {
  // Several late responses usually come from one queue, so they shrink the
  // limit only once.
  const std::chrono::nanoseconds min_interval(
      static_cast<std::int64_t>(latency_ns_));
  if (now - last_shrink_ < min_interval)
    return;
  last_shrink_ = now;
  limit_ = std::max(1.0, limit_ * kShrinkFactor);
}

void UpstreamEstimate::Pause(BootTime now) {
  limit_ = std::clamp(limit_ / 2, options_.min_limit, kMaxPausedLimit);
  const double pause =
      latency_ns_ * kBasePauseShare * (kMaxPausedLimit / limit_);
  paused_until_ =
      now + std::chrono::nanoseconds(static_cast<std::int64_t>(pause));
}

}  // namespace pollenrudder
