// Tests of UpdateRelay on the receiving side.

#include "entry/update_relay.h"

#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/loopback_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

// Readers of the store that complete reads only on demand.
class Feeds : public FeedControl {
 public:
  std::uint64_t list_position() const override { return position; }
  void AdvanceListPosition(std::uint64_t to) override { position = to; }
  void ReadListNow() override { ++list_reads; }
  void ReadConfigurationNow() override {}
  void ApplyConfiguration(ConfigurationDocument /*document*/) override {}
  void ApplyEvacuatedZones(
      std::uint64_t /*position*/,
      const std::set<std::string, std::less<>>& /*zones*/) override {}
  void SetRelayActive(bool active) override { paused = active; }

  std::uint64_t position = 10;
  int list_reads = 0;
  bool paused = false;
};

class Recorder : public UpdateRelay::Observer {
 public:
  void OnRelayedChanges(const std::vector<FleetChange>& relayed) override {
    changes.insert(changes.end(), relayed.begin(), relayed.end());
  }
  void OnNewerConfiguration(const RelayedUpdate& /*update*/) override {}
  void OnUpdateLate() override { ++late; }
  void OnRelayChanged(bool is_active) override { active = is_active; }

  std::vector<FleetChange> changes;
  int late = 0;
  bool active = false;
};

RelayedUpdate Update(std::uint64_t from, std::uint64_t to) {
  RelayedUpdate update;
  update.list_from = from;
  update.list_to = to;
  update.changes = {{"u-1", std::nullopt}};
  return update;
}

struct Fixture {
  Fixture() : relay(io, 100ms, recorder) { relay.SetFeeds(feeds); }

  boost::asio::io_context io{1};
  Feeds feeds;
  Recorder recorder;
  UpdateRelay relay;
};

// Guards against an instance that returns after an outage, takes an update as
// a substitute for the list that it has missed, and sends requests to upstreams
// that left meanwhile (bmg-kingston-grown scale-2, cumbre-chalet scale-2).
TEST_CASE("UpdateRelay keeps reading the list until it is complete") {
  Fixture fixture;
  fixture.relay.OnRelayedUpdate(Update(50, 60), 0, 0ms);
  CHECK(fixture.feeds.list_reads == 1);
  CHECK_FALSE(fixture.feeds.paused);
  CHECK_FALSE(fixture.recorder.active);
  CHECK(fixture.recorder.changes.empty());
  // The read has completed.
  fixture.feeds.position = 60;
  fixture.relay.OnRelayedUpdate(Update(50, 60), 0, 0ms);
  CHECK(fixture.feeds.paused);
  CHECK(fixture.recorder.active);
}

// As above, for a relay that is active when the gap appears.
TEST_CASE("UpdateRelay stops if the list stays incomplete") {
  Fixture fixture;
  fixture.relay.OnRelayedUpdate(Update(5, 20), 0, 0ms);
  CHECK(fixture.feeds.position == 20);
  CHECK(fixture.recorder.changes.size() == 1);
  REQUIRE(fixture.recorder.active);
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (fixture.recorder.active && std::chrono::steady_clock::now() < end) {
    fixture.relay.OnRelayedUpdate(Update(50, 60), 0, 0ms);
    fixture.io.run_one_for(20ms);
  }
  CHECK_FALSE(fixture.recorder.active);
  CHECK_FALSE(fixture.feeds.paused);
}

// Guards against a zone whose instances all read the store when their relay is
// lost: each first contacts the leader.
TEST_CASE("UpdateRelay reports a late update before it stops") {
  Fixture fixture;
  fixture.relay.OnRelayedUpdate(Update(5, 20), 0, 0ms);
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.recorder.late == 1; }));
  CHECK(fixture.recorder.active);
  fixture.relay.OnRelayedUpdate(Update(5, 20), 0, 0ms);
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.recorder.late == 2; }));
  CHECK(fixture.recorder.active);
  CHECK(RunUntil(fixture.io, [&] { return !fixture.recorder.active; }));
}

// Guards against receivers that take an upstream to be cold for several list
// intervals longer than it is, because each update repeats its entry.
TEST_CASE("Updates state for how long an upstream is cold when they are sent") {
  Fixture fixture;
  ListedUpstream entry;
  entry.name = "u-1";
  entry.cold_remaining = 100ms;
  fixture.relay.OnListRead(10, 11, {{"u-1", entry}});
  const auto first = fixture.relay.MakeUpdate(1, 1).changes.at(0).entry;
  CHECK(first->cold_remaining > 0ms);
  CHECK(first->cold_remaining <= 100ms);
  const BootTime read_at = BootClock::now();
  while (BootClock::now() < read_at + 30ms) {
  }
  const auto second = fixture.relay.MakeUpdate(1, 1).changes.at(0).entry;
  CHECK(second->cold_remaining <= 70ms);
  while (BootClock::now() < read_at + 110ms) {
  }
  const auto last = fixture.relay.MakeUpdate(1, 1).changes.at(0).entry;
  CHECK(last->cold_remaining == 0ms);
}

// Guards against an instance that goes on with an old list because updates keep
// arriving from a sender that cannot read the list.
TEST_CASE("An update with an old list does not replace reads for longer") {
  Fixture fixture;
  RelayedUpdate fresh = Update(5, 20);
  fresh.list_age = 0ms;
  fixture.relay.OnRelayedUpdate(fresh, 0, 0ms);
  const auto start = std::chrono::steady_clock::now();
  // What a sender whose list reads fail sends with its last read of the zones
  // (HasCurrentRead(): 450 ms here).
  while (std::chrono::steady_clock::now() < start + 400ms)
    fixture.io.run_one_until(start + 400ms);
  REQUIRE(fixture.recorder.active);
  RelayedUpdate old = Update(5, 20);
  old.list_age = 400ms;
  fixture.relay.OnRelayedUpdate(old, 0, 0ms);
  while (std::chrono::steady_clock::now() < start + 600ms)
    fixture.io.run_one_until(start + 600ms);
  CHECK_FALSE(fixture.recorder.active);
}

}  // namespace
}  // namespace pollenrudder
