// Tests of the time and the outcome of claims.

#include "ownership/claim_tracker.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kUpstream[] = "u";

BootTime At(milliseconds time) {
  return BootTime(time);
}

TermState CurrentTerm() {
  TermState term;
  term.upstream = kUpstream;
  term.term = 10;
  term.leader_fence = 10;
  term.leader = "leader.1";
  term.leader_zone = "a";
  term.voters = {{"near.1", "a", ""}, {"far.1", "b", ""}};
  term.isolation_hold = seconds(30);
  term.active = true;
  return term;
}

// Returns the view of a voter whose own promise ends at `promise_expiry`.
ClaimTracker::View ViewOf(
    const TermState& current,
    std::optional<BootTime> promise_expiry = std::nullopt) {
  return {.upstream = kUpstream,
          .current = &current,
          .own_promise_expiry = promise_expiry};
}

ClaimTracker TrackerWithRead(const std::string& instance,
                             const std::string& zone) {
  ClaimTracker tracker(instance, zone, LeaseDurations());
  tracker.OnLogRead(At(milliseconds(0)), At(milliseconds(0)));
  tracker.OnTermRead(CurrentTerm(), At(milliseconds(0)));
  return tracker;
}

// The lease of the leader does not depend on the promise of a non-voter, so its
// claim could be active beside that lease.
TEST_CASE("only a voter of the current term may claim") {
  const TermState current = CurrentTerm();
  const ClaimTracker non_voter = TrackerWithRead("stranger.1", "a");
  REQUIRE_FALSE(non_voter.ClaimTime(ViewOf(current)).has_value());
  // A restarted instance has a new identity.
  const ClaimTracker restarted = TrackerWithRead("near.2", "a");
  REQUIRE_FALSE(restarted.ClaimTime(ViewOf(current)).has_value());
}

// An earlier claim would replace a leader that still has a valid promise.
TEST_CASE("a voter claims only after its promise has expired") {
  ClaimTracker same_zone = TrackerWithRead("near.1", "a");
  const TermState current = CurrentTerm();
  const ClaimTracker::View view = ViewOf(current, At(milliseconds(2000)));
  REQUIRE(same_zone.ClaimTime(view) == At(milliseconds(2000)));
  same_zone.OnLogRead(At(milliseconds(1900)), At(milliseconds(1950)));
  REQUIRE_FALSE(same_zone.MayClaim(view, At(milliseconds(1999))));
  REQUIRE(same_zone.MayClaim(view, At(milliseconds(2000))));
  // Without a promise, the new leader has the duration of one promise to
  // request it.
  REQUIRE(same_zone.ClaimTime(ViewOf(current)) == At(milliseconds(909)));
}

// A claim that is sent while the log is unavailable stays unresolved, and the
// voter grants the leader no promise until it is resolved.
TEST_CASE("no claim is sent without a recent log read") {
  ClaimTracker same_zone = TrackerWithRead("near.1", "a");
  const TermState current = CurrentTerm();
  const ClaimTracker::View view = ViewOf(current);
  REQUIRE_FALSE(same_zone.MayClaim(view, At(seconds(5))));
  REQUIRE(same_zone.NeedsLogRead(view, At(seconds(5))));
  same_zone.OnLogReadFailed();
  REQUIRE_FALSE(same_zone.NeedsLogRead(view, At(seconds(5))));
  same_zone.OnLogRead(At(seconds(5)), At(milliseconds(5050)));
  REQUIRE(same_zone.MayClaim(view, At(milliseconds(5050))));
}

// If an other-zone voter claimed before a same-zone voter, the upstream would
// wait for the isolation hold.
TEST_CASE("other-zone voters claim later, also after a log outage") {
  ClaimTracker other_zone = TrackerWithRead("far.1", "b");
  const TermState current = CurrentTerm();
  const ClaimTracker::View view = ViewOf(current);
  REQUIRE(other_zone.ClaimTime(view) == At(milliseconds(909 + 3000)));
  other_zone.OnLogReadFailed();
  other_zone.OnLogRead(At(seconds(100)), At(seconds(100)));
  REQUIRE(other_zone.ClaimTime(view) == At(seconds(103)));
}

