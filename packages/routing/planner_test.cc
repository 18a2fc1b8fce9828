// Tests of Planner with a simulated service under load.

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

TEST_CASE("A balanced service has no moves") {
  PlannerSimulation simulation(8, 1024, 1);
  simulation.SetEqualRates(1000);
  CHECK(simulation.Run(seconds(120)).moves == 0);
}

// Target of docs/design.md, section 1.6: at most 1.15 x the mean under Zipf 1.0
// at the current sizes.
TEST_CASE("Zipf load is balanced to 1.15 x the mean") {
  for (const std::uint32_t upstreams : {8U, 9U, 15U}) {
    PlannerSimulation simulation(upstreams, 1024, upstreams);
    simulation.SetZipfRates(1000000, 7);
    const PlannerSimulation::Summary summary = simulation.Run(seconds(120));
    CAPTURE(upstreams, summary.moves);
    CHECK(simulation.Imbalance() <= 1.15);
  }
}

// Guards against two hot shards that stay on one upstream because neither fits
// on another upstream in addition to its load.
TEST_CASE("Two hot shards are separated") {
  PlannerSimulation simulation(15, 1024, 1);
  simulation.SetTwoHotShards(0, 15, 0.06);
  simulation.Run(seconds(120));
  CHECK(simulation.Imbalance() <= 1.15);
}

// Guards against continuous moves while the load does not change.
TEST_CASE("Steady load needs no moves once it is balanced") {
  PlannerSimulation simulation(8, 1024, 3);
  simulation.SetZipfRates(1000000, 3);
  simulation.Run(seconds(180));
  CHECK(simulation.Run(seconds(1800)).moves == 0);
}

// Guards against moves caused only by random variation of small request counts.
TEST_CASE("A balanced service with few requests has few moves") {
  PlannerSimulation simulation(15, 1024, 3);
  simulation.SetServiceRate(300);
  simulation.SetZipfRates(1000000, 3);
  simulation.Run(seconds(600));
  CHECK(simulation.Run(seconds(1800)).moves <= 20);
}

TEST_CASE("A shard does not move again within the dwell time") {
  PlannerSimulation simulation(8, 256, 5);
  simulation.settings().dwell = seconds(60);
  std::map<std::uint32_t, BootTime> moved;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    simulation.SetZipfRates(100000, seed);
    for (const PlannerSimulation::Move& move :
         simulation.Run(seconds(20)).all) {
      const auto [found, first] = moved.try_emplace(move.shard, move.at);
      if (!first) {
        CHECK(move.at - found->second >= seconds(60));
        found->second = move.at;
      }
    }
  }
  CHECK(!moved.empty());
}

TEST_CASE(
    "Upstreams without reports take no part, and leaving ones get no shards") {
  PlannerSimulation simulation(8, 1024, 1);
  simulation.SetZipfRates(1000000, 7);
  simulation.StopReports("u3");
  simulation.SetLeaving("u4");
  for (const PlannerSimulation::Move& move : simulation.Run(seconds(60)).all) {
    CHECK(move.from != "u3");
    CHECK(move.to != "u3");
    CHECK(move.to != "u4");
  }
  for (const char* name : {"u0", "u1", "u2", "u5"})
    simulation.StopReports(name);
  simulation.Run(seconds(10));
  CHECK(simulation.Run(seconds(60)).moves == 0);
}

// Guards against a planner that does not repeat lost advice, or repeats it in
// every plan while the move is in progress.
TEST_CASE("A move that does not happen is planned again later") {
  PlannerSimulation simulation(4, 64, 1);
  simulation.SetZipfRates(10000, 7);
  simulation.DropMoves(true);
  const PlannerSimulation::Summary dropped = simulation.Run(seconds(8));
  REQUIRE(dropped.moves > 0);
  std::set<std::uint32_t> shards;
  for (const PlannerSimulation::Move& move : dropped.all)
    CHECK(shards.insert(move.shard).second);
  simulation.DropMoves(false);
  simulation.Run(seconds(60));
  CHECK(simulation.Imbalance() <= 1.15);
}

TEST_CASE("Under random load, shards move to another upstream at most once") {
  rc::prop("random changes of the hottest keys", [] {
    const auto upstreams = *rc::gen::inRange<std::uint32_t>(2, 10);
    PlannerSimulation simulation(upstreams, 128, 1);
    for (int round = 0; round < 3; ++round) {
      simulation.SetZipfRates(5000, *rc::gen::arbitrary<std::uint64_t>());
      const PlannerSimulation::Summary summary = simulation.Run(seconds(30));
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
