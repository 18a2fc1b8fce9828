// The lease under which the leader of an upstream may send to it.

#ifndef POLLENRUDDER_OWNERSHIP_LEADER_LEASE_H_
#define POLLENRUDDER_OWNERSHIP_LEADER_LEASE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/controller_input.h"
#include "ownership/lease_durations.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// Covers one term that this instance leads and its revisions (docs/design.md,
// section 3). Log reads and promises of the voters extend the lease. All times
// are on the clock of this instance.
//
// Use: create it when the term is read on the log, report every log read and
// every granted promise, and send only while active() returns true. Call
// BeginRevision() or BeginHandover() before such a record is appended, because
// it may take effect at any time after that. Call End() when a newer term is
// read.
//
// Related classes: VoterPromises grants the promises, ClaimTracker tracks the
// claim that created the term.
class LeaderLease {
 public:
  // `read_at` is when the record of `term` was applied. `own_promise_expiry` is
  // when the last promise of this instance for the upstream expires.
  LeaderLease(TermState term,
              const LeaseDurations& durations,
              BootTime read_at,
              std::optional<BootTime> own_promise_expiry);

  // Reports a log read that started at or after `proof_time`. `current_term` is
  // the offset of the current term of the upstream after the records of the
  // read were applied. The lease is extended only by a read that reached the
  // end of the log; a newer term ends it. Pass the outcome of a revision by
  // this instance to FinishRevision() first.
  void OnLogRead(BootTime proof_time, bool reached_end, LogOffset current_term);

  // Reports the answer of `voter` to a request that was sent at `requested_at`.
  void OnPromise(const std::string& voter,
                 BootTime requested_at,
                 const std::vector<PromisedTerm>& granted);

  // Call this before a revision is appended. Until its outcome is read, the old
  // or the new voters may replace the leader, so the promises of both are
  // required and the smaller isolation hold applies.
  void BeginRevision(std::vector<Voter> voters,
                     std::chrono::nanoseconds isolation_hold);
  // Call this when the revision was read and is the current term.
  void FinishRevision(TermState term);
  // Call this when the `abandon` record of the revision was read before the
  // revision, or the revision was read and is ignored.
  void AbandonRevision();

  // Call this before a handover is appended. The lease ends at once.
  void BeginHandover();
  // Call this when the `abandon` record of the handover was read before the
  // handover, or the handover was read and is ignored, while this instance
  // still leads the term.
  void AbandonHandover();

  // Call this when a newer term of another leader was read.
  void End();

  // Returns the end of the lease, or a time in the past if there is none. The
  // wait before the term becomes active is not considered; see active_from().
  BootTime ValidUntil() const;

  // When the wait of the term ends.
  BootTime active_from() const { return active_from_; }

  // Whether this instance may send at `now`.
  bool active(BootTime now) const;

  // The voters whose promises the lease requires now.
  std::vector<Voter> RequiredVoters() const;

  // The terms to request promises for.
  std::vector<PromisedTerm> TermsToRequest() const;

  // Whether the promises of all required voters are valid at `now`. While this
  // is false, the leader reads the log to extend the lease.
  bool HasAllPromises(BootTime now) const;

  // The required voters whose last granted request was sent before `limit`.
  std::vector<std::string> UnresponsiveVoters(BootTime limit) const;

  bool revising() const { return pending_revision_.has_value(); }
  bool handing_over() const { return handing_over_; }
  const TermState& term() const { return term_; }

 private:
  struct PendingRevision {
    std::vector<Voter> voters;
    std::chrono::nanoseconds isolation_hold{0};
  };

  std::chrono::nanoseconds IsolationHold() const;
  // Returns the oldest request time among the latest promises of the required
  // voters inside (or outside) the availability zone of the leader. Empty if a
  // promise is missing or there is no such voter.
  std::optional<BootTime> OldestPromiseTime(bool in_leader_zone) const;
  bool HasVoter(bool in_leader_zone) const;
  // Whether `voter` is a voter of the current term, before a pending revision.
  bool IsCurrentVoter(const Voter& voter) const;
  // Calls `visit` for each required voter until it returns false.
  template <typename Visitor>
  void VisitRequiredVoters(Visitor visit) const;

  TermState term_;
  const LeaseDurations durations_;
  BootTime active_from_;
  // The newest proof time of a log read without a newer term.
  std::optional<BootTime> log_proof_time_;
  // Send time of the latest granted request, by voter. A promise applies to the
  // upstream, so it stays valid after a revision.
  std::map<std::string, BootTime> promise_times_;
  std::optional<PendingRevision> pending_revision_;
  bool handing_over_ = false;
  bool ended_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEADER_LEASE_H_
