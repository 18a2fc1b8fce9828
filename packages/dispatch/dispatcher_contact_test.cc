// Tests of the requests to cold upstreams from instances that know different
// things, because some of them are cut off from the instance list and the
// evacuations, or were until a moment ago.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "dispatch/cold_deployment_test.h"
#include "dispatch/dispatcher_fixture_test.h"
#include "dispatch/divided_deployment_test.h"
#include "fleet/fleet_contact.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Guards against cold upstreams that crash because instances that are cut off
// take them for warm.
TEST_CASE("Instances that are cut off ask before they use their full rate") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 63U, 295U, 770U);
  options.share_cut_off = GENERATE(0.2, 0.6, 1.0);
  options.rate = GENERATE(2.0, 5.1);
  options.confirms = GENERATE(true, false);
  DividedDeployment deployment(options);
  deployment.RunThroughEvacuation();
  deployment.Run(DividedDeployment::kEvacuationEnd,
                 DividedDeployment::kColdUntil);
  INFO(deployment.Numbers());
  CHECK(deployment.IsWithinBound());
  CHECK(deployment.confirmations() > 0);
  // The warm upstreams get what the cold ones cannot.
  CHECK(deployment.warm_while_cut_off() > deployment.new_while_cut_off() / 2);
}

// Guards against a simulation whose load is too low to show anything.
TEST_CASE(
    "Instances that are cut off and do not know it flood cold upstreams") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 63U, 295U, 770U);
  options.share_cut_off = GENERATE(0.2, 0.6, 1.0);
  options.rate = GENERATE(2.0, 5.1);
  options.tracks_contact = false;
  DividedDeployment deployment(options);
  deployment.RunThroughEvacuation();
  deployment.Run(DividedDeployment::kEvacuationEnd,
                 DividedDeployment::kColdUntil);
  INFO(deployment.Numbers());
  CHECK_FALSE(deployment.IsWithinBound());
}

// Guards against instances that take the upstreams of a zone for warm when they
// reach the list again, because they missed that the zone was evacuated.
TEST_CASE("Instances that are no longer cut off ask for the cold time") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 63U, 295U, 770U);
  options.share_cut_off = GENERATE(0.2, 0.6, 1.0);
  options.rate = GENERATE(2.0, 5.1);
  options.tracks_contact = GENERATE(true, false);
  const milliseconds healed =
      DividedDeployment::kEvacuationEnd - GENERATE(0ms, 500ms);
  DividedDeployment deployment(options);
  deployment.Run(0ms, DividedDeployment::kEvacuation);
  deployment.SetEvacuated(true, DividedDeployment::kEvacuation);
  deployment.Run(DividedDeployment::kEvacuation, healed);
  // At the end of the evacuation, its end is all they get to know.
  if (healed == DividedDeployment::kEvacuationEnd)
    deployment.SetEvacuated(false, healed);
  deployment.Reconnect(healed);
  if (healed < DividedDeployment::kEvacuationEnd) {
    deployment.Run(healed, DividedDeployment::kEvacuationEnd);
    deployment.SetEvacuated(false, DividedDeployment::kEvacuationEnd);
  }
  deployment.Run(DividedDeployment::kEvacuationEnd,
                 DividedDeployment::kColdUntil);
  INFO("healed at " << healed.count() << " ms: " << deployment.Numbers());
  CHECK(deployment.IsWithinBound() == options.tracks_contact);
}

// Guards against instances that have just started and take the upstreams of a
// zone for warm, because they never heard of its evacuation.
TEST_CASE("Instances that have just started ask for the cold time") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 63U, 295U, 770U);
  options.rate = GENERATE(2.0, 5.1);
  options.tracks_contact = GENERATE(true, false);
  options.confirms = GENERATE(true, false);
  DividedDeployment deployment(options);
  deployment.RunThroughEvacuation();
  deployment.RestartThird(DividedDeployment::kEvacuationEnd);
  deployment.Run(DividedDeployment::kEvacuationEnd,
                 DividedDeployment::kColdUntil);
  INFO(deployment.Numbers());
  CHECK(deployment.IsWithinBound() == options.tracks_contact);
}

