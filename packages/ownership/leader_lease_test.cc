// Tests of the rules that extend and end a lease, one per case.

#include "ownership/leader_lease.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr LogOffset kTermOffset = 40;

BootTime At(milliseconds time) {
  return BootTime(time);
}

TermState MakeTerm(TermKind kind = TermKind::kFirst) {
  TermState term;
  term.upstream = "geodata-1";
  term.term = kTermOffset;
  term.leader_fence = kTermOffset;
  term.kind = kind;
  term.leader = "leader.1";
  term.leader_zone = "falkirk-a";
  term.voters = {{"near.1", "falkirk-a", ""}, {"far.1", "stirling-b", ""}};
  term.isolation_hold = seconds(30);
  return term;
}

LeaderLease MakeLease(const TermState& term = MakeTerm()) {
  return LeaderLease(term, LeaseDurations(), At(milliseconds(0)), std::nullopt);
}

std::vector<PromisedTerm> Granted(LogOffset term = kTermOffset) {
  return {{"geodata-1", term}};
}

// Without a log read or a promise, another leader may have a newer term.
TEST_CASE("a new term has no lease before a log read or promise") {
  LeaderLease lease = MakeLease();
  REQUIRE_FALSE(lease.active(At(milliseconds(0))));
}

// A read that was cut off may have missed a newer term.
TEST_CASE("a log read extends the lease only if it reached the end") {
  LeaderLease lease = MakeLease();
  lease.OnLogRead(At(milliseconds(100)), false, kTermOffset);
  REQUIRE_FALSE(lease.active(At(milliseconds(100))));
  lease.OnLogRead(At(milliseconds(100)), true, kTermOffset);
  REQUIRE(lease.ValidUntil() == At(milliseconds(700)));
  lease.OnLogRead(At(milliseconds(50)), true, kTermOffset);
  REQUIRE(lease.ValidUntil() == At(milliseconds(700)));
}

// Otherwise a replaced leader would continue for the rest of its lease.
TEST_CASE("a newer term ends the lease permanently") {
  LeaderLease lease = MakeLease();
  lease.OnLogRead(At(milliseconds(100)), true, kTermOffset);
  lease.OnLogRead(At(milliseconds(200)), true, kTermOffset + 1);
  REQUIRE_FALSE(lease.active(At(milliseconds(200))));
  lease.OnPromise("near.1", At(milliseconds(200)), Granted());
  lease.OnPromise("far.1", At(milliseconds(200)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(201))));
}

// The lease must end before the first promise expires at its voter.
TEST_CASE("promises of all voters extend the lease from the oldest request") {
  // Without an isolation hold, the promises of same-zone voters alone do not
  // extend the lease.
  TermState term = MakeTerm();
  term.isolation_hold = seconds(0);
  LeaderLease lease = MakeLease(term);
  lease.OnPromise("near.1", At(milliseconds(300)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(300))));
  lease.OnPromise("far.1", At(milliseconds(200)), Granted());
  REQUIRE(lease.ValidUntil() == At(milliseconds(1100)));
  REQUIRE(lease.HasAllPromises(At(milliseconds(1000))));
  REQUIRE_FALSE(lease.HasAllPromises(At(milliseconds(1200))));
  REQUIRE(lease.UnresponsiveVoters(At(milliseconds(250))) ==
          std::vector<std::string>{"far.1"});
}

// Such promises do not keep the voters of the term from claiming.
TEST_CASE("promises of non-voters or for other terms do not extend the lease") {
  LeaderLease lease = MakeLease();
  lease.OnPromise("near.1", At(milliseconds(300)), Granted(kTermOffset - 1));
  lease.OnPromise("stranger.1", At(milliseconds(300)), Granted());
  lease.OnPromise("far.1", At(milliseconds(300)), Granted());
  REQUIRE_FALSE(lease.active(At(milliseconds(300))));
}

// An other-zone claim waits only for the isolation hold of a zone that is cut
// off, so the lease must end by then.
TEST_CASE("same-zone voters alone extend the lease up to the isolation hold") {
  LeaderLease lease = MakeLease();
  lease.OnLogRead(At(milliseconds(0)), true, kTermOffset);
  for (milliseconds time(0); time <= seconds(40); time += milliseconds(250))
    lease.OnPromise("near.1", At(time), Granted());
  REQUIRE(lease.ValidUntil() == At(seconds(30)));
  lease.OnPromise("far.1", At(seconds(20)), Granted());
  REQUIRE(lease.ValidUntil() == At(milliseconds(40900)));
}

// Without voters, no promise bounds the lease; it must still end.
TEST_CASE("a term without voters has a lease from the last log read only") {
  TermState term = MakeTerm();
  term.voters.clear();
  LeaderLease lease = MakeLease(term);
  REQUIRE_FALSE(lease.active(At(milliseconds(0))));
  lease.OnLogRead(At(milliseconds(0)), true, kTermOffset);
  REQUIRE(lease.ValidUntil() == At(seconds(30)));
}

// A claimant that sends earlier could overlap with the replaced leader.
TEST_CASE("a claim becomes active after its wait and its own promise") {
  TermState term = MakeTerm(TermKind::kClaim);
  term.wait = milliseconds(606);
  LeaderLease waiting_lease(term, LeaseDurations(), At(milliseconds(1000)),
                            At(milliseconds(500)));
  REQUIRE(waiting_lease.active_from() == At(milliseconds(1606)));
  waiting_lease.OnLogRead(At(milliseconds(1300)), true, kTermOffset);
  REQUIRE_FALSE(waiting_lease.active(At(milliseconds(1605))));
  REQUIRE(waiting_lease.active(At(milliseconds(1606))));

  LeaderLease promised_lease(term, LeaseDurations(), At(milliseconds(1000)),
                             At(milliseconds(1700)));
  REQUIRE(promised_lease.active_from() == At(milliseconds(1700)));
}

// Until the outcome of a revision is read, the old or the new voters may
// replace the leader.
TEST_CASE(
    "an unresolved revision requires both voter sets and the smaller hold") {
  LeaderLease lease = MakeLease();
  lease.OnLogRead(At(milliseconds(0)), true, kTermOffset);
  lease.BeginRevision(
      {{"near.2", "falkirk-a", ""}, {"far.1", "stirling-b", ""}}, seconds(10));
  REQUIRE(lease.TermsToRequest() ==
          std::vector<PromisedTerm>{{"geodata-1", kTermOffset},
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
    TermState revised = MakeTerm(TermKind::kRevise);
    revised.term = kTermOffset + 5;
    revised.voters = {{"near.2", "falkirk-a", ""}};
    lease.FinishRevision(revised);
    REQUIRE(lease.ValidUntil() == At(milliseconds(20900)));
  }
  SECTION("the outcome is an abandon") {
    lease.AbandonRevision();
    REQUIRE(lease.RequiredVoters() == MakeTerm().voters);
  }
}

// The handover may take effect at any time, and its successor is active at
// once.
TEST_CASE("a handover ends the lease until it is abandoned") {
  LeaderLease lease = MakeLease();
  lease.OnLogRead(At(milliseconds(0)), true, kTermOffset);
  lease.BeginHandover();
  REQUIRE_FALSE(lease.active(At(milliseconds(1))));
  lease.OnLogRead(At(milliseconds(100)), true, kTermOffset);
  REQUIRE_FALSE(lease.active(At(milliseconds(101))));
  lease.AbandonHandover();
  REQUIRE(lease.active(At(milliseconds(101))));
}

}  // namespace
}  // namespace pollenrudder
