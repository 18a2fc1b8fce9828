// UpstreamHealth.

#include "upstreams/upstream_health.h"

namespace pollenrudder {

void UpstreamHealth::OnTrouble(BootTime now) {
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

void UpstreamHealth::OnProbeAnswered(BootTime now) {
  probing_ = false;
  OnAnswer(now);
}

void UpstreamHealth::OnProbeFailed(BootTime now) {
  probing_ = false;
  ++failures_;
  if (state_ != State::kLost) {
    state_ =
        failures_ >= options_.failures_to_lost ? State::kLost : State::kSuspect;
  }
  next_probe_ = now + (state_ == State::kLost ? options_.lost_pause
                                              : options_.probe_pause);
}

void UpstreamHealth::OnAnswer(BootTime now) {
  state_ = State::kReachable;
  failures_ = 0;
  last_heard_ = now;
}

bool UpstreamHealth::IsProbeDue(bool requests_out, BootTime now) const {
  if (probing_)
    return false;
  if (state_ != State::kReachable)
    return now >= next_probe_;
  return requests_out && now - last_heard_ >= options_.silence;
}

bool UpstreamHealth::IsProbeOverdue(BootTime now) const {
  return probing_ && now - probe_sent_at_ >= options_.probe_timeout;
}

}  // namespace pollenrudder