// Guards against instances that divide the rate by too small a number, because
// the others were not counted while they were cut off.
TEST_CASE("Instances that count only themselves keep the bound together") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 63U, 295U, 770U);
  options.share_cut_off = GENERATE(0.2, 0.6, 0.8);
  options.rate = GENERATE(2.0, 5.1);
  options.counts_cut_off = false;
  // Failures are rare: a few of 2928 deployments.
  options.seed = GENERATE(range(0U, 61U));
  const bool is_evacuated = GENERATE(true, false);
  DividedDeployment deployment(options);
  deployment.Reconnect(0ms);
  if (is_evacuated) {
    deployment.RunThroughEvacuation();
  } else {
    deployment.Run(0ms, DividedDeployment::kColdFrom);
    deployment.ListAsCold(DividedDeployment::kColdFrom);
    deployment.Run(DividedDeployment::kColdFrom,
                   DividedDeployment::kEvacuationEnd);
  }
  deployment.Run(DividedDeployment::kEvacuationEnd,
                 DividedDeployment::kColdUntil);
  INFO("evacuated " << is_evacuated << ": " << deployment.Numbers());
  CHECK(deployment.IsWithinBound());
}

// Guards against health requests, which are billed, in normal operation.
TEST_CASE("Instances in contact ask no upstream") {
  DividedDeployment::Options options;
  options.instances = GENERATE(8U, 295U);
  const bool is_evacuated = GENERATE(true, false);
  DividedDeployment deployment(options);
  if (is_evacuated)
    deployment.RunThroughEvacuation();
  else
    deployment.Run(0ms, DividedDeployment::kEvacuationEnd);
  deployment.Run(DividedDeployment::kEvacuationEnd, 8s);
  INFO(deployment.Numbers());
  CHECK(deployment.confirmations() == 0);
  CHECK(deployment.sends() > 10000);
  // Otherwise nothing tells them that the upstreams are cold.
  if (is_evacuated)
    CHECK(deployment.IsWithinBound());
}

// One instance among `kInstances`, and its contact.
struct ContactFixture {
  static constexpr std::uint32_t kInstances = 100;

  explicit ContactFixture(double rate = 5.1) {
    configuration.services["soil"].max_connections = 4000;
    configuration.services["soil"].cold_time = kColdTime;
    configuration.services["soil"].cold_rate = rate;
  }

  void Add(const std::string& name) {
    ListedUpstream entry;
    entry.name = name;
    entry.service = "soil";
    entry.zone = "a1";
    entry.slots = 8;
    entry.started_at = milliseconds(1);
    fleet.Apply({name, entry}, At(0ms));
    ApplyFleet(0ms);
  }

  void ApplyFleet(milliseconds now, std::uint32_t instances = kInstances) {
    instance.dispatcher.SetFleet(fleet, configuration, instances, At(now));
  }

  void AddOwnerOfAllKeys(const std::string& name) {
    configuration.services["soil"].owns_keys = true;
    Add(name);
    KeyAssignment row;
    row.owner = {name, milliseconds(1)};
    table.Assign(row);
    instance.dispatcher.SetKeyTable("soil", &table, At(0ms));
  }

  void StayInContact(milliseconds first, milliseconds last) {
    for (milliseconds time = first; time <= last; time += 500ms) {
      contact.OnListRead(At(time));
      contact.OnEvacuationsRead(At(time));
    }
  }

  DispatchRequest Request(milliseconds now) {
    DispatchRequest request;
    request.id = ++next_id;
    request.service = "soil";
    request.arrived = At(now);
    request.latency_objective = 300ms;
    request.deadline = At(now + 1s);
    if (configuration.services["soil"].owns_keys)
      request.key = 5;
    return request;
  }
  void Submit(milliseconds now) {
    instance.dispatcher.Submit(Request(now), At(now));
  }

  DispatchRecorder& recorder() { return instance.recorder; }

  FleetContact contact{kListInterval};
  Instance instance{1, &contact};
  Fleet fleet;
  RouterConfiguration configuration;
  KeyTable table;
  std::uint64_t next_id = 0;
};

