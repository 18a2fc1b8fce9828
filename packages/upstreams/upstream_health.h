// Health state of one upstream.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_HEALTH_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

// Decides from connection failures, responses and probes whether an upstream is
// suspect or lost. Probes cost the upstream time, so one is due only after a
// failed connection, or when requests are in flight and no response arrived
// within `response_timeout`. The class contains no I/O: UpstreamLeader sends
// the probes and reports their results.
class UpstreamHealth {
 public:
  enum class State { kReachable, kSuspect, kLost };

  struct Options {
    // Maximum time without any response while requests are in flight.
    std::chrono::nanoseconds response_timeout = std::chrono::milliseconds(200);
    std::chrono::nanoseconds probe_timeout = std::chrono::milliseconds(150);
    std::chrono::nanoseconds probe_retry_delay = std::chrono::milliseconds(50);
    // Interval of the probes that detect the recovery of a lost upstream.
    std::chrono::nanoseconds lost_probe_interval =
        std::chrono::milliseconds(500);
    // Number of consecutive failed probes after which the upstream is lost. One
    // failure could be a lost packet; three with their timeouts take at most
    // 0.65 s.
    std::uint32_t failures_to_lost = 3;
  };

  explicit UpstreamHealth(const Options& options) : options_(options) {}

  // A connection was refused, reset or timed out.
  void OnConnectionFailed(BootTime now);
  void OnProbeSent(BootTime now);
  void OnProbeSucceeded(BootTime now);
  void OnProbeFailed(BootTime now);
  // Any response of the upstream was received.
  void OnResponse(BootTime now);
  // A request was sent while no other was in flight.
  void OnRequestsStarted(BootTime now) { last_activity_ = now; }

  // Whether a probe should be sent now.
  bool IsProbeDue(bool requests_out, BootTime now) const;
  // Whether the probe in flight has exceeded its timeout.
  bool IsProbeOverdue(BootTime now) const;

  State state() const { return state_; }
  bool probing() const { return probing_; }

 private:
  const Options options_;
  State state_ = State::kReachable;
  bool probing_ = false;
  std::uint32_t failures_ = 0;
  BootTime last_activity_;
  BootTime probe_sent_at_;
  BootTime next_probe_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_HEALTH_H_
