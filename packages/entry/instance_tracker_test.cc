// Tests of Reporters.

#include "entry/instance_tracker.h"

#include <chrono>
#include <set>
#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(100s + time);
}

LoadReport From(const std::string& instance,
                const std::string& zone,
                double cores) {
  return {instance, zone, cores, {}};
}

// Guards against a duty that goes to an instance that is gone or weak.
TEST_CASE("Reporters knows the strongest instance that still reports") {
  InstanceTracker reporters;
  CHECK(reporters.WithMostCores(At(0ms)) == nullptr);
  CHECK(reporters.OnLoadReport(From("a-1", "a", 0.5), "1", At(0ms)));
  CHECK(reporters.OnLoadReport(From("a-2", "a", 0.1), "2", At(0ms)));
  REQUIRE(reporters.WithMostCores(At(10ms)) != nullptr);
  CHECK(reporters.WithMostCores(At(10ms))->instance == "a-1");
  CHECK_FALSE(reporters.OnLoadReport(From("a-2", "a", 0.1), "2", At(4000ms)));
  CHECK(reporters.WithMostCores(At(5000ms))->instance == "a-2");
  CHECK(reporters.WithMostCores(At(5000ms))->first_report == At(0ms));
  CHECK(reporters.Addresses(At(5000ms)) == std::vector<std::string>{"2"});
  CHECK(reporters.AddressOf("a-1") == "1");
  CHECK_FALSE(reporters.AddressOf("b-1"));
  // After a gap it counts as new.
  CHECK(reporters.OnLoadReport(From("a-1", "a", 0.5), "1", At(6000ms)));
  CHECK(reporters.WithMostCores(At(6000ms))->first_report == At(6000ms));
}

// Load pattern: a large configuration that a whole zone needs. A weak link
// would make all of the zone wait.
TEST_CASE("Reporters spreads the choice over the strongest of a zone") {
  InstanceTracker reporters;
  reporters.OnLoadReport(From("a-1", "a", 0.1), "1", At(0ms));
  reporters.OnLoadReport(From("a-2", "a", 0.5), "2", At(0ms));
  reporters.OnLoadReport(From("a-3", "a", 0.5), "3", At(0ms));
  reporters.OnLoadReport(From("b-1", "b", 0.1), "4", At(0ms));
  std::set<std::string> chosen;
  for (std::uint64_t turn = 0; turn < 4; ++turn) {
    const auto sources = reporters.OnePerZone(turn, At(10ms));
    REQUIRE(sources.size() == 2);
    CHECK(sources.at("b") == "4");
    chosen.insert(sources.at("a"));
  }
  CHECK(chosen == std::set<std::string>{"2", "3"});
  CHECK(reporters.OnePerZone(0, At(5000ms)).empty());
}

}  // namespace
}  // namespace pollenrudder
