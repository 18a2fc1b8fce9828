// The promises that this instance granted to leaders as a voter.

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

// With a promise, this instance commits itself to claim no term of the upstream
// until the promise expires. Promises are kept in memory only: a restarted
// instance has a new identity, under which it is not a voter.
//
// Use: check MayPromise() for each requested term, then call Grant(). Claim an
// upstream only after HasExpired() returns true.
class VoterPromises {
 public:
  // What the voter knows about the upstream of a request.
  struct View {
    // The newest term that the voter has read; null if it has read none.
    const TermState* current = nullptr;
    // ClaimTracker::HasUnresolvedClaim() of the upstream.
    bool claim_unresolved = false;
    // Whether a section that the voter has read declares the requesting leader
    // or its availability zone lost.
    bool leader_declared_lost = false;
  };

  explicit VoterPromises(const LeaseDurations& durations);

  // Whether to grant `leader` a promise for the term `requested`.
  static bool MayPromise(const std::string& leader,
                         const PromisedTerm& requested,
                         const View& view);

  // Records a promise that starts at `now`. `duration` is measured on the clock
  // of the leader; the drift margin is added to it.
  void Grant(const std::string& upstream,
             std::chrono::nanoseconds duration,
             BootTime now);

  // When the last promise for the upstream expires on every clock; empty if
  // there was none.
  std::optional<BootTime> ExpiryTime(const std::string& upstream) const;

  // Whether no promise for the upstream is valid at `now`.
  bool HasExpired(const std::string& upstream, BootTime now) const;

  // Called after the upstream was retired.
  void RemoveUpstream(const std::string& upstream);

 private:
  const LeaseDurations durations_;
  std::map<std::string, BootTime> expiry_times_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_VOTER_PROMISES_H_
