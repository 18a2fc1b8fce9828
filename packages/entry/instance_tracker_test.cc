// Tests of InstanceTracker.

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

// Guards against a transfer of leadership to an instance that is gone or has
// few cores.
TEST_CASE("InstanceTracker ignores instances that stopped reporting") {
  InstanceTracker tracker;
  CHECK(tracker.WithMostCores(At(0ms)) == nullptr);
  CHECK(tracker.OnLoadReport(From("a-1", "a", 0.5), "1", At(0ms)));
  CHECK(tracker.OnLoadReport(From("a-2", "a", 0.1), "2", At(0ms)));
  REQUIRE(tracker.WithMostCores(At(10ms)) != nullptr);
  CHECK(tracker.WithMostCores(At(10ms))->instance == "a-1");
  CHECK_FALSE(tracker.OnLoadReport(From("a-2", "a", 0.1), "2", At(4000ms)));
  CHECK(tracker.WithMostCores(At(5000ms))->instance == "a-2");
  CHECK(tracker.WithMostCores(At(5000ms))->first_report == At(0ms));
  CHECK(tracker.Addresses(At(5000ms)) == std::vector<std::string>{"2"});
  CHECK(tracker.AddressOf("a-1") == "1");
  CHECK_FALSE(tracker.AddressOf("b-1"));
  // An instance that reports again after the timeout counts as new.
  CHECK(tracker.OnLoadReport(From("a-1", "a", 0.5), "1", At(6000ms)));
  CHECK(tracker.WithMostCores(At(6000ms))->first_report == At(6000ms));
}

// Guards against a slow configuration fetch: a source with few cores would
// delay a large configuration for its whole availability zone.
TEST_CASE(
    "InstanceTracker spreads sources over the largest instances of a zone") {
  InstanceTracker tracker;
  tracker.OnLoadReport(From("a-1", "a", 0.1), "1", At(0ms));
  tracker.OnLoadReport(From("a-2", "a", 0.5), "2", At(0ms));
  tracker.OnLoadReport(From("a-3", "a", 0.5), "3", At(0ms));
  tracker.OnLoadReport(From("b-1", "b", 0.1), "4", At(0ms));
  std::set<std::string> chosen;
  for (std::uint64_t rotation = 0; rotation < 4; ++rotation) {
    const auto sources = tracker.OnePerZone(rotation, At(10ms));
    REQUIRE(sources.size() == 2);
    CHECK(sources.at("b") == "4");
    chosen.insert(sources.at("a"));
  }
  CHECK(chosen == std::set<std::string>{"2", "3"});
  CHECK(tracker.OnePerZone(0, At(5000ms)).empty());
}

}  // namespace
}  // namespace pollenrudder
