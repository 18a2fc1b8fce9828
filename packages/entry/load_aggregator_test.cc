// Tests of LoadAggregator.

#include "entry/load_aggregator.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "entry/instance_tracker.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(100s + time);
}

LoadReport Report(const std::string& instance,
                  std::vector<KeyNumber> keys,
                  ServiceLoad::UpstreamShare share) {
  LoadReport report;
  report.instance = instance;
  report.services["soil"].keys = std::move(keys);
  report.services["soil"].upstreams["u-1"] = share;
  return report;
}

using Services = std::map<std::string, ServiceLoad, std::less<>>;

// Guards against a hot key that the leader does not see because the relay of a
// zone counts a request twice or not at all.
TEST_CASE("LoadAggregator passes each request on once") {
  LoadAggregator aggregator;
  aggregator.Add(Report("a-1", {1, 2}, {2, 5}), At(0ms));
  aggregator.Add(Report("a-2", {2}, {1, 1}), At(10ms));
  Services services;
  services["soil"].keys = {9};
  services["soil"].upstreams["u-1"] = {1, 1};
  aggregator.AddTo(services, At(20ms));
  CHECK(services["soil"].keys == std::vector<KeyNumber>{9, 1, 2, 2});
  CHECK(services["soil"].upstreams["u-1"].outstanding == 4);
  CHECK(services["soil"].upstreams["u-1"].answered == 7);

  Services next;
  aggregator.AddTo(next, At(30ms));
  CHECK(next["soil"].keys.empty());
  CHECK(next["soil"].upstreams["u-1"].outstanding == 3);
  CHECK(next["soil"].upstreams["u-1"].answered == 0);
}

// Guards against keys that stay with a leaving upstream because the relay of a
// zone drops what its members learned.
TEST_CASE("LoadAggregator passes on which upstreams are leaving") {
  LoadAggregator aggregator;
  LoadReport report;
  report.instance = "a-1";
  report.services["soil"].leaving = {{"u-1", 1ms}};
  aggregator.Add(report, At(0ms));
  report.instance = "a-2";
  aggregator.Add(report, At(10ms));
  Services services;
  aggregator.AddTo(services, At(20ms));
  REQUIRE(services.contains("soil"));
  CHECK(services["soil"].leaving ==
        std::vector<UpstreamIncarnation>{{"u-1", 1ms}});
}

// Guards against requests in flight that count forever, so that their upstream
// looks busy and gets no keys.
TEST_CASE("LoadAggregator forgets requests that ended or whose instance left") {
  LoadAggregator aggregator;
  aggregator.Add(Report("a-1", {}, {2, 0}), At(0ms));
  aggregator.Add(Report("a-2", {}, {3, 0}), At(0ms));
  Services services;
  aggregator.AddTo(services, At(0ms));
  CHECK(services["soil"].upstreams["u-1"].outstanding == 5);
  aggregator.Add(Report("a-1", {}, {0, 2}), At(100ms));
  services.clear();
  aggregator.AddTo(services, At(100ms));
  CHECK(services["soil"].upstreams["u-1"].outstanding == 3);
  services.clear();
  const auto later = At(100ms) + InstanceTracker::kReportTimeout;
  aggregator.AddTo(services, later);
  REQUIRE(services["soil"].upstreams.contains("u-1"));
  CHECK(services["soil"].upstreams["u-1"].outstanding == 0);
  services.clear();
  aggregator.AddTo(services, later);
  CHECK(services.empty());
}

// Guards against an ended upstream that the leader does not learn of.
TEST_CASE("LoadAggregator names each ended upstream once a report") {
  LoadAggregator aggregator;
  LoadReport report = Report("a-1", {}, {0, 0});
  report.services["soil"].replaced = {{"u-9", 4ms}};
  aggregator.Add(report, At(0ms));
  report.instance = "a-2";
  aggregator.Add(report, At(0ms));
  Services services;
  aggregator.AddTo(services, At(0ms));
  CHECK(services["soil"].replaced ==
        std::vector<UpstreamIncarnation>{{"u-9", 4ms}});
}

}  // namespace
}  // namespace pollenrudder
