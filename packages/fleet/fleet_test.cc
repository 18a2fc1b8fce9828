// Tests of Fleet.

#include "fleet/fleet.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(time);
}

ListedUpstream Entry(std::string name) {
  ListedUpstream entry;
  entry.name = std::move(name);
  entry.service = "geodata";
  entry.address = "127.0.0.1:1";
  entry.started_at = 5ms;
  return entry;
}

// A removal that follows an outage of the list must not take out an upstream
// whose entry lapsed only because the list was away.
TEST_CASE("Fleet keeps a lapsed entry for a while after an outage") {
  Fleet fleet;
  fleet.Apply({"a", Entry("a")}, At(0ms));
  fleet.OnListAvailable(At(1000ms));
  CHECK_FALSE(fleet.Apply({"a", std::nullopt}, At(1100ms)));
  CHECK(fleet.Find("a") != nullptr);
  SECTION("one that comes back stays") {
    CHECK_FALSE(fleet.Apply({"a", Entry("a")}, At(2000ms)));
    CHECK_FALSE(fleet.ApplyDueRemovals(At(5000ms)));
    CHECK(fleet.Find("a") != nullptr);
  }
  SECTION("one that stays away is removed after the pause") {
    CHECK_FALSE(fleet.ApplyDueRemovals(At(2900ms)));
    CHECK(fleet.ApplyDueRemovals(At(3000ms)));
    CHECK(fleet.Find("a") == nullptr);
  }
}

// An upstream that announced its end must get no work after its entry is gone,
// also right after an outage.
TEST_CASE("Fleet removes a leaving upstream at once") {
  Fleet fleet;
  ListedUpstream entry = Entry("a");
  entry.leaving = true;
  fleet.Apply({"a", entry}, At(0ms));
  fleet.OnListAvailable(At(0ms));
  CHECK(fleet.Apply({"a", std::nullopt}, At(10ms)));
  CHECK(fleet.Find("a") == nullptr);
}

TEST_CASE("Fleet reports only changes that matter for routing") {
  Fleet fleet;
  CHECK(fleet.Apply({"a", Entry("a")}, At(0ms)));
  CHECK_FALSE(fleet.Apply({"a", Entry("a")}, At(1ms)));
  ListedUpstream reborn = Entry("a");
  reborn.started_at = 9ms;
  CHECK(fleet.Apply({"a", reborn}, At(2ms)));
  CHECK(fleet.Replace({Entry("b")}, At(3ms)));
  CHECK(fleet.Find("a") == nullptr);
  CHECK(fleet.Find("b") != nullptr);
}

}  // namespace
}  // namespace pollenrudder
