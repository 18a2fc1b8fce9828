// Tests of Controller: leadership over several instances.

#include "ownership/controller.h"

#include <catch2/catch.hpp>

#include "controller_fixture_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

void StartZone(ControllerFixture& fixture, int instances = 3) {
  for (int number = 1; number <= instances; ++number)
    fixture.AddInstance("a" + std::to_string(number), "a");
  for (const char* upstream : {"u1", "u2", "u3", "u4"})
    fixture.AddUpstream(upstream, "geodata", "a");
  fixture.Publish("ground", ShardedSection("ground", "geodata", 16));
}

TEST_CASE("upstreams get leaders and every shard gets an owner") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  REQUIRE(fixture.violations().empty());
}

// Guards the target of section 3: served again within 2 s of a loss.
TEST_CASE("a voter takes over from a lost leader within two seconds") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Run(3s);
  const std::string leader = fixture.Sender("u1");
  fixture.Kill(leader);
  REQUIRE_FALSE(fixture.AllServed("geodata"));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 2s));
  REQUIRE(fixture.Sender("u1") != leader);
  REQUIRE(fixture.violations().empty());
}

TEST_CASE("the shards of a lost upstream are served again by one record") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  const std::size_t owned = fixture.Table().ShardsOf("u2").size();
  REQUIRE(owned > 0);
  fixture.Observe("u2", UpstreamObserved::State::kLost, {7, 8});
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().ShardsOf("u2").empty(); }, 2s));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 1s));
  const auto moves = fixture.Records<MoveRecord>();
  REQUIRE(moves.size() == 1);
  REQUIRE(moves[0].moves.size() == owned);
  REQUIRE(moves[0].suspects == std::vector<std::uint64_t>{7, 8});
  REQUIRE(fixture.violations().empty());
}

// Guards against a lost answer that is taken for a failed or a done move.
TEST_CASE("a move whose answer or append is lost is resolved by the log") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  const bool lose_append = GENERATE(false, true);
  const std::string leader = fixture.Sender("u2");
  if (lose_append)
    fixture.LoseAppends(leader, 1);
  else
    fixture.LoseAppendAnswers(leader, 1);
  fixture.Observe("u2", UpstreamObserved::State::kLost);
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().ShardsOf("u2").empty(); }, 3s));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 1s));
  REQUIRE(fixture.violations().empty());
}

TEST_CASE("a leaving instance hands over every term and finishes") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Run(2s);
  const std::string leader = fixture.Sender("u1");
  fixture.Input(leader, LeaveRequested{});
  REQUIRE(fixture.RunUntil(
      [&] { return !fixture.Actions<LeaveFinished>(leader).empty(); }, 2s));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 1s));
  const OwnershipTable& table = fixture.Table();
  for (const auto& [upstream, term] : table.state().terms)
    REQUIRE(term.leader != leader);
  REQUIRE(fixture.violations().empty());
}

// Guards against an old leader that serves on after its handover took effect.
TEST_CASE("a lease ends before its handover is appended") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  const std::string leader = fixture.Sender("u1");
  fixture.Input(leader, LeaveRequested{});
  fixture.Run(1s);
  BootTime valid_until;
  std::size_t handovers = 0;
  for (const ControllerAction& action : fixture.History(leader)) {
    if (const auto* lease = std::get_if<SetLease>(&action)) {
      if (lease->upstream == "u1")
        valid_until = lease->valid_until;
    } else if (const auto* append = std::get_if<AppendRecord>(&action)) {
      const auto record = DecodeLogRecord(append->data);
      const auto* term = std::get_if<TermRecord>(&record.value().body);
      if (!term || term->entries[0].upstream != "u1" ||
          term->entries[0].kind != TermKind::kHandover) {
        continue;
      }
      REQUIRE(valid_until == BootTime{});
      ++handovers;
    }
  }
  REQUIRE(handovers == 1);
}

// Guards against a stop that is forgotten with its leader.
TEST_CASE("a planned stop goes on after its leader dies in the middle") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  // Handovers for balance are over by then.
  fixture.Run(18s);
  // Drains hang, so the leader dies with the shards closed but not moved.
  fixture.BlockDrains("u1", true);
  fixture.Publish("ground",
                  ShardedSection("ground", "geodata", 16,
                                 "planned_stops:\n  - {upstream: u1, "
                                 "start: 2026-01-01T00:00:40Z, "
                                 "end: 2026-01-01T01:00:00Z, drain: 30s}\n"));
  REQUIRE(fixture.RunUntil([&] { return fixture.elapsed() >= 41s; }, 60s));
  const std::string leader = fixture.Sender("u1");
  REQUIRE_FALSE(fixture.Table().ShardsOf("u1").empty());
  fixture.Kill(leader);
  fixture.BlockDrains("u1", false);
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().ShardsOf("u1").empty(); }, 4s));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 1s));
  REQUIRE(fixture.Sender("u1") != leader);
  REQUIRE(fixture.violations().empty());
}

