// Implementation of UpstreamHealth.

#include "upstreams/upstream_health.h"

namespace pollenrudder {

void UpstreamHealth::OnConnectionFailed(BootTime now) {
  if (state_ != State::kReachable)
    return;
  state_ = State::kSuspect;
  failures_ = 0;
  next_probe_ = now;
}

void UpstreamHealth::OnProbeSent(BootTime now) {
  probing_ = true;
  probe_sent_at_ = now;
}

void UpstreamHealth::OnProbeSucceeded(BootTime now) {
  probing_ = false;
  OnResponse(now);
}

void UpstreamHealth::OnProbeFailed(BootTime now) {
  probing_ = false;
  ++failures_;
  if (state_ != State::kLost) {
    state_ =
        failures_ >= options_.failures_to_lost ? State::kLost : State::kSuspect;
  }
  next_probe_ = now + (state_ == State::kLost ? options_.lost_probe_interval
                                              : options_.probe_retry_delay);
}

void UpstreamHealth::OnResponse(BootTime now) {
  state_ = State::kReachable;
  failures_ = 0;
  last_activity_ = now;
}

bool UpstreamHealth::IsProbeDue(bool requests_out, BootTime now) const {
  if (probing_)
    return false;
  if (state_ != State::kReachable)
    return now >= next_probe_;
  return requests_out && now - last_activity_ >= options_.response_timeout;
}

bool UpstreamHealth::IsProbeOverdue(BootTime now) const {
  return probing_ && now - probe_sent_at_ >= options_.probe_timeout;
}

}  // namespace pollenrudder
