// Tests of Controller: leadership over several instances.

#include "ownership/controller.h"

#include <catch2/catch.hpp>

#include "controller_fixture_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

void StartZone(ControllerFixture& fixture, int instances = 3) {
  for (int number = 1; number <= instances; ++number)
    fixture.AddInstance("a" + std::to_string(number), "a");
  for (const char* upstream : {"u1", "u2", "u3", "u4"})
    fixture.AddUpstream(upstream, "geodata", "a");
  fixture.Publish("ground", ShardedSection("ground", "geodata", 16));
}

TEST_CASE("upstreams get leaders and every shard gets an owner") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  REQUIRE(fixture.violations().empty());
}

// Guards the target of section 3: served again within 2 s of a loss.
TEST_CASE("a voter takes over from a lost leader within two seconds") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Run(3s);
  const std::string leader = fixture.Sender("u1");
  fixture.Kill(leader);
  REQUIRE_FALSE(fixture.AllServed("geodata"));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 2s));
  REQUIRE(fixture.Sender("u1") != leader);
  REQUIRE(fixture.violations().empty());
}

}  // namespace
}  // namespace pollenrudder