// Guards against an exchange of shards between two lost upstreams: each looks
// empty, and so the best target, to the leader of the other one.
TEST_CASE("a lost upstream is no target until it is reachable again") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Observe("u1", UpstreamObserved::State::kLost);
  fixture.Observe("u2", UpstreamObserved::State::kLost);
  fixture.Run(2s);
  REQUIRE(fixture.AllServed("geodata"));
  const std::size_t records = fixture.log().size();
  fixture.Run(1s);
  REQUIRE(fixture.log().size() == records);
  fixture.Observe("u2", UpstreamObserved::State::kReachable);
  REQUIRE(fixture.RunUntil(
      [&] { return !fixture.Table().FindTerm("u2")->lost; }, 1s));
}

// Guards against a zone that stops serving because the platform is down.
TEST_CASE("leaders keep their leases by promises while the log is down") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Run(12s);
  fixture.SetLogDown(true);
  for (int second = 0; second < 20; ++second) {
    fixture.Run(1s);
    REQUIRE(fixture.AllServed("geodata"));
  }
  REQUIRE(fixture.violations().empty());
}

// Guards against keys that stay closed, or get two owners, after a dead zone.
TEST_CASE("another zone claims a dead zone's upstreams and hands them back") {
  ControllerFixture fixture;
  StartZone(fixture);
  fixture.AddInstance("b1", "b");
  fixture.AddInstance("b2", "b");
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Run(3s);
  for (const char* instance : {"a1.1", "a2.1", "a3.1"})
    fixture.Kill(instance);
  const auto killed = fixture.elapsed();
  // P, the delay of a claim from another zone, and the hold of 5 s.
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 12s));
  REQUIRE(fixture.elapsed() - killed > 5s);
  REQUIRE(fixture.Table().FindTerm("u1")->leader_zone == "b");
  fixture.AddInstance("a4", "a");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().FindTerm("u1")->leader == "a4.1"; }, 20s));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 1s));
  REQUIRE(fixture.violations().empty());
}

// Guards against an operator who has to wait out the hold of a dead zone.
TEST_CASE("a zone that is declared lost is claimed without the hold") {
  ControllerFixture fixture;
  StartZone(fixture);
  fixture.AddInstance("b1", "b");
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  for (const char* instance : {"a1.1", "a2.1", "a3.1"})
    fixture.Kill(instance);
  fixture.Run(100ms);
  fixture.Publish("ground", ShardedSection("ground", "geodata", 16,
                                           "lost: {zones: [a]}\n"));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 3s));
  REQUIRE(fixture.violations().empty());
}

TEST_CASE("a gone upstream loses its shards and is retired") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.RemoveUpstream("u3");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().ShardsOf("u3").empty(); }, 15s));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.Table().FindTerm("u3") == nullptr; }, 70s));
  REQUIRE(fixture.AllServed("geodata"));
  REQUIRE(fixture.violations().empty());
}

// Guards against a fingerprint that goes on crashing upstreams.
TEST_CASE("a confirmed fingerprint is quarantined at every instance") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  fixture.Input("a1.1", FingerprintConfirmed{"geodata", 99});
  fixture.Run(1s);
  for (const char* instance : {"a1.1", "a2.1", "a3.1"}) {
    const auto marks = fixture.Actions<MarkFingerprints>(instance);
    REQUIRE(marks.size() == 1);
    REQUIRE(marks[0].quarantined == std::vector<std::uint64_t>{99});
  }
}

TEST_CASE("a planner's advice moves the shards, or nothing") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  const std::vector<std::uint32_t> shards = fixture.Table().ShardsOf("u1");
  fixture.Input(fixture.Sender("u1"), MoveAdvised{"u1", {shards[0]}, "u2"});
  fixture.Run(500ms);
  REQUIRE(fixture.Table().FindShards("geodata")->at(shards[0]).upstream ==
          "u2");
  fixture.BlockDrains("u1", true);
  fixture.Input(fixture.Sender("u1"), MoveAdvised{"u1", {shards[1]}, "u2"});
  fixture.Run(500ms);
  REQUIRE_FALSE(fixture.IsServed("geodata", shards[1]));
  // A drain that takes too long is given up, and the shard is open again.
  fixture.Run(1s);
  REQUIRE(fixture.IsServed("geodata", shards[1]));
  REQUIRE(fixture.violations().empty());
}

// Guards against a late reader that trusts nothing, or something too old.
TEST_CASE("a new instance starts from a checkpoint after records expired") {
  ControllerFixture fixture;
  StartZone(fixture);
  REQUIRE(fixture.RunUntil([&] { return fixture.AllServed("geodata"); }, 10s));
  for (int number = 0; number < 20; ++number)
    fixture.AppendRaw("junk");
  REQUIRE(fixture.RunUntil(
      [&] { return !fixture.Records<CheckpointRecord>().empty(); }, 70s));
  fixture.Run(1s);
  const LogOffset covered = fixture.Records<CheckpointRecord>().back().offset;
  fixture.DropRecordsBefore(covered + 1);
  const std::string late = fixture.AddInstance("a9", "a");
  fixture.Run(2s);
  REQUIRE(fixture.controller(late).next_offset() == fixture.log().size() + 1);
  REQUIRE(fixture.routing(late)->FindService("geodata") != nullptr);
  const std::string status =
      fixture.controller(late).StatusJson(fixture.TimeOf(late));
  REQUIRE(status.find("\"unplaced_shards\":0") != std::string::npos);
}

}  // namespace
}  // namespace pollenrudder
