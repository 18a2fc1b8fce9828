// HedgePolicy: histograms of the latencies, and smoothed shares that suspend
// hedging.

#include "dispatch/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace pollenrudder {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr nanoseconds kLowestLatency = microseconds(250);
// Below this, the delays of the instance's own event loop count for more than
// those of the upstream.
constexpr nanoseconds kMinDelay = milliseconds(10);
// A hedge is expected to take the median: before this multiple of it, the first
// send is likely to be the faster one.
constexpr double kMinDelayToMedian = 1.5;
// The quantile of the latencies at which requests are hedged, whatever share is
// allowed. Above 0.99, an instance has too few samples.
constexpr double kMinQuantile = 0.9;
constexpr double kMaxQuantile = 0.99;
// Samples above the quantile that are needed to estimate it.
constexpr double kSamplesAboveQuantile = 2;
constexpr std::uint32_t kMinMedianSamples = 10;
constexpr milliseconds kEstimateInterval{250};
// Weights of one request. Three rejections among about 20 requests suspend
// hedging.
constexpr double kRejectionWeight = 0.05;
constexpr double kSlowWeight = 0.1;
// Hedging is suspended above the upper shares and resumed below the lower ones.
// Machines that are shared with others are slow for a fifth of the time, which
// is no overload.
constexpr double kMaxRejectedShare = 0.1;
constexpr double kResumeRejectedShare = 0.03;
constexpr double kMaxSlowShare = 0.6;
constexpr double kResumeSlowShare = 0.3;
// A request took much longer than usual above this multiple of the median.
constexpr double kSlowFactor = 2;

nanoseconds Scale(nanoseconds duration, double factor) {
  return nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

HedgePolicy::HedgePolicy(double max_share)
    : max_share_(max_share),
      quantile_(std::clamp(1 - max_share, kMinQuantile, kMaxQuantile)) {}

void HedgePolicy::RecordRequest(BootTime now) {
  Advance(now);
  ++current_.requests;
}

void HedgePolicy::RecordLatency(nanoseconds latency, BootTime now) {
  Advance(now);
  const double doublings =
      std::log2(static_cast<double>(std::max(latency, kLowestLatency).count()) /
                static_cast<double>(kLowestLatency.count()));
  const auto bucket = static_cast<std::size_t>(doublings * kBucketsPerDoubling);
  ++current_.latencies[std::min(bucket, kBuckets - 1)];
  ++current_.samples;
  rejected_share_ -= kRejectionWeight * rejected_share_;
  const bool is_slow = usual_latency_ > nanoseconds(0) &&
                       latency > Scale(usual_latency_, kSlowFactor);
  slow_share_ += kSlowWeight * ((is_slow ? 1 : 0) - slow_share_);
  UpdateSuspension();
}

void HedgePolicy::RecordRejection(BootTime now) {
  Advance(now);
  rejected_share_ += kRejectionWeight * (1 - rejected_share_);
  UpdateSuspension();
}

std::optional<nanoseconds> HedgePolicy::Delay(BootTime now) {
  Advance(now);
  if (suspended_)
    return std::nullopt;
  return delay_;
}

bool HedgePolicy::HasCapacity(BootTime now) {
  Advance(now);
  return !suspended_ &&
         current_.hedges + previous_.hedges + 1 <=
             max_share_ * (current_.requests + previous_.requests);
}

void HedgePolicy::RecordHedge(BootTime now) {
  Advance(now);
  ++current_.hedges;
}

void HedgePolicy::Advance(BootTime now) {
  if (now >= current_since_ + kHalfWindow) {
    const bool is_adjacent = now < current_since_ + 2 * kHalfWindow;
    previous_ = is_adjacent ? current_ : HalfWindow();
    current_ = HalfWindow();
    current_since_ = is_adjacent ? current_since_ + kHalfWindow : now;
    medians_[next_median_] =
        previous_.samples >= kMinMedianSamples ? Quantile(0.5) : nanoseconds(0);
    next_median_ = (next_median_ + 1) % kMedians;
  }
  if (now >= estimated_at_ + kEstimateInterval)
    Estimate(now);
}

void HedgePolicy::Estimate(BootTime now) {
  estimated_at_ = now;
  const std::uint32_t samples = current_.samples + previous_.samples;
  delay_.reset();
  usual_latency_ = nanoseconds(0);
  for (const nanoseconds median : medians_) {
    if (median > nanoseconds(0) &&
        (usual_latency_ == nanoseconds(0) || median < usual_latency_))
      usual_latency_ = median;
  }
  if (samples < kMinMedianSamples)
    return;
  const nanoseconds median = Quantile(0.5);
  if (usual_latency_ == nanoseconds(0) || median < usual_latency_)
    usual_latency_ = median;
  if (samples * (1 - quantile_) < kSamplesAboveQuantile)
    return;
  delay_ = std::max(
      {Quantile(quantile_), Scale(median, kMinDelayToMedian), kMinDelay});
}

nanoseconds HedgePolicy::Quantile(double quantile) const {
  const double rank = quantile * (current_.samples + previous_.samples);
  std::uint32_t below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets) {
    below += current_.latencies[bucket] + previous_.latencies[bucket];
    if (below >= rank)
      break;
    ++bucket;
  }
  // The upper end of the bucket.
  return Scale(kLowestLatency, std::exp2(static_cast<double>(bucket + 1) /
                                         kBucketsPerDoubling));
}

void HedgePolicy::UpdateSuspension() {
  if (rejected_share_ > kMaxRejectedShare || slow_share_ > kMaxSlowShare)
    suspended_ = true;
  else if (rejected_share_ < kResumeRejectedShare &&
           slow_share_ < kResumeSlowShare)
    suspended_ = false;
}

}  // namespace pollenrudder
