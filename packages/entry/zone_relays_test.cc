// Tests of ZoneRelays.

#include "entry/zone_relays.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kMany = 100;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(100s + time);
}

LoadReport From(const std::string& instance,
                const std::string& zone,
                double cores) {
  return {instance, zone, cores, {}};
}

ZoneRelays LeaderInZoneA() {
  return ZoneRelays(From("a-0", "a", 0.5), "a0");
}

// Guards against an extra hop in small deployments, where the leader reaches
// all instances easily.
TEST_CASE("ZoneRelays has no relays for few instances") {
  InstanceTracker tracker;
  tracker.OnLoadReport(From("b-1", "b", 0.5), "b1", At(0ms));
  ZoneRelays relays = LeaderInZoneA();
  CHECK(
      relays.Choose(tracker, ZoneRelays::kMaxDirectInstances, At(0ms)).empty());
  CHECK(relays.RelayOf("b").empty());
}

// Guards against a relay with few cores, which would delay the updates of its
// whole zone, and against relays that change with each update.
TEST_CASE("ZoneRelays takes the strongest of each zone and keeps it") {
  InstanceTracker tracker;
  tracker.OnLoadReport(From("a-1", "a", 0.1), "a1", At(0ms));
  tracker.OnLoadReport(From("b-1", "b", 0.1), "b1", At(0ms));
  ZoneRelays relays = LeaderInZoneA();
  CHECK(relays.Choose(tracker, kMany, At(0ms)) ==
        ZoneRelays::Addresses{{"a", "a0"}, {"b", "b1"}});
  tracker.OnLoadReport(From("b-2", "b", 0.5), "b2", At(10ms));
  CHECK(relays.Choose(tracker, kMany, At(20ms)).at("b") == "b2");
  tracker.OnLoadReport(From("b-3", "b", 0.5), "b3", At(30ms));
  CHECK(relays.Choose(tracker, kMany, At(40ms)).at("b") == "b2");
  // The leader leaves the role in its own zone to an instance as strong.
  tracker.OnLoadReport(From("a-2", "a", 0.5), "a2", At(50ms));
  CHECK(relays.Choose(tracker, kMany, At(60ms)).at("a") == "a2");
}

// Guards against a zone that reads the store for as long as its lost relay is
// still named.
TEST_CASE("ZoneRelays replaces a relay that no longer reports") {
  InstanceTracker tracker;
  tracker.OnLoadReport(From("b-1", "b", 0.5), "b1", At(0ms));
  ZoneRelays relays = LeaderInZoneA();
  CHECK(relays.Choose(tracker, kMany, At(0ms)).at("b") == "b1");
  tracker.OnLoadReport(From("b-2", "b", 0.1), "b2", At(6000ms));
  CHECK(relays.Choose(tracker, kMany, At(6000ms)).at("b") == "b2");
}

// Guards against a strong instance that is never a relay because the leader
// hears of it only through the present, weak relay.
TEST_CASE("ZoneRelays finds a stronger instance that a relay reports") {
  InstanceTracker tracker;
  LoadReport report = From("b-1", "b", 0.1);
  report.instances = 12;
  report.strongest_member = {"b-2", "b2", 0.5};
  tracker.OnLoadReport(report, "b1", At(0ms));
  CHECK(tracker.CountInstances(At(0ms)) == 12);
  CHECK(tracker.Addresses(At(0ms)) == std::vector<std::string>{"b1"});
  ZoneRelays relays = LeaderInZoneA();
  CHECK(relays.Choose(tracker, kMany, At(0ms)).at("b") == "b2");
}

}  // namespace
}  // namespace pollenrudder
