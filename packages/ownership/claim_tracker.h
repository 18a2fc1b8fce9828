// Timing and tracking of the claims that this instance sends.

#ifndef POLLENRUDDER_OWNERSHIP_CLAIM_TRACKER_H_
#define POLLENRUDDER_OWNERSHIP_CLAIM_TRACKER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/lease_durations.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// Determines when this instance may claim an upstream, and tracks each claim
// until its outcome is read on the log. A claim whose append was not confirmed
// may still reach the log later; while it is unresolved, this instance grants
// no promise for the upstream.
//
// Use: report every log read and every term that was read. When MayClaim()
// returns true, append the claim with RequiredWait() and call OnClaimSent().
// When TakeDueAbandon() returns an id, append an `abandon` record for it.
//
// Related classes: VoterPromises (the promise of this instance must have
// expired before it claims), LeaderLease (starts when its claim is read).
class ClaimTracker {
 public:
  // What is known about an upstream when a claim is considered.
  struct View {
    std::string upstream;
    // The current term; null if the upstream has none yet.
    const TermState* current = nullptr;
    // VoterPromises::ExpiryTime() of the upstream.
    std::optional<BootTime> own_promise_expiry;
    // When this instance first read that the upstream has no term, or that its
    // leader is declared lost. Empty if neither is the case.
    std::optional<BootTime> claimable_since;
    // The live instances of the upstream's availability zone. If
    // `claimable_since` is set, they claim in the order of their rank, before
    // instances of other zones.
    std::vector<std::string> zone_instances;
  };

  // Instances of one zone claim one after another at this interval. It exceeds
  // the time of an append and its read, so that the second instance reads the
  // claim of the first before it would send its own.
  static constexpr std::chrono::milliseconds kRankDelay{100};
  // An other-zone voter delays its claim by the isolation hold divided by this,
  // or by kMinOtherZoneDelay if that is longer. If the leader is only cut off,
  // the claim ends its lease as soon as it is connected again.
  static constexpr int kOtherZoneDelayDivisor = 10;
  static constexpr std::chrono::milliseconds kMinOtherZoneDelay{2000};
  // A claim that stays unresolved this long is abandoned. The `abandon` record
  // is sent again at the same interval.
  static constexpr std::chrono::milliseconds kAbandonAfter{1000};

  ClaimTracker(std::string instance,
               std::string zone,
               const LeaseDurations& durations);

  // Returns the wait that a claim that replaces `replaced` must contain,
  // including the drift margin. Replay ignores a claim with a shorter wait.
  static std::chrono::nanoseconds RequiredWait(const TermState& replaced,
                                               TermKind kind,
                                               const std::string& zone,
                                               const LeaseDurations& durations);

  // The kind of term that a claim proposes.
  static TermKind ClaimKind(const View& view);

  // Whether `current` lists this instance as a voter.
  bool IsVoter(const TermState& current) const;

  // Reports a log read that reached the end of the log and started at or after
  // `proof_time`.
  void OnLogRead(BootTime proof_time, BootTime now);
  void OnLogReadFailed();

  // Reports a new current term of an upstream.
  void OnTermRead(const TermState& current, BootTime now);

  // When this instance claims the upstream if nothing changes until then; empty
  // if it may not claim.
  std::optional<BootTime> ClaimTime(const View& view) const;

  // Whether to claim now. Requires a recent log read, because a claim that is
  // sent while the log is unavailable stays unresolved.
  bool MayClaim(const View& view, BootTime now) const;

  // Whether a claim is due except for the recent log read.
  bool NeedsLogRead(const View& view, BootTime now) const;

  void OnClaimSent(const std::string& upstream,
                   LogOffset previous,
                   const std::string& record_id,
                   BootTime now);

  // Reports that a record of this instance was read, applied or ignored.
  void OnClaimRead(const std::string& record_id);
  // Reports that the `abandon` record of a claim was read. Replay ignores the
  // claim if it appears after that record.
  void OnAbandonRead(const std::string& record_id);

  // Returns the id of the claim to abandon now, if any, and restarts the
  // interval of kAbandonAfter.
  std::optional<std::string> TakeDueAbandon(const std::string& upstream,
                                            BootTime now);

  // Whether a claim of this instance may be on the log, or still reach it, and
  // its outcome is unknown.
  bool HasUnresolvedClaim(const std::string& upstream) const;

  void RemoveUpstream(const std::string& upstream);

 private:
  struct Claim {
    LogOffset previous = kNoOffset;
    std::string record_id;
    // When the claim or its last `abandon` record was sent.
    BootTime last_sent;
  };

  bool HasRecentLogRead(BootTime now) const;
  void RemoveClaim(const std::string& record_id);
  std::optional<BootTime> VoterClaimTime(const View& view) const;
  std::chrono::nanoseconds VoterDelay(const TermState& current) const;

  const std::string instance_;
  const std::string zone_;
  const LeaseDurations durations_;
  std::map<std::string, Claim> claims_;
  // When the current term of each upstream was first read.
  std::map<std::string, BootTime> term_read_at_;
  std::optional<BootTime> last_proof_time_;
  // Start of the current period without failed log reads.
  std::optional<BootTime> log_readable_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CLAIM_TRACKER_H_
