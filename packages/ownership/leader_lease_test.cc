// Tests of LeaderLease: one rule each.

#include "ownership/leader_lease.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LogOffset kTerm = 40;

BootTime At(milliseconds time) {
  return BootTime(time);
}

TermState Term(TermKind kind = TermKind::kFirst) {
  TermState term;
  term.upstream = "geodata-1";
  term.term = kTerm;
  term.leader_fence = kTerm;
  term.kind = kind;
  term.leader = "leader.1";
  term.leader_zone = "falkirk-a";
  term.voters = {{"near.1", "falkirk-a", ""}, {"far.1", "stirling-b", ""}};
  term.isolation_hold = seconds(30);
  return term;
}

LeaderLease Lease(const TermState& term = Term()) {
  return LeaderLease(term, LeaseDurations(), At(milliseconds(0)), std::nullopt);
}

std::vector<PromisedTerm> Granted(LogOffset term = kTerm) {
  return {{"geodata-1", term}};
}

// Guards against a lease without any proof.
TEST_CASE("a new term has no lease before a proof") {
  LeaderLease lease = Lease();
  REQUIRE_FALSE(lease.active(At(milliseconds(0))));
}

// Guards against a read that proves more than it showed.
TEST_CASE("a log read extends the lease only if it reached the end") {
  LeaderLease lease = Lease();
  lease.OnLogRead(At(milliseconds(100)), false, kTerm);
  REQUIRE_FALSE(lease.active(At(milliseconds(100))));
  lease.OnLogRead(At(milliseconds(100)), true, kTerm);
  REQUIRE(lease.ValidUntil() == At(milliseconds(700)));
  lease.OnLogRead(At(milliseconds(50)), true, kTerm);
  REQUIRE(lease.ValidUntil() == At(milliseconds(700)));
}

// Guards against a deposed leader that goes on for the rest of its lease.
TEST_CASE("a newer term ends the lease for good") {
  LeaderLease lease = Lease();
  lease.OnLogRead(At(milliseconds(100)), true, kTerm);
  lease.OnLogRead(At(milliseconds(200)), true, kTerm + 1);
  REQUIRE_FALSE(lease.active(At(milliseconds(200))));
  lease.OnPromise("near.1", At(milliseconds(200)), Granted());
  lease.OnPromise("far.1", At(milliseconds(200)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(201))));
}

// Guards against a lease that outlives the promise of its oldest voter.
TEST_CASE("promises of all voters extend the lease from the oldest request") {
  // Without a hold the promises of zone peers alone prove nothing.
  TermState term = Term();
  term.isolation_hold = seconds(0);
  LeaderLease lease = Lease(term);
  lease.OnPromise("near.1", At(milliseconds(300)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(300))));
  lease.OnPromise("far.1", At(milliseconds(200)), Granted());
  REQUIRE(lease.ValidUntil() == At(milliseconds(1100)));
  REQUIRE(lease.HasAllPromises(At(milliseconds(1000))));
  REQUIRE_FALSE(lease.HasAllPromises(At(milliseconds(1200))));
  REQUIRE(lease.UnresponsiveVoters(At(milliseconds(250))) ==
          std::vector<std::string>{"far.1"});
}

// Guards against promises for another term or from an instance that is no
// voter.
TEST_CASE("other promises do not count") {
  LeaderLease lease = Lease();
  lease.OnPromise("near.1", At(milliseconds(300)), Granted(kTerm - 1));
  lease.OnPromise("stranger.1", At(milliseconds(300)), Granted());
  lease.OnPromise("far.1", At(milliseconds(300)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(300))));
}

// Guards against an isolated zone that keeps its lease past the hold.
TEST_CASE("zone peers alone keep the lease for the hold") {
  LeaderLease lease = Lease();
  lease.OnLogRead(At(milliseconds(0)), true, kTerm);
  for (milliseconds time(0); time <= seconds(40); time += milliseconds(250))
    lease.OnPromise("near.1", At(time), Granted());
  REQUIRE(lease.ValidUntil() == At(seconds(30)));
  lease.OnPromise("far.1", At(seconds(20)), Granted());
  REQUIRE(lease.ValidUntil() == At(milliseconds(40900)));
}

