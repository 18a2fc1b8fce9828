// Tracks until when an upstream may use its grants of a range of keys.

#ifndef POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_
#define POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_

#include <algorithm>

#include "base/boot_clock.h"

namespace pollenrudder {

// The grants that one upstream may have on one range of keys. A release ends
// the grants whose responses arrived. An unanswered grant may still take effect
// after the release, so it counts until the latest time at which it can expire.
//
// The time of a grant runs from its arrival, and a call that was given up may
// still be queued in a full link. The answer to a later call over the same path
// shows that it has arrived; without one, the longest delivery time is assumed.
class GrantExpiry {
 public:
  // The call may be queued before it is sent, so its expiry is unknown until it
  // is answered or times out.
  void OnSent() {
    pending_ = true;
    incarnation_ended_ = false;
  }
  void OnAnswered(BootTime end) {
    pending_ = false;
    answered_until_ = std::max(answered_until_, end);
  }
  // The call was given up at `time`. If it arrived by then, it expires at
  // `earliest_end`; it expires at `latest_end` at the latest.
  void OnUnanswered(BootTime time, BootTime earliest_end, BootTime latest_end) {
    pending_ = false;
    undelivered_since_ = time;
    unanswered_until_ = std::max(unanswered_until_, earliest_end);
    undelivered_until_ = std::max(undelivered_until_, latest_end);
  }
  // Calls that were sent before `sent_before` have arrived, and expire at `end`
  // at the latest.
  void OnDelivered(BootTime sent_before, BootTime end) {
    if (undelivered_since_ == BootTime{} || sent_before < undelivered_since_)
      return;
    undelivered_since_ = {};
    unanswered_until_ =
        std::max(unanswered_until_, std::min(end, undelivered_until_));
    undelivered_until_ = {};
  }
  void OnNotSent() { pending_ = false; }
  void OnReleased() { answered_until_ = {}; }
  // The upstream process no longer exists, so no grant can be in effect.
  void OnIncarnationEnded() {
    *this = {};
    incarnation_ended_ = true;
  }
  // Accounts for grants that another instance may have sent and that may not
  // have arrived yet.
  void AssumeUnansweredUntil(BootTime end) {
    assumed_until_ = std::max(assumed_until_, end);
  }
  // The upstream has accepted a higher token than those of the other instances,
  // so it rejects their grants that have not arrived yet.
  void OnFenced() { assumed_until_ = {}; }
  // Accounts for grants of other instances that a release ends.
  void AssumeAnsweredUntil(BootTime end) {
    answered_until_ = std::max(answered_until_, end);
  }

  // The time until which a grant may be in effect even after a release.
  BootTime unanswered_end() const {
    return std::max({unanswered_until_, undelivered_until_, assumed_until_});
  }
  bool HasCallPending() const { return pending_; }
  // Whether the upstream process is known to have ended.
  bool HasIncarnationEnded() const { return incarnation_ended_; }
  // Whether a call that was given up may still be under way.
  bool IsUndelivered() const { return undelivered_since_ != BootTime{}; }
  // The time after which the upstream can no longer use a grant.
  BootTime end() const {
    return pending_ ? BootTime::max()
                    : std::max(answered_until_, unanswered_end());
  }

 private:
  BootTime answered_until_{};
  BootTime unanswered_until_{};
  // Set while a call that was given up may still be under way.
  BootTime undelivered_since_{};
  BootTime undelivered_until_{};
  // As unanswered_until_, for grants of other instances.
  BootTime assumed_until_{};
  // A grant is queued or awaits its response.
  bool pending_ = false;
  bool incarnation_ended_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_
