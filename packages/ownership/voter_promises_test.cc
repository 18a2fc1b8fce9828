// Tests of VoterPromises.

#include "ownership/voter_promises.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

TermState Current() {
  TermState term;
  term.upstream = "u";
  term.term = 50;
  term.leader_fence = 40;
  term.leader = "leader.1";
  return term;
}

// Guards against a promise that extends the lease of a deposed leader.
TEST_CASE("a voter promises no term older than the one it knows") {
  const TermState current = Current();
  const VoterPromises::View view{.current = &current};
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", 50}, view));
  REQUIRE(VoterPromises::MayPromise("other.1", {"u", 51}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", 50}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", 30}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("other.1", {"u", kNoOffset}, view));
}

// Guards against a leader that loses its lease because the answer to its own
// revise was lost and the log is down.
TEST_CASE("a voter that has read a revise promises the older term too") {
  const TermState current = Current();
  const VoterPromises::View view{.current = &current};
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", 40}, view));
  REQUIRE(VoterPromises::MayPromise("leader.1", {"u", kNoOffset}, view));
  REQUIRE_FALSE(VoterPromises::MayPromise("leader.1", {"u", 39}, view));
}

// Guards against a lease that goes on while the wait of a claim is running.
TEST_CASE("an unresolved claim or a declaration rules out a promise") {
  const TermState current = Current();
  REQUIRE_FALSE(VoterPromises::MayPromise(
      "leader.1", {"u", 50}, {.current = &current, .claim_unresolved = true}));
  REQUIRE_FALSE(VoterPromises::MayPromise(
      "leader.1", {"u", 50},
      {.current = &current, .leader_declared_lost = true}));
}

// Guards against a voter whose clock runs faster than the leader's.
TEST_CASE("a promise lasts for the lengthened duration") {
  VoterPromises book{LeaseDurations()};
  const BootTime start{};
  REQUIRE(book.HasExpired("u", start));
  book.Grant("u", milliseconds(900), start);
  REQUIRE_FALSE(book.HasExpired("u", start + milliseconds(908)));
  REQUIRE(book.HasExpired("u", start + milliseconds(909)));
  REQUIRE(book.HasExpired("other", start));
  // A shorter promise doesn't end a longer one.
  book.Grant("u", milliseconds(1), start + milliseconds(10));
  REQUIRE(book.ExpiryTime("u") == start + milliseconds(909));
  book.RemoveUpstream("u");
  REQUIRE_FALSE(book.ExpiryTime("u").has_value());
}

}  // namespace
}  // namespace pollenrudder
