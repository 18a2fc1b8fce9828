// LeaderLease: until when the leader of one upstream may send to it.

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

// The lease of one led term and of its revisions (docs/design.md, section 3).
// All times are on the clock of this instance.
//
// Use: create it when the own term is read on the log, feed it every log read
// and every promise, and send only while active() holds. Before a revise or a
// handover is appended, call BeginRevision() or BeginHandover(); the record may
// take effect at any moment after that. End() it when a newer term is read.
//
// Related classes: VoterPromises grants the promises, ClaimTracker keeps the
// claim that led to the term.
class LeaderLease {
 public:
  // `read_at` is when the record of `term` was applied. `own_promise_expiry` is
  // when the last promise of this instance for the upstream runs out.
  LeaderLease(TermState term,
              const LeaseDurations& durations,
              BootTime read_at,
              std::optional<BootTime> own_promise_expiry);

  // A read of the log that started at or after `proof_time`. `current_term` is
  // the offset of the current term of the upstream after the records of the
  // read were applied. A read that did not reach the end proves nothing; a
  // newer term ends the lease. The outcome of an own revise is passed to
  // FinishRevision() first.
  void OnLogRead(BootTime proof_time, bool reached_end, LogOffset current_term);

  // The answer of `voter` to a request that was sent at `asked_at`.
  void OnPromise(const std::string& voter,
                 BootTime asked_at,
                 const std::vector<PromisedTerm>& granted);

  // Called before a revise is appended. Until the outcome is read, either set
  // of voters may replace the leader, so promises of both are needed and the
  // smaller hold applies.
  void BeginRevision(std::vector<Voter> voters,
                     std::chrono::nanoseconds isolation_hold);
  // The own revise was read on the log and is the current term.
  void FinishRevision(TermState term);
  // An own `abandon` that precedes the revise was read, or the revise was read
  // and is ignored.
  void AbandonRevision();

  // Called before a handover is appended: the lease ends at once.
  void BeginHandover();
  // An own `abandon` that precedes the handover was read, or the handover was
  // read and is ignored while the term is still the own one.
  void AbandonHandover();

  // A newer term of another leader was read.
  void End();

  // The end of the lease; in the past if there is none. It doesn't include the
  // wait before the term becomes active.
  BootTime ValidUntil() const;

  // When the wait of the term is over.
  BootTime active_from() const { return active_from_; }

  // Whether this instance may send at `now`.
  bool active(BootTime now) const;

  // The voters whose promises are needed now.
  std::vector<Voter> RequiredVoters() const;

  // The terms to ask promises for.
  std::vector<PromisedTerm> TermsToRequest() const;

  // Whether each needed voter's promise still runs at `now`. While this is
  // false the leader reads the log.
  bool HasAllPromises(BootTime now) const;

  // The needed voters whose last granted request was sent before `limit`.
  std::vector<std::string> UnresponsiveVoters(BootTime limit) const;

  bool revising() const { return revise_.has_value(); }
  bool handing_over() const { return handing_over_; }
  const TermState& term() const { return term_; }

 private:
  struct PendingRevise {
    std::vector<Voter> voters;
    std::chrono::nanoseconds isolation_hold{0};
  };

  std::chrono::nanoseconds IsolationHold() const;
  // The oldest request time among the latest promises of the needed voters
  // inside (or outside) the leader's zone. Empty if a promise is missing or
  // there is no such voter.
  std::optional<BootTime> OldestPromise(bool zone_peers) const;
  bool HasVoter(bool zone_peers) const;
  // Whether `voter` is one of the replaced term's voters too.
  bool IsCurrentVoter(const Voter& voter) const;
  // Calls `visit` for each needed voter until it returns false.
  template <typename Visitor>
  void VisitNeededVoters(Visitor visit) const;

  TermState term_;
  const LeaseDurations durations_;
  BootTime active_from_;
  // The newest proof_time of a read that showed no newer term.
  std::optional<BootTime> log_proof_;
  // Request time of the latest granted request, by voter. A promise is about
  // the upstream, so it stays good over a revise.
  std::map<std::string, BootTime> promises_;
  std::optional<PendingRevise> revise_;
  bool handing_over_ = false;
  bool ended_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEADER_LEASE_H_
