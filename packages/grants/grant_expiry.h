// What is known about how long an upstream may still use a grant.

#ifndef POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_
#define POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_

#include <algorithm>

#include "base/boot_clock.h"

namespace pollenrudder {

// The hold of one upstream on one range of keys. A release ends the grants that
// were answered; one without an answer may still take effect later, and counts
// until the last moment at which its time can end.
class GrantExpiry {
 public:
  // A call may wait for others before it is sent, so that nothing is known of
  // its end before it is answered or given up.
  void OnSent() { pending_ = true; }
  void OnAnswered(BootTime end) {
    pending_ = false;
    held_until_ = std::max(held_until_, end);
  }
  void OnUnanswered(BootTime latest_end) {
    pending_ = false;
    unanswered_until_ = std::max(unanswered_until_, latest_end);
  }
  void OnNotSent() { pending_ = false; }
  void OnReleased() { held_until_ = {}; }
  // The upstream does not exist any more, so that no grant can be in effect.
  void OnIncarnationEnded() { *this = {}; }
  // Counts grants that another instance may have sent.
  void AssumeUnansweredUntil(BootTime end) {
    assumed_until_ = std::max(assumed_until_, end);
  }
  // The upstream has seen a higher token than those of the other instance, so
  // that it refuses what is still on its way.
  void OnFenced() { assumed_until_ = {}; }
  // For the part of the above that a release does end.
  void AssumeAnsweredUntil(BootTime end) {
    held_until_ = std::max(held_until_, end);
  }

  // The time until which a grant may be in effect although it was released.
  BootTime unanswered_end() const {
    return std::max(unanswered_until_, assumed_until_);
  }
  bool HasCallPending() const { return pending_; }
  // The time after which the upstream cannot use the grant any more.
  BootTime end() const {
    return pending_ ? BootTime::max() : std::max(held_until_, unanswered_end());
  }

 private:
  BootTime held_until_{};
  BootTime unanswered_until_{};
  // The same for grants of other instances.
  BootTime assumed_until_{};
  // A grant waits to be sent or to be answered.
  bool pending_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_EXPIRY_H_
