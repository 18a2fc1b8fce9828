// The leases of all terms that this instance leads.

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

// Starts a lease when a term led by this instance is read, extends it by log
// reads and promises, publishes its end, appends the `active` record, and
// replaces voters that are gone. One message per voter and heartbeat requests
// the promises for all terms.
//
// Use: Controller calls the On...() functions with its inputs and then
// PublishLeases(). The other parts of Controller check IsActive() before they
// act for an upstream.
//
// Related classes: LeaderLease contains the rules of one lease, ClaimManager
// acquires terms, TermHandover transfers them to other instances.
class LeaseManager {
 public:
  // Minimum time between two changes of the voters of a term, so that a new
  // voter has time to grant its first promise.
  static constexpr std::chrono::milliseconds kRevisionInterval{1000};
  // A voter that granted no request for this long is replaced. The time exceeds
  // one heartbeat interval (400 ms), and it is short enough that the revision
  // is read before the promise of the voter (900 ms) expires and the voter
  // claims.
  static constexpr std::chrono::milliseconds kVoterTimeout{550};

  // How long an unresponsive instance is not selected again. Without this, a
  // leader outside a zone that was cut off selected the instances of the zone
  // one after another and appended a revision every second during the cut.
  static constexpr std::chrono::seconds kUnresponsiveExclusion{120};

  // Returns when the promise of this instance for an upstream expires; see
  // VoterPromises::ExpiryTime().
  using OwnPromiseExpiry =
      std::function<std::optional<BootTime>(const std::string& upstream)>;

  LeaseManager(ControlContext& context, OwnPromiseExpiry own_promise_expiry);

  // Call this after records were applied. Starts and ends leases.
  void OnTableChanged();
  // Call this after a log read, after OnTableChanged().
  void OnLogRead(BootTime proof_time, bool reached_end);
  void OnPromise(const PromiseAnswered& answer);
  void OnTick();

  // Publishes the lease ends that changed. Call this after the routing table of
  // the same input is published: a new lease with an older table would serve
  // shards that have moved away.
  void PublishLeases();
  // Publishes the lease ends that are earlier than published before. Call this
  // before a record is appended that requires the shorter lease.
  void PublishShorterLeases();

  // Whether this instance may send to the upstream now.
  bool IsActive(std::string_view upstream) const;
  // The lease of a led upstream, or null.
  LeaderLease* Find(std::string_view upstream);
  const LeaderLease* Find(std::string_view upstream) const;
  // Names of the led upstreams, in order.
  std::vector<std::string> LedUpstreams() const;

  // Whether a lease can be extended only by a log read, because a promise is
  // missing.
  bool NeedsLogRead() const;

  // Selects the voters of a term led by `leader`, keeping those of `current`
  // that are still available.
  std::vector<Voter> ChooseVoters(const std::string& leader,
                                  const std::string& zone,
                                  const std::string& region,
                                  const std::vector<Voter>& current,
                                  std::vector<std::string> unresponsive) const;
  // The isolation hold in the settings of the service, or `otherwise` if the
  // service is unknown.
  std::chrono::nanoseconds IsolationHold(
      const std::string& service,
      std::chrono::nanoseconds otherwise) const;

 private:
  struct LedTerm {
    LeaderLease lease;
    // When the voters last changed.
    BootTime voters_changed_at;
    // The lease end that was last published; empty if none was.
    std::optional<BootTime> published_end;
    // Whether the lease was valid at the last tick.
    bool was_active = false;
    std::string active_record;
    std::string revision_record;
  };

  // Whether the `active` record of the term was read. After that, the replaced
  // leader cannot reclaim the term.
  bool IsRecordedActive(std::string_view upstream) const;
  void StartLease(const TermState& term);
  void UpdateLease(LedTerm& led, const TermState& term);
  void RecordActive(LedTerm& led);
  void LogTransition(LedTerm& led);
  void Publish(bool only_shorter);
  void SendHeartbeats();
  // Adds the voters that are unresponsive now, and removes those whose
  // exclusion has ended.
  void UpdateExcludedInstances();
  void ReviseVoters();
  // Returns an entry with the current voters, isolation hold and address, if
  // the term differs from them.
  std::optional<TermEntry> MakeRevisionEntry(const LedTerm& led) const;

  ControlContext& context_;
  const OwnPromiseExpiry own_promise_expiry_;
  std::map<std::string, LedTerm, std::less<>> led_terms_;
  std::optional<BootTime> last_heartbeat_;
  // By instance: until when it is excluded as unresponsive.
  std::map<std::string, BootTime> excluded_until_;
};

// Returns an entry of the given kind that replaces `term` and copies its
// fields.
TermEntry EntryFromTerm(const TermState& term, TermKind kind);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MANAGER_H_
