// Tests of ClaimTracker.

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

TermState Current() {
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

// A view of the current term, with the end of the own promise.
ClaimTracker::View ViewOf(const TermState& current,
                          std::optional<BootTime> promise_end = std::nullopt) {
  return {.upstream = kUpstream,
          .current = &current,
          .own_promise_expiry = promise_end};
}

ClaimTracker Reader(const std::string& instance, const std::string& zone) {
  ClaimTracker tracker(instance, zone, LeaseDurations());
  tracker.OnLogRead(At(milliseconds(0)), At(milliseconds(0)));
  tracker.OnTermRead(Current(), At(milliseconds(0)));
  return tracker;
}

// Guards against a claim of an instance whose promise the leader doesn't need.
TEST_CASE("only a voter of the term may claim") {
  const TermState current = Current();
  const ClaimTracker stranger = Reader("stranger.1", "a");
  REQUIRE_FALSE(stranger.ClaimTime(ViewOf(current)).has_value());
  // A restarted instance has a new identity.
  const ClaimTracker restarted = Reader("near.2", "a");
  REQUIRE_FALSE(restarted.ClaimTime(ViewOf(current)).has_value());
}

// Guards against a claim over a leader that is alive.
TEST_CASE("a voter claims only after its promise has run out") {
  ClaimTracker near = Reader("near.1", "a");
  const TermState current = Current();
  const ClaimTracker::View view = ViewOf(current, At(milliseconds(2000)));
  REQUIRE(near.ClaimTime(view) == At(milliseconds(2000)));
  near.OnLogRead(At(milliseconds(1900)), At(milliseconds(1950)));
  REQUIRE_FALSE(near.MayClaim(view, At(milliseconds(1999))));
  REQUIRE(near.MayClaim(view, At(milliseconds(2000))));
  // Without any promise, the new leader has the time of one promise to ask.
  REQUIRE(near.ClaimTime(ViewOf(current)) == At(milliseconds(909)));
}

// Guards against claims that stay unresolved because the log is down, which
// would cost the leader its promises.
TEST_CASE("no claim is sent without a recent read of the log") {
  ClaimTracker near = Reader("near.1", "a");
  const TermState current = Current();
  const ClaimTracker::View view = ViewOf(current);
  REQUIRE_FALSE(near.MayClaim(view, At(seconds(5))));
  REQUIRE(near.NeedsLogRead(view, At(seconds(5))));
  near.OnLogReadFailed();
  REQUIRE_FALSE(near.NeedsLogRead(view, At(seconds(5))));
  near.OnLogRead(At(seconds(5)), At(milliseconds(5050)));
  REQUIRE(near.MayClaim(view, At(milliseconds(5050))));
}

// Guards against a voter of another zone that wins against a zone peer of the
// lost leader, so that the upstream waits for the hold.
TEST_CASE("voters of other zones claim later, also after a log outage") {
  ClaimTracker far = Reader("far.1", "b");
  const TermState current = Current();
  const ClaimTracker::View view = ViewOf(current);
  REQUIRE(far.ClaimTime(view) == At(milliseconds(909 + 3000)));
  far.OnLogReadFailed();
  far.OnLogRead(At(seconds(100)), At(seconds(100)));
  REQUIRE(far.ClaimTime(view) == At(seconds(103)));
}

// Guards against an upstream that stays without a leader because nobody may
// claim it, and against all instances claiming it at once.
TEST_CASE("instances of the zone come first for a new or a lost term") {
  const ClaimTracker inside = Reader("x.1", "a");
  const ClaimTracker outside = Reader("y.1", "b");
  const TermState current = Current();
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

// Guards against a claim that is forgotten while it may still reach the log.
TEST_CASE("a claim stays unresolved until its outcome is read") {
  const TermState current = Current();
  ClaimTracker near = Reader("near.1", "a");
  near.OnClaimSent(kUpstream, 10, "claim-1", At(seconds(1)));
  REQUIRE(near.HasUnresolvedClaim(kUpstream));
  REQUIRE_FALSE(near.ClaimTime(ViewOf(current)).has_value());
  REQUIRE_FALSE(near.TakeDueAbandon(kUpstream, At(milliseconds(1999))));
  REQUIRE(near.TakeDueAbandon(kUpstream, At(seconds(2))) == "claim-1");
  REQUIRE_FALSE(near.TakeDueAbandon(kUpstream, At(milliseconds(2001))));
  REQUIRE(near.HasUnresolvedClaim(kUpstream));

  SECTION("the claim is read") {
    near.OnClaimRead("claim-1");
  }
  SECTION("the abandon is read") {
    near.OnAbandonRead("claim-1");
  }
  SECTION("another term is read, so the claim can't apply any more") {
    TermState other = Current();
    other.term = 12;
    near.OnTermRead(other, At(seconds(2)));
  }
  REQUIRE_FALSE(near.HasUnresolvedClaim(kUpstream));
}

// Guards against a record of another claim that resolves this one.
TEST_CASE("a record of another claim resolves nothing") {
  ClaimTracker near = Reader("near.1", "a");
  near.OnClaimSent(kUpstream, 10, "claim-1", At(seconds(1)));
  near.OnClaimRead("claim-0");
  near.OnAbandonRead("claim-0");
  near.OnTermRead(Current(), At(seconds(2)));
  REQUIRE(near.HasUnresolvedClaim(kUpstream));
}

// Guards against a wait that ends before the lease of a replaced leader.
TEST_CASE("the wait covers every lease that may still run") {
  const LeaseDurations durations;
  TermState term = Current();
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
