// What this instance has learned about one upstream from its own requests.

#ifndef POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_
#define POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_

#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"
#include "dispatch/attempt_result.h"

namespace pollenrudder {

// Estimates how long an upstream takes and how many requests of this instance
// it can have in flight.
//
// The limit of requests in flight follows the answers: it grows while they
// arrive well within their aim and shrinks when they are late or rejected. So
// the instances that share an upstream find its room without messages.
class UpstreamEstimate {
 public:
  struct Options {
    // The estimate before the first answer.
    std::chrono::nanoseconds initial_latency = std::chrono::milliseconds(50);
    double initial_limit = 2;
    double max_limit = 8;
  };

  explicit UpstreamEstimate(const Options& options);

  void OnSent() { ++in_flight_; }
  // `aim` is the time within which the answer has its full value.
  void OnEnded(AttemptResult result,
               std::chrono::nanoseconds elapsed,
               std::chrono::nanoseconds latency_objective,
               BootTime now);

  // Returns whether one more request may be sent now. An upstream that failed
  // gets one request at a time, and those only after a pause.
  bool HasCapacity(BootTime now) const;
  // Returns whether the upstream seems to be down: nothing reached it lately.
  bool IsAvoided(BootTime now) const { return now < avoid_until_; }
  // The time after which an answer to one more request is expected.
  std::chrono::nanoseconds ExpectedLatency(BootTime now) const;
  // The part of the recent requests that failed or were rejected, 0 to 1.
  double failure_share() const { return failure_share_; }

  std::uint32_t in_flight() const { return in_flight_; }
  double limit() const { return limit_; }
  void set_max_limit(double limit);
  // The upstream works at half speed until then, as the list says.
  void set_cold_until(BootTime time) { cold_until_ = time; }

 private:
  void Shrink(BootTime now);

  Options options_;
  std::uint32_t in_flight_ = 0;
  double limit_;
  double latency_ns_;
  double failure_share_ = 0;
  std::uint32_t failures_in_row_ = 0;
  BootTime avoid_until_{};
  BootTime last_answer_{};
  BootTime last_shrink_{};
  BootTime cold_until_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_UPSTREAM_ESTIMATE_H_
