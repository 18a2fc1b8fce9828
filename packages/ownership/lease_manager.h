// LeaseManager: the leases of all upstreams that this instance leads.

#ifndef POLLENRUDDER_OWNERSHIP_LEASE_MANAGER_H_
#define POLLENRUDDER_OWNERSHIP_LEASE_MANAGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/control_context.h"
#include "ownership/controller_input.h"
#include "ownership/leader_lease.h"

namespace pollenrudder {

// Starts a lease when an own term is read, extends it by log reads and
// promises, publishes its end, records `active`, and replaces voters that are
// gone. One message per voter and heartbeat asks for the promises of all terms.
//
// Related classes: LeaderLease has the rules of one lease, Claimant takes terms
// and TermHandover gives them away.
class LeaseManager {
 public:
  // Voters are selected again at most at this interval, so that a new voter has
  // time to make its first promise.
  static constexpr std::chrono::milliseconds kRevisionInterval{1000};
  // A voter that granted no request for so long is replaced. It is two
  // heartbeats, so that the revise is read before the voter claims.
  static constexpr std::chrono::milliseconds kVoterTimeout{550};

  // For so long an instance that was silent is not chosen again. Without it, a
  // leader outside a cut zone tried the zone's instances in turn and appended a
  // revise every second for as long as the cut lasted.
  static constexpr std::chrono::seconds kUnresponsiveExclusion{120};

  // Tells when the own promise for an upstream runs out; see VoterPromises.
  using OwnPromiseExpiry =
      std::function<std::optional<BootTime>(const std::string& upstream)>;

  LeaseManager(ControlContext& context, OwnPromiseExpiry own_promise_expiry);

  // After records were applied: starts and ends leases.
  void OnTableChanged();
  // After a log read, and after OnTableChanged().
  void OnLogRead(BootTime proof_time, bool reached_end);
  void OnPromise(const PromiseAnswered& answer);
  void OnTick();

  // Sends the lease ends that have changed. It comes after the routing table of
  // the same input, since a new lease with an older table would serve shards
  // that have moved away.
  void PublishLeases();
  // Sends the lease ends that have come closer, before a record that needs it.
  void PublishShorterLeases();

  // Whether this instance may send to the upstream now.
  bool IsActive(std::string_view upstream) const;
  // The lease of a led upstream, or null.
  LeaderLease* Find(std::string_view upstream);
  const LeaderLease* Find(std::string_view upstream) const;
  // Names of the led upstreams, in order.
  std::vector<std::string> LedUpstreams() const;

  // Whether a lease needs a read of the log: a promise is missing.
  bool NeedsLogRead() const;

  // Voters of a term led by `leader`, which stays close to `current`.
  std::vector<Voter> ChooseVoters(const std::string& leader,
                                  const std::string& zone,
                                  const std::string& region,
                                  const std::vector<Voter>& current,
                                  std::vector<std::string> unresponsive) const;
  // The hold of the service's settings, or `otherwise`.
  std::chrono::nanoseconds IsolationHold(
      const std::string& service,
      std::chrono::nanoseconds otherwise) const;

 private:
  struct Led {
    LeaderLease lease;
    // When the voters were last changed.
    BootTime voters_since;
    // The end that was last published; empty if none was.
    std::optional<BootTime> published;
    // Whether the lease was valid at the last tick.
    bool was_active = false;
    std::string active_record;
    std::string revise_record;
  };

  // Whether the term's `active` record was read, so that it can't be claimed
  // back.
  bool IsRecordedActive(std::string_view upstream) const;
  void StartLease(const TermState& term);
  void UpdateLease(Led& led, const TermState& term);
  void RecordActive(Led& led);
  void LogTransition(Led& led);
  void Publish(bool only_shorter);
  void SendHeartbeats();
  // Notes voters that are silent now, and forgets those that were long ago.
  void RememberSilentVoters();
  void ReviseVoters();
  // Returns the entry that brings the term up to date, if it is outdated.
  std::optional<TermEntry> RevisedEntry(const Led& led) const;

  ControlContext& context_;
  const OwnPromiseExpiry own_promise_end_;
  std::map<std::string, Led, std::less<>> led_;
  std::optional<BootTime> last_heartbeat_;
  // Until when an instance counts as silent.
  std::map<std::string, BootTime> silent_until_;
};

// Returns an entry that repeats `term` as the replacement of `term`.
TermEntry EntryFromTerm(const TermState& term, TermKind kind);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MANAGER_H_
