// Tests of granting promises and of their expiry.

#include "ownership/voter_promises.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

TermState CurrentTerm() {
  TermState term;
  term.upstream = "u";
  term.term = 50;
  term.leader_fence = 40;
  term.leader = "leader.1";
  return term;
}

// A promise for an older term would extend the lease of a replaced leader.
TEST_CASE("a voter grants no promise for a term older than the one it read") {
  const TermState current = CurrentTerm();
  const VoterPromises::View view{.current = &current};
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", 50}, view));
  REQUIRE(VoterPromises::MayPromise("other.1", {"u", 51}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", 50}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", 30}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", kNoOffset}, view));
}

// Otherwise a leader would lose its lease if the answer to its own revision is
// lost and the log is unavailable.
TEST_CASE("a voter that read a revision also promises the term before it") {
  const TermState current = CurrentTerm();
  const VoterPromises::View view{.current = &current};
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", 40}, view));
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", kNoOffset}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("leader.1", {"u", 39}, view));
}

// A promise would extend the lease of the leader past the wait of a claim.
TEST_CASE(
    "no promise is granted with an unresolved claim or to a lost leader") {
  const TermState current = CurrentTerm();
  REQUIRE_FALSE(VoterPromises::MayPromise(
      "leader.1", {"u", 50}, {.current = &current, .claim_unresolved = true}));
  REQUIRE_FALSE(VoterPromises::MayPromise(
      "leader.1", {"u", 50},
      {.current = &current, .leader_declared_lost = true}));
}

// On a voter whose clock runs faster, a promise without the margin would expire
// before the lease that it extends.
TEST_CASE("a promise lasts for its duration with the drift margin") {
  VoterPromises promises{LeaseDurations()};
  const BootTime start{};
  REQUIRE(promises.HasExpired("u", start));
  promises.Grant("u", milliseconds(900), start);
  REQUIRE_FALSE(promises.HasExpired("u", start + milliseconds(908)));
  REQUIRE(promises.HasExpired("u", start + milliseconds(909)));
  REQUIRE(promises.HasExpired("other", start));
  // A shorter promise leaves the expiry of a longer one unchanged.
  promises.Grant("u", milliseconds(1), start + milliseconds(10));
  REQUIRE(promises.ExpiryTime("u") == start + milliseconds(909));
  promises.RemoveUpstream("u");
  REQUIRE_FALSE(promises.ExpiryTime("u").has_value());
}

}  // namespace
}  // namespace pollenrudder
