// Property test of GrantCoordinator in a deployment with relays.

#include <cstdint>

#include <catch2/catch.hpp>

#include "grants/relay_simulation.h"

namespace pollenrudder {
namespace {

constexpr int kRuns = 300;

// Guards against two owners of one key, and against an instance that takes an
// incomplete table for the state of the log: such an instance would grant keys
// to former owners as the next leader.
TEST_CASE("GrantCoordinator keeps one owner a key with relays") {
  double served = 0;
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    RelaySimulation simulation(seed);
    INFO("seed " << seed);
    REQUIRE(simulation.Run() == "");
    served += simulation.served_share();
  }
  // Without this check, the test would pass if no key were ever granted.
  INFO("served " << served / kRuns);
  CHECK(served / kRuns > 0.25);
}

// Guards against two owners of one key, keys that stay without an owner, and an
// instance with the state of an earlier epoch, when the log is replaced by an
// earlier copy: acknowledged records are lost, while upstreams hold grants
// because of them.
TEST_CASE(
    "GrantCoordinator with relays keeps one owner a key when the log is "
    "restored") {
  double served = 0;
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    RelaySimulation simulation(seed, {.restores_log = true});
    INFO("seed " << seed);
    REQUIRE(simulation.Run() == "");
    served += simulation.served_share();
  }
  INFO("served " << served / kRuns);
  CHECK(served / kRuns > 0.25);
}

// Guards against two owners of one key after the log lost the term of a second
// leader, which had moved keys of upstreams that did not answer it: the former
// leader must not continue with grants that it no longer knows.
TEST_CASE(
    "GrantCoordinator with relays keeps one owner a key when a takeover is "
    "lost") {
  double served = 0;
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    RelaySimulation simulation(seed, {.loses_takeover = true});
    INFO("seed " << seed);
    REQUIRE(simulation.Run() == "");
    served += simulation.served_share();
  }
  INFO("served " << served / kRuns);
  CHECK(served / kRuns > 0.25);
}

}  // namespace
}  // namespace pollenrudder
