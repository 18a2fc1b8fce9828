// Claimant: how this instance votes and takes terms.

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

// Answers promise requests, proposes the first term of upstreams in its zone,
// claims upstreams whose leader is silent or declared lost, and abandons claims
// whose answer is lost.
//
// Related classes: VoterPromises and ClaimTracker have the rules, LeaseManager
// takes over once the own term is read.
class ClaimManager {
 public:
  // Candidates of a first term propose it one after another at this interval,
  // which an append and its read normally fit in.
  static constexpr std::chrono::milliseconds kFirstTermDelay{500};
  // Candidates of a declared_lost claim follow each other at this interval.
  static constexpr std::chrono::milliseconds kDeclaredLostDelay{300};

  explicit ClaimManager(ControlContext& context);

  // After records were applied.
  void OnTableChanged();
  // A record of this instance was read.
  void OnOwnRecord(const LogRecord& record);
  void OnLogReadToEnd(BootTime proof_time);
  void OnLogReadFailed();
  void OnPromiseRequested(const PromiseRequested& request);
  void OnTick(const LeaseManager& leases);

  // When the last promise for the upstream runs out.
  std::optional<BootTime> OwnPromiseExpiry(const std::string& upstream) const;

 private:
  // An upstream for which this instance is a candidate, and since when.
  using Candidacies = std::map<std::string, BootTime>;

  void ProposeFirstTerms(const LeaseManager& leases);
  void Claim(const LeaseManager& leases);
  void ClaimDeclaredLost(const LeaseManager& leases);
  bool WantsClaimBack(const TermState& term);
  void AbandonClaims();
  bool MayPromise(const std::string& leader, const PromisedTerm& term) const;

  // Whether this candidate's turn has come: `delay` for each candidate that
  // ranks higher.
  bool IsTurn(Candidacies& candidacies,
              const std::string& upstream,
              const std::vector<std::string>& candidates,
              std::chrono::nanoseconds delay);
  TermEntry FirstEntry(const ListedInstance& upstream,
                       const LeaseManager& leases) const;
  TermEntry ClaimEntry(const TermState& current,
                       TermKind kind,
                       const LeaseManager& leases) const;
  void TakeOver(TermEntry& entry) const;
  void SendClaims(TermRecord record);

  ControlContext& context_;
  VoterPromises promises_;
  ClaimTracker claims_;
  // By upstream: the term that was last passed to `claims_`.
  std::map<std::string, LogOffset> seen_terms_;
  // Upstreams whose terms this instance may claim: it votes, or a claim from
  // another zone replaced it. A tick looks at these only; at 3,080 terms a look
  // at all of them took most of its 2 ms.
  std::vector<std::string> watched_;
  Candidacies first_candidacies_;
  Candidacies lost_candidacies_;
  // By upstream: the record that proposes the first term.
  std::map<std::string, std::string> first_records_;
  // By claim: the own `abandon` record that is not read yet.
  std::map<std::string, std::string> abandons_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CLAIM_MANAGER_H_
