// Tests of ColdRateLimiter, alone and in the Dispatchers of many instances.

#include "dispatch/cold_rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "dispatch/cold_deployment_test.h"
#include "dispatch/dispatcher_fixture_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// How many instances have a request for the upstream at a time.
using HasDemand = bool (*)(milliseconds time, std::mt19937_64& random);

// Returns the sends of `instances` instances to one upstream that is cold for
// `cold_time`. `count_at` is the number of instances that they know of.
std::vector<milliseconds> SimulateColdPeriod(std::uint32_t instances,
                                             double rate,
                                             milliseconds cold_time,
                                             HasDemand has_demand,
                                             std::mt19937_64& random) {
  std::uniform_real_distribution<double> phase(0, 1);
  std::vector<ColdRateLimiter> limiters(instances, ColdRateLimiter(rate));
  for (ColdRateLimiter& limiter : limiters)
    limiter.Start(At(cold_time), instances, phase(random), At(0ms));
  std::vector<milliseconds> sends;
  for (milliseconds time{0}; time < cold_time; time += 10ms) {
    for (ColdRateLimiter& limiter : limiters) {
      if (!has_demand(time, random) || At(time) < limiter.NextPermit(At(time)))
        continue;
      limiter.OnSent(At(time));
      sends.push_back(time);
    }
  }
  return sends;
}

// Load pattern: a zone returns cold. Guards against a cold upstream that
// crashes because all instances prefer it at once.
TEST_CASE("The instances together stay below what cold upstreams tolerate") {
  const HasDemand demand = GENERATE(
      // More requests than permits all the time.
      static_cast<HasDemand>(
          [](milliseconds, std::mt19937_64&) { return true; }),
      // One request in 100 ms on average.
      static_cast<HasDemand>([](milliseconds, std::mt19937_64& random) {
        return random() % 10 == 0;
      }),
      // A burst after a pause.
      static_cast<HasDemand>(
          [](milliseconds time, std::mt19937_64&) { return time > 1500ms; }));
  const std::uint32_t instances = GENERATE(8U, 63U, 87U, 295U, 770U);
  const double rate = GENERATE(1.75, 5.1);
  std::mt19937_64 random(instances);
  std::size_t sends = 0;
  for (int upstream = 0; upstream < 60; ++upstream) {
    const auto times = SimulateColdPeriod(instances, rate, 3s, demand, random);
    CHECK(static_cast<double>(BusiestSecond(times)) <= MaxPerSecond(rate));
    sends += times.size();
  }
  // The upstreams are used: a fifth of the tolerated rate or more.
  CHECK(static_cast<double>(sends) > 60 * 3 * rate / 5);
}

// Load pattern: instances are lost or added while an upstream is cold.
TEST_CASE("A change of the number of instances keeps the rate of each") {
  ColdRateLimiter limiter(2);
  REQUIRE(limiter.Start(At(20s), 4, 0, At(0ms)));
  CHECK(limiter.NextPermit(At(0ms)) == At(0ms));
  limiter.OnSent(At(0ms));
  const auto interval = limiter.NextPermit(At(0ms)) - At(0ms);
  CHECK(interval >= 2s);
  limiter.SetInstances(8);
  limiter.OnSent(At(4s));
  CHECK(limiter.NextPermit(At(4s)) == At(4s) + 2 * interval);
}

// Guards against requests that are saved up and sent together.
TEST_CASE("Permits that are not used expire") {
  ColdRateLimiter limiter(1);
  REQUIRE(limiter.Start(At(60s), 8, 0, At(0ms)));
  CHECK(limiter.NextPermit(At(400ms)) == At(400ms));
  const BootTime next = limiter.NextPermit(At(1100ms));
  CHECK(next >= At(8s));
  CHECK(limiter.NextPermit(At(7s)) == next);
}

TEST_CASE("A cold period ends, or is extended") {
  ColdRateLimiter limiter(1);
  CHECK_FALSE(limiter.IsCold(At(0ms)));
  REQUIRE(limiter.Start(At(3s), 100, 0.9, At(0ms)));
  CHECK(limiter.NextPermit(At(0ms)) == At(3s));
  CHECK_FALSE(limiter.Start(At(4s), 100, 0.9, At(1s)));
  CHECK(limiter.IsCold(At(3500ms)));
  CHECK_FALSE(limiter.IsCold(At(4s)));
  CHECK(limiter.NextPermit(At(4s)) == At(4s));
  ColdRateLimiter unlimited(0);
  CHECK_FALSE(unlimited.Start(At(3s), 100, 0.9, At(0ms)));
  CHECK(unlimited.NextPermit(At(0ms)) == At(0ms));
}

struct Deployment {
  static constexpr std::uint32_t kInstances = 60;
  static constexpr double kRate = 2;