// Guards against an unbounded lease of a leader that nobody may replace.
TEST_CASE("a term without voters is held from the last log read only") {
  TermState term = Term();
  term.voters.clear();
  LeaderLease lease = Lease(term);
  REQUIRE_FALSE(lease.active(At(milliseconds(0))));
  lease.OnLogRead(At(milliseconds(0)), true, kTerm);
  REQUIRE(lease.ValidUntil() == At(seconds(30)));
}

// Guards against a claimant that sends before its wait or its own promise ends.
TEST_CASE("a claim becomes active after its wait and its own promise") {
  TermState term = Term(TermKind::kClaim);
  term.wait = milliseconds(606);
  LeaderLease waiting(term, LeaseDurations(), At(milliseconds(1000)),
                      At(milliseconds(500)));
  REQUIRE(waiting.active_from() == At(milliseconds(1606)));
  waiting.OnLogRead(At(milliseconds(1300)), true, kTerm);
  REQUIRE_FALSE(waiting.active(At(milliseconds(1605))));
  REQUIRE(waiting.active(At(milliseconds(1606))));

  LeaderLease promised(term, LeaseDurations(), At(milliseconds(1000)),
                       At(milliseconds(1700)));
  REQUIRE(promised.active_from() == At(milliseconds(1700)));
}

// Guards against a revise that counts on the old or the new voters alone while
// either set may be the one that replaces the leader.
TEST_CASE(
    "an unresolved revise needs both sets of voters and the smaller hold") {
  LeaderLease lease = Lease();
  lease.OnLogRead(At(milliseconds(0)), true, kTerm);
  lease.BeginRevision(
      {{"near.2", "falkirk-a", ""}, {"far.1", "stirling-b", ""}}, seconds(10));
  REQUIRE(lease.TermsToRequest() ==
          std::vector<PromisedTerm>{{"geodata-1", kTerm},
                                    {"geodata-1", kNoOffset}});
  const BootTime asked = At(milliseconds(1000));
  lease.OnPromise("near.1", asked, Granted());
  REQUIRE_FALSE(lease.active(asked));
  lease.OnPromise("near.2", asked, Granted(kNoOffset));
  REQUIRE(lease.ValidUntil() == At(milliseconds(1900)));
  lease.OnPromise("near.1", At(seconds(20)), Granted());
  lease.OnPromise("near.2", At(seconds(20)), Granted(kNoOffset));
  REQUIRE(lease.ValidUntil() == At(seconds(10)));

  SECTION("the outcome is the new term") {
    TermState revised = Term(TermKind::kRevise);
    revised.term = kTerm + 5;
    revised.voters = {{"near.2", "falkirk-a", ""}};
    lease.FinishRevision(revised);
    REQUIRE(lease.ValidUntil() == At(milliseconds(20900)));
  }
  SECTION("the outcome is an abandon") {
    lease.AbandonRevision();
    REQUIRE(lease.RequiredVoters() == Term().voters);
  }
}

// Guards against a leader that sends while its successor is already active.
TEST_CASE("a handover ends the lease until it is abandoned") {
  LeaderLease lease = Lease();
  lease.OnLogRead(At(milliseconds(0)), true, kTerm);
  lease.BeginHandover();
  REQUIRE_FALSE(lease.active(At(milliseconds(1))));
  lease.OnLogRead(At(milliseconds(100)), true, kTerm);
  REQUIRE_FALSE(lease.active(At(milliseconds(101))));
  lease.AbandonHandover();
  REQUIRE(lease.active(At(milliseconds(101))));
}

}  // namespace
}  // namespace pollenrudder
