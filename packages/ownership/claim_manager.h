// Votes, first terms and claims of this instance.

#ifndef POLLENRUDDER_OWNERSHIP_CLAIM_MANAGER_H_
#define POLLENRUDDER_OWNERSHIP_CLAIM_MANAGER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/claim_tracker.h"
#include "ownership/control_context.h"
#include "ownership/controller_input.h"
#include "ownership/lease_manager.h"
#include "ownership/voter_promises.h"

namespace pollenrudder {

// Answers promise requests, proposes the first term of upstreams in its
// availability zone, claims upstreams whose leader is unresponsive or declared
// lost, and abandons claims whose append was not confirmed.
//
// Use: Controller calls the On...() functions with its inputs; OnTick() sends
// the records that are due.
//
// Related classes: VoterPromises and ClaimTracker contain the rules.
// LeaseManager maintains the lease after a term led by this instance is read.
class ClaimManager {
 public:
  // Candidates propose a first term one after another at this interval, which
  // normally exceeds the time of an append and its read.
  static constexpr std::chrono::milliseconds kFirstTermDelay{500};
  // How long after its first instance list an instance waits for another one of
  // its availability zone before it proposes first terms. A term without a
  // voter of its own zone can be claimed only by voters of other zones, which
  // wait for the isolation hold.
  static constexpr std::chrono::milliseconds kSameZoneVoterDelay{1000};
  // Candidates send a declared_lost claim one after another at this interval.
  static constexpr std::chrono::milliseconds kDeclaredLostDelay{300};

  explicit ClaimManager(ControlContext& context);

  // Called after records were applied to the table.
  void OnTableChanged();
  // Called when a record written by this instance was read.
  void OnOwnRecord(const LogRecord& record);
  void OnLogReadToEnd(BootTime proof_time);
  void OnLogReadFailed();
  void OnPromiseRequested(const PromiseRequested& request);
  void OnTick(const LeaseManager& leases);

  // When the last promise of this instance for the upstream expires.
  std::optional<BootTime> OwnPromiseExpiry(const std::string& upstream) const;

 private:
  // By upstream: since when this instance is a candidate for its term.
  using CandidateTimes = std::map<std::string, BootTime>;

  void ProposeFirstTerms(const LeaseManager& leases);
  void Claim(const LeaseManager& leases);
  void ClaimDeclaredLost(const LeaseManager& leases);
  bool ShouldReclaim(const TermState& term);
  void AbandonClaims();
  bool MayPromise(const std::string& leader, const PromisedTerm& term) const;

  // Whether this candidate has waited for `delay` per candidate of higher rank.
  bool HasWaitedForRank(CandidateTimes& candidate_times,
                        const std::string& upstream,
                        const std::vector<std::string>& candidates,
                        std::chrono::nanoseconds delay);
  TermEntry MakeFirstEntry(const ListedInstance& upstream,
                           const LeaseManager& leases) const;
  TermEntry MakeClaimEntry(const TermState& current,
                           TermKind kind,
                           const LeaseManager& leases) const;
  void SetLeader(TermEntry& entry) const;
  void SendClaims(TermRecord record);

  ControlContext& context_;
  VoterPromises promises_;
  ClaimTracker claims_;
  // By upstream: the term that was last reported to `claims_`.
  std::map<std::string, LogOffset> reported_terms_;
  // Upstreams whose terms this instance may claim: it is a voter, or a claim
  // from another zone replaced it. A tick checks only these, because checking
  // all 3,080 terms took most of its 2 ms.
  std::vector<std::string> claimable_upstreams_;
  CandidateTimes first_term_candidates_;
  CandidateTimes declared_lost_candidates_;
  // By upstream: the id of the record that proposes its first term.
  std::map<std::string, std::string> first_term_records_;
  // By id of a claim: the id of its `abandon` record that was not read yet.
  std::map<std::string, std::string> abandon_records_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CLAIM_MANAGER_H_
