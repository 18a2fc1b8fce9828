// Tests of Dispatcher with upstreams that request a pause.

#include <catch2/catch.hpp>

#include "dispatch/dispatcher_fixture_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

// Load pattern: an upstream that is full. Guards against requests that reach it
// in the time for which it wants none: new and queued ones, retries, those
// whose connection is being opened, and the probe after failures.
TEST_CASE("Dispatcher sends nothing to an upstream that asked for a pause") {
  DispatcherFixture fixture;
  fixture.Add("full", "a1", 2);
  fixture.Add("sound", "a1", 2);
  for (std::uint64_t id = 1; id <= 6; ++id)
    fixture.dispatcher.Submit(fixture.Request(id, At(0ms)), At(0ms));
  REQUIRE(fixture.recorder.CountTo("full") == 2);
  ListedUpstream entry = *fixture.fleet.Find("full");
  fixture.dispatcher.OnPauseRequested("soil", entry, 2s, At(10ms));
  // A later response may name an earlier time.
  fixture.dispatcher.OnPauseRequested("soil", entry, 100ms, At(20ms));
  fixture.End("full", AttemptResult::kShed, 10ms, At(20ms));
  fixture.End("full", AttemptResult::kLost, 10ms, At(20ms));
  CHECK_FALSE(fixture.dispatcher.MaySendTo(fixture.Request(7, At(20ms)), entry,
                                           At(20ms)));
  std::uint64_t id = 10;
  const auto submit_until = [&](std::chrono::milliseconds end) {
    for (auto time = 50ms; time < end; time += 50ms) {
      DispatchRequest retry = fixture.Request(++id, At(time));
      retry.tried = {"sound"};
      fixture.dispatcher.Submit(retry, At(time));
      fixture.dispatcher.Submit(fixture.Request(++id, At(time)), At(time));
      fixture.End("sound", AttemptResult::kAnswered, 10ms, At(time));
      fixture.dispatcher.Tick(At(time));
    }
  };
  SECTION("until it ends, and then one at a time") {
    submit_until(2000ms);
    CHECK(fixture.recorder.CountTo("full") == 2);
    for (; id < 200; ++id)
      fixture.dispatcher.Submit(fixture.Request(id, At(2010ms)), At(2010ms));
    CHECK(fixture.recorder.CountTo("full") == 3);
    CHECK(fixture.dispatcher.MaySendTo(fixture.Request(id, At(2010ms)), entry,
                                       At(2010ms)));
  }
  SECTION("and was listed again") {
    fixture.fleet.Apply({"full", std::nullopt}, At(30ms));
    fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 4,
                                At(30ms));
    fixture.fleet.Apply({"full", entry}, At(40ms));
    fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 4,
                                At(40ms));
    submit_until(2000ms);
    CHECK(fixture.recorder.CountTo("full") == 2);
  }
  SECTION("unless it has restarted") {
    entry.started_at = 2ms;
    fixture.fleet.Apply({"full", entry}, At(30ms));
    fixture.dispatcher.SetFleet(fixture.fleet, fixture.configuration, 4,
                                At(30ms));
    submit_until(200ms);
    CHECK(fixture.recorder.CountTo("full") > 2);
  }
}

// Guards against requests that wait for upstreams in another region to be worth
// their traffic although the ones in this region want none for longer.
TEST_CASE(
    "Dispatcher leaves its region if the upstreams there asked for a "
    "pause") {
  DispatcherFixture fixture;
  fixture.Add("near", "a1", 2);
  fixture.Add("far", "b1", 2);
  fixture.dispatcher.OnPauseRequested("soil", *fixture.fleet.Find("near"), 5s,
                                      At(0ms));
  fixture.dispatcher.Submit(fixture.Request(1, At(0ms)), At(0ms));
  CHECK(fixture.recorder.CountTo("far") == 1);
}