  explicit Deployment(double rate = kRate) {
    configuration.services["soil"].max_connections = 440;
    configuration.services["soil"].cold_time = 3s;
    configuration.services["soil"].cold_rate = rate;
    for (std::uint32_t i = 0; i < kInstances; ++i)
      instances.push_back(std::make_unique<Instance>(i + 1));
  }

  void Add(const std::string& name, const std::string& zone, BootTime now) {
    ListedUpstream entry;
    entry.name = name;
    entry.service = "soil";
    entry.zone = zone;
    entry.slots = 4;
    entry.started_at = milliseconds(1);
    fleet.Apply({name, entry}, now);
  }

  void ApplyFleet(BootTime now) {
    for (auto& instance : instances)
      instance->dispatcher.SetFleet(fleet, configuration, kInstances, now);
  }

  // Each instance gets a request every 40 ms, which takes 100 ms. Records the
  // sends to upstreams whose names begin with "cold".
  void Run(milliseconds first, milliseconds last) {
    for (milliseconds time = first; time < last; time += 10ms) {
      for (std::size_t i = 0; i < instances.size(); ++i) {
        Instance& instance = *instances[i];
        if ((time.count() / 10 + static_cast<std::int64_t>(i)) % 4 == 0) {
          DispatchRequest request;
          request.id = ++next_id;
          request.service = "soil";
          request.arrived = At(time);
          request.latency_objective = 300ms;
          request.deadline = At(time + 1s);
          instance.dispatcher.Submit(request, At(time));
        }
        instance.dispatcher.Tick(At(time));
        for (const auto& [id, upstream] : instance.recorder.sent) {
          if (upstream.starts_with("cold"))
            sends[upstream].push_back(time);
          in_flight.push_back({&instance, upstream, time + 100ms});
        }
        instance.recorder.sent.clear();
      }
      std::erase_if(in_flight, [&](const auto& request) {
        if (request.ends_at > time)
          return false;
        DispatchRequest ended;
        ended.service = "soil";
        ended.latency_objective = 300ms;
        request.instance->dispatcher.OnEnded(
            ended, request.upstream, AttemptResult::kAnswered, 100ms, At(time));
        return true;
      });
    }
  }

  struct Sent {
    Instance* instance;
    std::string upstream;
    milliseconds ends_at;
  };

  RouterConfiguration configuration;
  Fleet fleet;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<Sent> in_flight;
  std::map<std::string, std::vector<milliseconds>> sends;
  std::uint64_t next_id = 0;
};

// Load pattern: a zone returns cold, by a start of all its upstreams or at the
// end of its evacuation. Guards as above, with the choices of real Dispatchers.
TEST_CASE("Dispatchers divide the requests to the cold upstreams of a zone") {
  const bool is_limited = GENERATE(true, false);
  const bool is_evacuated = GENERATE(true, false);
  Deployment deployment(is_limited ? Deployment::kRate : 0);
  const auto add_cold = [&](milliseconds time) {
    for (int i = 0; i < 12; ++i)
      deployment.Add("cold" + std::to_string(i), "a1", At(time));
  };
  for (int i = 0; i < 12; ++i)
    deployment.Add("warm" + std::to_string(i), "a2", At(0ms));
  if (is_evacuated) {
    add_cold(0ms);
    deployment.fleet.SetEvacuatedZones({"a1"});
  }
  deployment.ApplyFleet(At(0ms));
  deployment.Run(0ms, 6000ms);
  CHECK(deployment.sends.empty());
  add_cold(6000ms);
  deployment.fleet.SetEvacuatedZones({});
  deployment.ApplyFleet(At(6000ms));
  deployment.Run(6000ms, 8900ms);
  CHECK(deployment.sends.size() > 6);
  std::size_t most = 0;
  for (const auto& [name, times] : deployment.sends)
    most = std::max(most, BusiestSecond(times));
  // Without the limit, the load would be too high.
  CHECK((static_cast<double>(most) <= MaxPerSecond(Deployment::kRate)) ==
        is_limited);
  // Afterwards they get their part.
  deployment.sends.clear();
  deployment.Run(8900ms, 12000ms);
  CHECK(deployment.sends.size() == 12);
}

