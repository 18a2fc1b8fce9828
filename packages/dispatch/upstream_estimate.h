// Estimates the latency and capacity of one upstream from the requests of this
// instance.

#ifndef POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_
#define POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"
#include "dispatch/attempt_result.h"

namespace pollenrudder {

// Estimates the latency of an upstream and how many requests of this instance
// it can have in flight.
//
// The limit of requests in flight grows while responses arrive well within the
// latency objective, and shrinks when they are late or requests are rejected.
// In this way, instances that share an upstream find their part of its capacity
// without coordination. If that part is less than one request at a time, as at
// the owner of a hot key that hundreds of instances send to, the limit is below
// 1: requests are sent one by one, with a pause between them.
class UpstreamEstimate {
 public:
  struct Options {
    // The estimate before the first response.
    std::chrono::nanoseconds initial_latency = std::chrono::milliseconds(50);
    double initial_limit = 2;
    double max_limit = 8;
    // The part of one request at a time that is left for each instance if all
    // of them send to the upstream; at most 1.
    double min_limit = 1;
  };

  explicit UpstreamEstimate(const Options& options);

  void OnSent() { ++in_flight_; }
  // A response within `latency_objective` has its full value.
  void OnEnded(AttemptResult result,
               std::chrono::nanoseconds elapsed,
               std::chrono::nanoseconds latency_objective,
               BootTime now);

  // The upstream wants no requests before `until`. After that, requests are
  // sent one at a time until the limit has grown again.
  void OnPauseRequested(BootTime until);

  // Returns whether one more request may be sent now. After consecutive
  // failures, the upstream gets no requests while it is ejected, and then one
  // at a time.
  bool HasCapacity(BootTime now) const;
  // Returns whether the upstream is ejected because it seems to be down.
  bool IsEjected(BootTime now) const { return now < ejected_until_; }
  // Returns the earliest time at which the next request may be sent because of
  // a pause between requests, or one that the upstream requested; HasCapacity()
  // includes both.
  BootTime paused_until() const {
    return std::max(paused_until_, requested_pause_until_);
  }
  BootTime requested_pause_until() const { return requested_pause_until_; }
  // Returns the expected time between two requests.
  std::chrono::nanoseconds ExpectedInterval(BootTime now) const;
  // Returns the expected latency of one more request.
  std::chrono::nanoseconds ExpectedLatency(BootTime now) const;
  // The fraction of the recent requests that failed or were rejected, 0 to 1.
  double failure_share() const { return failure_share_; }

  std::uint32_t in_flight() const { return in_flight_; }
  double limit() const { return limit_; }
  void set_max_limit(double limit);
  void set_min_limit(double limit) { options_.min_limit = limit; }
  // Until then the upstream runs at half speed, according to the instance list.
  void set_cold_until(BootTime time) { cold_until_ = time; }

 private:
  void Shrink(BootTime now);
  // After a rejection while this instance had no other request in flight.
  void Pause(BootTime now);

  Options options_;
  std::uint32_t in_flight_ = 0;
  double limit_;
  double latency_ns_;
  double failure_share_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  BootTime ejected_until_{};
  BootTime last_response_{};
  BootTime last_shrink_{};
  BootTime paused_until_{};
  BootTime requested_pause_until_{};
  BootTime cold_until_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_