// Guards against callers that wait in vain: nobody else may get the requests
// for the keys of an owner.
TEST_CASE("Dispatcher refuses at once while the only owner asked for a pause") {
  DispatcherFixture fixture;
  const KeyTable table = fixture.AddOwnerOfAllKeys("owner");
  fixture.dispatcher.SetKeyTable("soil", &table, At(0ms));
  const ListedUpstream entry = *fixture.fleet.Find("owner");
  const auto request = [&](std::uint64_t id, BootTime now) {
    DispatchRequest keyed = fixture.Request(id, now);
    keyed.key = 5;
    return keyed;
  };
  SECTION("with the time that is left") {
    fixture.dispatcher.OnPauseRequested("soil", entry, 8s, At(0ms));
    fixture.dispatcher.Submit(request(1, At(1000ms)), At(1000ms));
    REQUIRE(fixture.recorder.refused.size() == 1);
    CHECK(fixture.recorder.refused[0].kind == ErrorKind::kNotRunOverloaded);
    CHECK(fixture.recorder.refused[0].retry_after >= 7000ms);
    CHECK(fixture.recorder.refused[0].retry_after <= 8750ms);
    CHECK(fixture.dispatcher.RetryAfter(request(2, At(1000ms)), At(1000ms)) >=
          7000ms);
  }
  SECTION("also a request that is sent once more after a delay") {
    DispatchRequest retry = request(1, At(0ms));
    retry.tried = {"owner"};
    retry.not_before = At(40ms);
    CHECK_FALSE(fixture.dispatcher.IsRefusedForPause(retry, At(0ms)));
    fixture.dispatcher.OnPauseRequested("soil", entry, 600ms, At(0ms));
    CHECK(fixture.dispatcher.IsRefusedForPause(retry, At(0ms)));
    fixture.dispatcher.Submit(retry, At(0ms));
    CHECK(fixture.recorder.refused.size() == 1);
  }
  SECTION("also a queued request") {
    for (std::uint64_t id = 1; id <= 12; ++id)
      fixture.dispatcher.Submit(request(id, At(0ms)), At(0ms));
    const std::size_t sent = fixture.recorder.sent.size();
    REQUIRE(fixture.dispatcher.HasWaiting());
    fixture.dispatcher.OnPauseRequested("soil", entry, 600ms, At(10ms));
    fixture.End("owner", AttemptResult::kShed, 10ms, At(10ms));
    CHECK_FALSE(fixture.dispatcher.HasWaiting());
    CHECK(fixture.recorder.refused.size() == 12 - sent);
  }
  SECTION("unless it ends in time for the response") {
    fixture.dispatcher.OnPauseRequested("soil", entry, 200ms, At(0ms));
    fixture.dispatcher.Submit(request(1, At(0ms)), At(0ms));
    fixture.dispatcher.Tick(At(190ms));
    CHECK(fixture.recorder.sent.empty());
    CHECK(fixture.recorder.refused.empty());
    fixture.dispatcher.Tick(At(200ms));
    CHECK(fixture.recorder.sent.size() == 1);
  }
}

// Guards against callers that come back before any upstream wants their
// requests.
TEST_CASE("Dispatcher refuses at once while all upstreams asked for a pause") {
  DispatcherFixture fixture;
  fixture.Add("first", "a1", 2);
  fixture.Add("second", "a1", 2);
  fixture.dispatcher.OnPauseRequested("soil", *fixture.fleet.Find("first"), 5s,
                                      At(0ms));
  fixture.dispatcher.OnPauseRequested("soil", *fixture.fleet.Find("second"), 4s,
                                      At(0ms));
  fixture.dispatcher.Submit(fixture.Request(1, At(0ms)), At(0ms));
  REQUIRE(fixture.recorder.refused.size() == 1);
  CHECK(fixture.recorder.refused[0].retry_after >= 4000ms);
  CHECK(fixture.recorder.refused[0].retry_after <= 5000ms);
}

}  // namespace
}  // namespace pollenrudder