// Without a term, or with a lost leader, any instance may claim. All instances
// would claim at once without the order, and none would if voters were needed.
TEST_CASE(
    "instances of the upstream's zone claim a new or lost upstream first") {
  const ClaimTracker inside = TrackerWithRead("x.1", "a");
  const ClaimTracker outside = TrackerWithRead("y.1", "b");
  const TermState current = CurrentTerm();
  ClaimTracker::View view = ViewOf(current);
  view.claimable_since = At(seconds(7));
  view.zone_instances = {"x.1"};
  REQUIRE(ClaimTracker::ClaimKind(view) == TermKind::kDeclaredLost);
  REQUIRE(inside.ClaimTime(view) == At(seconds(7)));
  REQUIRE(outside.ClaimTime(view) >= At(seconds(9)));
  view.own_promise_expiry = At(seconds(8));
  REQUIRE(inside.ClaimTime(view) == At(seconds(8)));
  view.current = nullptr;
  REQUIRE(ClaimTracker::ClaimKind(view) == TermKind::kFirst);
  REQUIRE(inside.ClaimTime(view) == At(seconds(8)));
}

// If a claim were removed earlier, the voter could grant a promise while the
// claim still reaches the log.
TEST_CASE("a claim stays unresolved until its outcome is read") {
  const TermState current = CurrentTerm();
  ClaimTracker same_zone = TrackerWithRead("near.1", "a");
  same_zone.OnClaimSent(kUpstream, 10, "claim-1", At(seconds(1)));
  REQUIRE(same_zone.HasUnresolvedClaim(kUpstream));
  REQUIRE_FALSE(same_zone.ClaimTime(ViewOf(current)).has_value());
  REQUIRE_FALSE(same_zone.TakeDueAbandon(kUpstream, At(milliseconds(1999))));
  REQUIRE(same_zone.TakeDueAbandon(kUpstream, At(seconds(2))) == "claim-1");
  REQUIRE_FALSE(same_zone.TakeDueAbandon(kUpstream, At(milliseconds(2001))));
  REQUIRE(same_zone.HasUnresolvedClaim(kUpstream));

  SECTION("the claim is read") {
    same_zone.OnClaimRead("claim-1");
  }
  SECTION("the abandon is read") {
    same_zone.OnAbandonRead("claim-1");
  }
  SECTION("another term is read, so replay ignores the claim") {
    TermState other = CurrentTerm();
    other.term = 12;
    same_zone.OnTermRead(other, At(seconds(2)));
  }
  REQUIRE_FALSE(same_zone.HasUnresolvedClaim(kUpstream));
}

// Records of an earlier claim must not resolve the claim that is pending.
TEST_CASE("a record of another claim leaves a claim unresolved") {
  ClaimTracker same_zone = TrackerWithRead("near.1", "a");
  same_zone.OnClaimSent(kUpstream, 10, "claim-1", At(seconds(1)));
  same_zone.OnClaimRead("claim-0");
  same_zone.OnAbandonRead("claim-0");
  same_zone.OnTermRead(CurrentTerm(), At(seconds(2)));
  REQUIRE(same_zone.HasUnresolvedClaim(kUpstream));
}

// A shorter wait would end before the lease of a replaced leader.
TEST_CASE("the wait of a claim covers every lease that may still be valid") {
  const LeaseDurations durations;
  TermState term = CurrentTerm();
  REQUIRE(ClaimTracker::RequiredWait(term, TermKind::kClaim, "a", durations) ==
          milliseconds(606));
  REQUIRE(ClaimTracker::RequiredWait(term, TermKind::kClaim, "b", durations) ==
          milliseconds(30300));
  REQUIRE(ClaimTracker::RequiredWait(term, TermKind::kDeclaredLost, "b",
                                     durations) == milliseconds(909));
  term.active = false;
  term.wait = seconds(40);
  REQUIRE(ClaimTracker::RequiredWait(term, TermKind::kClaim, "a", durations) ==
          seconds(40));
  REQUIRE(ClaimTracker::RequiredWait(term, TermKind::kDeclaredLost, "b",
                                     durations) == seconds(40));
}

}  // namespace
}  // namespace pollenrudder
