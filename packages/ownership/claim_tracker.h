// ClaimTracker: the claims of this instance, and when it may send one.

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

// Decides when this instance claims an upstream, and keeps each claim until its
// outcome is read. A claim whose answer is lost may still reach the log later;
// while it is unresolved this instance promises nothing for the upstream.
//
// Use: pass it every read of the log and every term that was read. When
// MayClaim() holds, append the claim with RequiredWait() and call
// OnClaimSent(). While AbandonDue() holds, append an `abandon` record for the
// claim.
//
// Related classes: VoterPromises (the own promise must have run out),
// LeaderLease (starts when the own claim was read).
class ClaimTracker {
 public:
  // What is known about an upstream when a claim is considered.
  struct View {
    std::string upstream;
    // The current term; null if the upstream has none yet.
    const TermState* current = nullptr;
    // VoterPromises::ExpiryTime() of the upstream.
    std::optional<BootTime> own_promise_expiry;
    // Since when this instance knows the upstream without a term, or the
    // declaration that its leader is lost.
    std::optional<BootTime> claimable_since;
    // The live instances of the upstream's zone. Without a term, or after a
    // declaration, they claim in the order of their rank; others come last.
    std::vector<std::string> zone_instances;
  };

  // Zone peers claim one after another at this interval. It is longer than an
  // append and its read take, so that the second sees the first one's claim.
  static constexpr std::chrono::milliseconds kRankDelay{100};
  // A voter of another zone waits this share of the hold before it claims, at
  // least kMinOtherZoneDelay. Its claim ends the lease of a leader that was
  // only cut off, as soon as that leader is connected again.
  static constexpr int kOtherZoneDelayDivisor = 10;
  static constexpr std::chrono::milliseconds kMinOtherZoneDelay{2000};
  // A claim that is unresolved for so long is abandoned, and the abandon is
  // repeated at this interval.
  static constexpr std::chrono::milliseconds kAbandonAfter{1000};

  ClaimTracker(std::string instance,
               std::string zone,
               const LeaseDurations& durations);

  // The wait that a claim over `replaced` must carry. It is already lengthened
  // by the clock-rate bound. Replay ignores a claim with a shorter one.
  static std::chrono::nanoseconds RequiredWait(const TermState& replaced,
                                               TermKind kind,
                                               const std::string& zone,
                                               const LeaseDurations& durations);

  // The kind of claim for the view.
  static TermKind ClaimKind(const View& view);

  // Whether `current` lists this instance as a voter.
  bool IsVoter(const TermState& current) const;

  // A read that started at or after `proof_time` reached the end of the log.
  void OnLogRead(BootTime proof_time, BootTime now);
  void OnLogReadFailed();

  // The current term of an upstream after a read; call it for each change.
  void OnTermRead(const TermState& current, BootTime now);

  // When this instance claims the upstream if it hears nothing until then;
  // empty if it may not claim.
  std::optional<BootTime> ClaimTime(const View& view) const;

  // Whether to claim now. Needs a recent read of the log, so that no claim is
  // sent, and left unresolved, while the log is down.
  bool MayClaim(const View& view, BootTime now) const;

  // Whether only the recent read is missing for a claim.
  bool NeedsLogRead(const View& view, BootTime now) const;

  void OnClaimSent(const std::string& upstream,
                   LogOffset previous,
                   const std::string& record_id,
                   BootTime now);

  // The own record was read on the log, whether it applied or was ignored.
  void OnClaimRead(const std::string& record_id);
  // An own `abandon` of the claim was read; the claim is ignored from there on.
  void OnAbandonRead(const std::string& record_id);

  // The id of the claim to abandon now. Calling it starts the next interval.
  std::optional<std::string> TakeDueAbandon(const std::string& upstream,
                                            BootTime now);

  // Whether a claim of this instance may be on the log, or reach it.
  bool HasUnresolvedClaim(const std::string& upstream) const;

  void RemoveUpstream(const std::string& upstream);

 private:
  struct Claim {
    LogOffset previous = kNoOffset;
    std::string record_id;
    // When the claim or its last abandon was sent.
    BootTime last_sent;
  };

  bool ReadRecently(BootTime now) const;
  void Resolve(const std::string& record_id);
  std::optional<BootTime> VoterClaimTime(const View& view) const;
  std::chrono::nanoseconds VoterDelay(const TermState& current) const;

  const std::string instance_;
  const std::string zone_;
  const LeaseDurations durations_;
  std::map<std::string, Claim> claims_;
  // When the current term of each upstream was first read.
  std::map<std::string, BootTime> term_read_at_;
  std::optional<BootTime> last_proof_;
  // Since when reads of the log succeed.
  std::optional<BootTime> readable_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CLAIM_TRACKER_H_