// Guards against health requests that go on after a gap longer than needed, and
// against a gap that ends with the first contact.
TEST_CASE("An instance asks until its contact has lasted for the cold time") {
  ContactFixture fixture;
  fixture.Add("i-1");
  fixture.Submit(0ms);
  CHECK(fixture.recorder().confirmations.size() == 1);
  fixture.StayInContact(0ms, 3000ms);
  fixture.Submit(2999ms);
  CHECK(fixture.recorder().confirmations.size() == 2);
  CHECK(fixture.recorder().sent.empty());
  fixture.Submit(3000ms);
  fixture.Submit(3000ms + FleetContact::kMaxEvacuationsAge);
  CHECK(fixture.recorder().confirmations.size() == 2);
  CHECK(fixture.recorder().sent.size() == 2);
  fixture.Submit(3001ms + FleetContact::kMaxEvacuationsAge);
  CHECK(fixture.recorder().confirmations.size() == 3);
  fixture.StayInContact(6000ms, 9000ms);
  fixture.Submit(8999ms);
  CHECK(fixture.recorder().confirmations.size() == 4);
  fixture.Submit(9000ms);
  CHECK(fixture.recorder().confirmations.size() == 4);
  CHECK(fixture.recorder().sent.size() == 3);
}

// Guards against second sends that flood an upstream which may be cold: nobody
// asks it before them.
TEST_CASE("Dispatcher does not hedge at an upstream that may be cold") {
  ContactFixture fixture;
  fixture.Add("i-1");
  fixture.Add("i-2");
  const auto hedge = [&](milliseconds now) {
    DispatchRequest request = fixture.Request(now);
    request.tried = {"i-1"};
    Dispatcher& dispatcher = fixture.instance.dispatcher;
    const bool may_send =
        dispatcher.MaySendHedgeTo(request, *fixture.fleet.Find("i-2"), At(now));
    const auto upstream = dispatcher.TrySendHedge(request, At(now));
    CHECK(upstream.has_value() == may_send);
    return upstream ? upstream->name : "none";
  };
  CHECK(hedge(0ms) == "none");
  fixture.StayInContact(0ms, 3000ms);
  CHECK(hedge(2999ms) == "none");
  CHECK(hedge(3000ms) == "i-2");
  CHECK(hedge(3001ms + FleetContact::kMaxEvacuationsAge) == "none");
  fixture.StayInContact(6000ms, 9500ms);
  CHECK(hedge(8999ms) == "none");
  CHECK(hedge(9000ms) == "i-2");
  fixture.instance.dispatcher.OnColdStated(*fixture.fleet.Find("i-2"), 400ms,
                                           At(9000ms));
  CHECK(hedge(9399ms) == "none");
  CHECK(hedge(9400ms) == "i-2");
}

// Guards against keyed requests that go to a cold owner unasked.
TEST_CASE("An instance that is cut off asks the owner of a key") {
  ContactFixture fixture;
  fixture.AddOwnerOfAllKeys("owner");
  fixture.StayInContact(0ms, 5000ms);
  fixture.Submit(5000ms);
  CHECK(fixture.recorder().sent.size() == 1);
  fixture.recorder().sent.clear();
  for (milliseconds time = 7000ms; time < 9000ms; time += 100ms) {
    fixture.Submit(time);
    // The owner states that it is warm, and responds.
    fixture.instance.dispatcher.OnEnded(fixture.Request(time), "owner",
                                        AttemptResult::kAnswered, 50ms,
                                        At(time + 50ms));
  }
  // A permit comes once in 30 s or more.
  CHECK(fixture.recorder().sent.size() <= 1);
  CHECK(fixture.recorder().sent.size() +
            fixture.recorder().confirmations.size() ==
        20);
  CHECK_FALSE(fixture.instance.dispatcher.HasWaiting());
}

// Guards against owners of keys in an evacuated zone that become cold while
// they still get the requests for their keys.
TEST_CASE("The owner of a key is asked when its zone is being evacuated") {
  ContactFixture fixture;
  fixture.AddOwnerOfAllKeys("owner");
  fixture.StayInContact(0ms, 6000ms);
  fixture.fleet.SetEvacuatedZones({"a1"});
  fixture.ApplyFleet(5000ms);
  for (milliseconds time = 5100ms; time < 5500ms; time += 100ms) {
    fixture.Submit(time);
    fixture.instance.dispatcher.OnEnded(fixture.Request(time), "owner",
                                        AttemptResult::kAnswered, 50ms,
                                        At(time + 50ms));
  }
  CHECK(fixture.recorder().sent.empty());
  CHECK(fixture.recorder().confirmations.size() == 4);
}

