// Decides after which time a request without a response is sent a second time.

#ifndef POLLENRUDDER_DISPATCH_HEDGE_POLICY_H_
#define POLLENRUDDER_DISPATCH_HEDGE_POLICY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/boot_clock.h"

namespace pollenrudder {

// The hedging of one service. A second send (a hedge) helps while a few
// upstreams are slow, and does harm while all are: it adds load to what is
// overloaded. The delay is therefore a high quantile of the recent latencies,
// so that only the slowest requests are hedged, and there are no hedges while
// requests are rejected or most of them take longer than usual.
//
//   policy.RecordRequest(now);               // for each request of a caller
//   policy.RecordLatency(latency, now);      // for each first send that ended
//   if (const auto delay = policy.Delay(now)) ...
//   if (policy.HasCapacity(now)) { policy.RecordHedge(now); ... }
class HedgePolicy {
 public:
  // Hedges are at most `max_share` of the requests, 0 to 1, over any window of
  // kHalfWindow to 2 x kHalfWindow.
  explicit HedgePolicy(double max_share);

  void RecordRequest(BootTime now);
  // `latency` is the time from a send to its response, or until the send was
  // canceled because a hedge was faster. Omitting these would lower the delay
  // with each hedge. Latencies of hedges are not recorded.
  void RecordLatency(std::chrono::nanoseconds latency, BootTime now);
  // An upstream rejected a request, or did not respond before a timeout.
  void RecordRejection(BootTime now);

  // Returns how long after its send a request is hedged; nothing if the
  // latencies are not known well enough, or while hedging is suspended.
  std::optional<std::chrono::nanoseconds> Delay(BootTime now);
  // Returns whether one more hedge stays within the share.
  bool HasCapacity(BootTime now);
  void RecordHedge(BootTime now);

  // Whether there are no hedges because the upstreams seem to be overloaded.
  bool is_suspended() const { return suspended_; }

  static constexpr std::chrono::seconds kHalfWindow{10};

 private:
  // Eight buckets for each doubling of the latency, so that a quantile is known
  // to 9 percent; from 0.25 ms to 16 s.
  static constexpr int kBucketsPerDoubling = 8;
  static constexpr std::size_t kBuckets = std::size_t{16} * kBucketsPerDoubling;
  // The number of half windows whose medians are remembered.
  static constexpr std::size_t kMedians = 6;

  struct HalfWindow {
    std::uint32_t requests = 0;
    std::uint32_t hedges = 0;
    std::uint32_t samples = 0;
    std::array<std::uint32_t, kBuckets> latencies{};
  };

  void Advance(BootTime now);
  // Updates the delay and the usual latency, which are used for a while.
  void Estimate(BootTime now);
  // Returns a quantile over both half windows.
  std::chrono::nanoseconds Quantile(double quantile) const;
  void UpdateSuspension();

  const double max_share_;
  const double quantile_;
  HalfWindow current_;
  HalfWindow previous_;
  BootTime current_since_{};
  // Of the last half windows; 0 for those with too few samples.
  std::array<std::chrono::nanoseconds, kMedians> medians_{};
  std::size_t next_median_ = 0;
  std::optional<std::chrono::nanoseconds> delay_;
  // The lowest of the medians; 0 while unknown.
  std::chrono::nanoseconds usual_latency_{0};
  BootTime estimated_at_{};
  // Smoothed shares of the requests that were rejected, and that took much
  // longer than usual.
  double rejected_share_ = 0;
  double slow_share_ = 0;
  bool suspended_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_HEDGE_POLICY_H_