// Load pattern: a zone returns cold just after the grant leader has restarted,
// which then counts only the few instances that have reported to it. Guards
// against instances that divide the rate by that number.
TEST_CASE("A number of instances that drops for a moment raises no rate") {
  Deployment deployment;
  for (int i = 0; i < 12; ++i)
    deployment.Add("warm" + std::to_string(i), "a2", At(0ms));
  deployment.ApplyFleet(At(0ms));
  deployment.Run(0ms, 6000ms);
  for (auto& instance : deployment.instances) {
    instance->dispatcher.SetFleet(deployment.fleet, deployment.configuration, 2,
                                  At(6000ms));
  }
  for (int i = 0; i < 12; ++i)
    deployment.Add("cold" + std::to_string(i), "a1", At(6000ms));
  for (auto& instance : deployment.instances) {
    instance->dispatcher.SetFleet(deployment.fleet, deployment.configuration, 2,
                                  At(6000ms));
  }
  deployment.Run(6000ms, 6500ms);
  deployment.ApplyFleet(At(6500ms));
  deployment.Run(6500ms, 8900ms);
  CHECK(deployment.sends.size() > 6);
  for (const auto& [name, times] : deployment.sends) {
    CHECK(static_cast<double>(BusiestSecond(times)) <=
          MaxPerSecond(Deployment::kRate));
  }
}

// Guards against cold upstreams that stay nearly unused after a deployment has
// shrunk.
TEST_CASE("A number of instances that stays low is used") {
  DispatcherFixture fixture;
  fixture.configuration.services["soil"].cold_time = 3s;
  fixture.configuration.services["soil"].cold_rate = 5;
  fixture.Add("warm", "a2", 1);
  fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 700,
                              At(6s));
  fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 1, At(7s));
  ListedUpstream entry = *fixture.fleet.Find("warm");
  entry.name = "cold";
  entry.zone = "a1";
  entry.slots = 8;
  fixture.fleet.Apply({"cold", entry}, At(30s));
  fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 1, At(30s));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const BootTime now = At(30s + milliseconds(id * 100));
    fixture.dispatcher.Submit(fixture.Request(id, now), now);
    fixture.dispatcher.Tick(now);
  }
  CHECK(fixture.recorder.CountTo("cold") >= 3);
}

// Guards against a rush to an upstream that the list shows to have become cold
// again.
TEST_CASE("Dispatcher limits requests to an upstream that becomes cold") {
  Deployment deployment;
  deployment.Add("cold", "a1", At(0ms));
  deployment.Add("warm", "a1", At(0ms));
  deployment.ApplyFleet(At(0ms));
  deployment.Run(0ms, 6000ms);
  ListedUpstream entry = *deployment.fleet.Find("cold");
  entry.cold_remaining = 3s;
  CHECK(deployment.fleet.Apply({"cold", entry}, At(6000ms)));
  deployment.ApplyFleet(At(6000ms));
  deployment.sends.clear();
  deployment.Run(6000ms, 8900ms);
  CHECK(static_cast<double>(BusiestSecond(deployment.sends["cold"])) <=
        MaxPerSecond(Deployment::kRate));
}

// Guards against requests that are written without a permit because the
// upstream became cold while their connections were being opened: each instance
// may have several.
TEST_CASE("A request that was on its way to a cold upstream is not written") {
  DispatcherFixture fixture;
  fixture.configuration.services["soil"].cold_time = 3s;
  fixture.configuration.services["soil"].cold_rate = 2;
  fixture.Add("own", "a1", 4);
  ListedUpstream entry = *fixture.fleet.Find("own");
  CHECK_FALSE(fixture.dispatcher.HasBecomeCold(entry, At(5990ms), At(6000ms)));
  ListedUpstream cold = entry;
  cold.cold_remaining = 3s;
  fixture.fleet.Apply({"own", cold}, At(6000ms));
  fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 4,
                              At(6000ms));
  CHECK(fixture.dispatcher.HasBecomeCold(entry, At(5990ms), At(6010ms)));
  // Chosen with a permit.
  CHECK_FALSE(fixture.dispatcher.HasBecomeCold(entry, At(6000ms), At(6010ms)));
  CHECK_FALSE(fixture.dispatcher.HasBecomeCold(entry, At(5990ms), At(9010ms)));
}

// Guards against requests that wait for an owner that is cold for longer than
// they can.
TEST_CASE("Dispatcher refuses at once what a cold owner cannot get in time") {
  DispatcherFixture fixture;
  fixture.configuration.services["soil"].cold_time = 3s;
  fixture.configuration.services["soil"].cold_rate = 0.5;
  const KeyTable table = fixture.AddOwnerOfAllKeys("owner");
  fixture.dispatcher.SetKeyTable("soil", &table, At(0ms));
  ListedUpstream entry = *fixture.fleet.Find("owner");
  entry.cold_remaining = 3s;
  fixture.fleet.Apply({"owner", entry}, At(6000ms));
  fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 100,
                              At(6000ms));
  CHECK(fixture.recorder.cold == std::vector<std::string>{"owner"});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    DispatchRequest request = fixture.Request(id, At(6010ms));
    request.key = 5;
    fixture.dispatcher.Submit(request, At(6010ms));
  }
  CHECK(fixture.recorder.refused.size() >= 2);
  for (const auto& refusal : fixture.recorder.refused)
    CHECK(refusal.retry_after >= 1s);
}

}  // namespace
}  // namespace pollenrudder
