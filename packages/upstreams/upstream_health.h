// Whether an upstream can be reached.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_HEALTH_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

// Decides from failures, answers and probes when an upstream is suspect and
// when it is lost. Probes cost the upstream time, so that one is due only
// after trouble: a connection that failed, or requests without any answer for
// `silence`. Without sockets; UpstreamLeader sends the probes.
class UpstreamHealth {
 public:
  enum class State { kReachable, kSuspect, kLost };

  struct Options {
    // Requests are out and nothing was answered for this long.
    std::chrono::nanoseconds response_timeout = std::chrono::milliseconds(200);
    std::chrono::nanoseconds probe_timeout = std::chrono::milliseconds(150);
    std::chrono::nanoseconds probe_retry_delay = std::chrono::milliseconds(50);
    // Interval of probes to a lost upstream, to see it come back.
    std::chrono::nanoseconds lost_probe_interval =
        std::chrono::milliseconds(500);
    // Probes without an answer in a row after which the upstream is lost. One
    // could be a lost packet; three with their timeouts take 0.65 s at most.
    std::uint32_t failures_to_lost = 3;
  };

  explicit UpstreamHealth(const Options& options) : options_(options) {}

  // A connection was refused, reset or timed out.
  void OnConnectionFailed(BootTime now);
  void OnProbeSent(BootTime now);
  void OnProbeSucceeded(BootTime now);
  void OnProbeFailed(BootTime now);
  // Any answer of the upstream.
  void OnResponse(BootTime now);
  // The first request went out on an upstream with nothing in flight.
  void OnRequestsStarted(BootTime now) { last_activity_ = now; }

  // Whether a probe should be sent now.
  bool IsProbeDue(bool requests_out, BootTime now) const;
  // Whether a probe that was sent has gone without an answer for too long.
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
