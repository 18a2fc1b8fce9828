// VoterPromises: the promises that this instance has made as a voter.

#ifndef POLLENRUDDER_OWNERSHIP_VOTER_PROMISES_H_
#define POLLENRUDDER_OWNERSHIP_VOTER_PROMISES_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "base/boot_clock.h"
#include "ownership/controller_input.h"
#include "ownership/lease_durations.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// A promise says: this instance claims no term of the upstream until the
// promise has run out. It lives in memory only. A restarted instance has a new
// identity and is not a voter, so nothing is lost with it.
//
// Use: ask MayPromise() for each requested term, then Grant(). Before a claim,
// ask HasExpired().
class VoterPromises {
 public:
  // What the voter knows about the upstream of a request.
  struct View {
    // The current term that the voter has read; null if it has read none.
    const TermState* current = nullptr;
    // ClaimTracker::unresolved() of the upstream.
    bool claim_unresolved = false;
    // Whether a section that the voter has read declares the asking leader or
    // its zone lost.
    bool leader_declared_lost = false;
  };

  explicit VoterPromises(const LeaseDurations& durations);

  // Whether `leader` may have a promise for `requested`.
  static bool MayPromise(const std::string& leader,
                         const PromisedTerm& requested,
                         const View& view);

  // Makes a promise from `now` on. `duration` is on the leader's clock.
  void Grant(const std::string& upstream,
             std::chrono::nanoseconds duration,
             BootTime now);

  // When the promise for the upstream has run out on every clock; empty if
  // there was none.
  std::optional<BootTime> ExpiryTime(const std::string& upstream) const;

  bool HasExpired(const std::string& upstream, BootTime now) const;

  // Forgets the upstream after it was retired.
  void RemoveUpstream(const std::string& upstream);

 private:
  const LeaseDurations durations_;
  std::map<std::string, BootTime> ends_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_VOTER_PROMISES_H_