// Guards against keyed requests that wait for a cold owner in vain, or whose
// callers come back too early or too late.
TEST_CASE("Requests beyond the permits of a cold owner are refused at once") {
  const bool has_contact = GENERATE(true, false);
  ContactFixture fixture;
  fixture.AddOwnerOfAllKeys("owner");
  fixture.StayInContact(0ms, has_contact ? 8000ms : 3000ms);
  Dispatcher& dispatcher = fixture.instance.dispatcher;
  dispatcher.OnColdStated(*fixture.fleet.Find("owner"), 3s, At(6010ms));
  for (milliseconds time = 6010ms; time < 8000ms; time += 10ms)
    fixture.Submit(time);
  CHECK_FALSE(dispatcher.HasWaiting());
  CHECK(fixture.recorder().cold == std::vector<std::string>{"owner"});
  CHECK(fixture.recorder().confirmations.empty());
  // The only permit in the cold period is at its end, as the phase is drawn.
  CHECK(fixture.recorder().sent.empty());
  REQUIRE(fixture.recorder().refused.size() == 199);
  for (const auto& refusal : fixture.recorder().refused) {
    CHECK(refusal.kind == ErrorKind::kNotRunOverloaded);
    const milliseconds refused_at =
        6010ms + milliseconds((refusal.id - 1) * 10);
    const milliseconds next_permit = 9010ms - refused_at;
    if (has_contact) {
      CHECK(refusal.retry_after >= next_permit);
      CHECK(refusal.retry_after <= next_permit * 5 / 4);
    } else {
      // Another instance may know more.
      CHECK(refusal.retry_after <= 500ms);
    }
  }
}

// Guards as above, with a few instances, whose permits are often.
TEST_CASE("Requests wait for a cold owner only if its permit comes soon") {
  ContactFixture fixture;
  fixture.AddOwnerOfAllKeys("owner");
  fixture.contact.OnInstancesCounted();
  fixture.StayInContact(0ms, 60000ms);
  // The instance is known long enough to count the others.
  fixture.ApplyFleet(0ms, 4);
  fixture.ApplyFleet(20000ms, 4);
  fixture.ApplyFleet(40000ms, 4);
  Dispatcher& dispatcher = fixture.instance.dispatcher;
  constexpr milliseconds kFirst{50000};
  constexpr milliseconds kLast = kFirst + 10s;
  dispatcher.OnColdStated(*fixture.fleet.Find("owner"), 10s, At(kFirst));
  std::vector<milliseconds> sends;
  std::vector<std::pair<milliseconds, std::chrono::nanoseconds>> refusals;
  for (milliseconds time = kFirst; time < kLast; time += 10ms) {
    dispatcher.Tick(At(time));
    fixture.Submit(time);
    for (std::size_t i = 0; i < fixture.recorder().sent.size(); ++i)
      sends.push_back(time);
    fixture.recorder().sent.clear();
    for (const auto& refusal : fixture.recorder().refused) {
      refusals.emplace_back(time, refusal.retry_after);
      // None has waited for longer than the latency objective.
      CHECK(time - kFirst - milliseconds((refusal.id - 1) * 10) <= 300ms);
    }
    fixture.recorder().refused.clear();
  }
  CHECK(fixture.recorder().confirmations.empty());
  // One in 4 / (0.6 * 5.1) s.
  CHECK(sends.size() >= 6);
  CHECK(sends.size() <= 9);
  CHECK(refusals.size() > 700);
  for (const auto& [time, retry_after] : refusals) {
    const auto next = std::ranges::upper_bound(sends, time);
    if (next == sends.end())
      break;
    INFO("refused at " << time.count() << ", next send " << next->count()
                       << ", retry after " << retry_after.count() / 1e6);
    CHECK(retry_after >= *next - time - 10ms);
    // Some of it is for the requests that are ahead.
    CHECK(retry_after <=
          std::max<std::chrono::nanoseconds>((*next - time) * 3 / 2, 150ms));
  }
}

}  // namespace
}  // namespace pollenrudder
