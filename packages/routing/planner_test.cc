// Tests of Planner against a small model of a service under load.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "routing/planner.h"
#include "routing/planner_simulation.h"

namespace pollenrudder {
namespace {

using std::chrono::seconds;

TEST_CASE("A balanced service is left alone") {
  PlannerSimulation model(8, 1024, 1);
  model.SetEqualRates(1000);
  CHECK(model.Run(seconds(120)).moves == 0);
}

// The target of section 1.6: 1.15 x the mean under Zipf 1.0, current sizes.
TEST_CASE("Zipf load is balanced to 1.15 x the mean") {
  for (const std::uint32_t upstreams : {8U, 9U, 15U}) {
    PlannerSimulation model(upstreams, 1024, upstreams);
    model.SetZipfRates(1000000, 7);
    const PlannerSimulation::Summary summary = model.Run(seconds(120));
    CAPTURE(upstreams, summary.moves);
    CHECK(model.Imbalance() <= 1.15);
  }
}

// Guards against two hot shards that stay on one upstream since neither fits
// beside the load of another.
TEST_CASE("Two hot shards are separated") {
  PlannerSimulation model(15, 1024, 1);
  model.SetTwoHotShards(0, 15, 0.06);
  model.Run(seconds(120));
  CHECK(model.Imbalance() <= 1.15);
}

// Guards against a storm: moves end when the load does not change.
TEST_CASE("Steady load needs no moves once it is balanced") {
  PlannerSimulation model(8, 1024, 3);
  model.SetZipfRates(1000000, 3);
  model.Run(seconds(180));
  CHECK(model.Run(seconds(1800)).moves == 0);
}

// Guards against moves that only follow the noise of small counts.
TEST_CASE("A service with few requests is left alone once it is balanced") {
  PlannerSimulation model(15, 1024, 3);
  model.SetServiceRate(300);
  model.SetZipfRates(1000000, 3);
  model.Run(seconds(600));
  CHECK(model.Run(seconds(1800)).moves <= 20);
}

TEST_CASE("A shard stays for the dwell time") {
  PlannerSimulation model(8, 256, 5);
  model.settings().dwell = seconds(60);
  std::map<std::uint32_t, BootTime> moved;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    model.SetZipfRates(100000, seed);
    for (const PlannerSimulation::Move& move : model.Run(seconds(20)).all) {
      const auto [found, first] = moved.try_emplace(move.shard, move.at);
      if (!first) {
        CHECK(move.at - found->second >= seconds(60));
        found->second = move.at;
      }
    }
  }
  CHECK(!moved.empty());
}

TEST_CASE("Upstreams without a report or leaving take no part") {
  PlannerSimulation model(8, 1024, 1);
  model.SetZipfRates(1000000, 7);
  model.StopReports("u3");
  model.SetLeaving("u4");
  for (const PlannerSimulation::Move& move : model.Run(seconds(60)).all) {
    CHECK(move.from != "u3");
    CHECK(move.to != "u3");
    CHECK(move.to != "u4");
  }
  for (const char* name : {"u0", "u1", "u2", "u5"})
    model.StopReports(name);
  model.Run(seconds(10));
  CHECK(model.Run(seconds(60)).moves == 0);
}

// Guards against a planner that gives a lost advice up, or repeats it at every
// plan while the move is under way.
TEST_CASE("A move that does not happen is planned again later") {
  PlannerSimulation model(4, 64, 1);
  model.SetZipfRates(10000, 7);
  model.DropMoves(true);
  const PlannerSimulation::Summary dropped = model.Run(seconds(8));
  REQUIRE(dropped.moves > 0);
  std::set<std::uint32_t> shards;
  for (const PlannerSimulation::Move& move : dropped.all)
    CHECK(shards.insert(move.shard).second);
  model.DropMoves(false);
  model.Run(seconds(60));
  CHECK(model.Imbalance() <= 1.15);
}

TEST_CASE("Random loads") {
  rc::prop("moves go from a busier to a less busy upstream", [] {
    const auto upstreams = *rc::gen::inRange<std::uint32_t>(2, 10);
    PlannerSimulation model(upstreams, 128, 1);
    for (int round = 0; round < 3; ++round) {
      model.SetZipfRates(5000, *rc::gen::arbitrary<std::uint64_t>());
      const PlannerSimulation::Summary summary = model.Run(seconds(30));
      std::map<std::uint32_t, int> counts;
      for (const PlannerSimulation::Move& move : summary.all) {
        RC_ASSERT(move.from != move.to);
        RC_ASSERT(++counts[move.shard] == 1);
      }
    }
  });
}

}  // namespace
}  // namespace pollenrudder
