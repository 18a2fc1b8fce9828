// Tests of GrantCoordinator with records of the log that it cannot decode.

#include "grants/grant_coordinator.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr const char* kService = "geodata";
// After this time, every grant that an earlier leader may have sent has
// arrived and expired, if that leader has ended.
constexpr milliseconds kGrantsExpired{9880};

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

GrantCoordinator MakeCoordinator(const std::string& instance) {
  GrantCoordinator::Options options;
  options.instance = instance;
  options.incarnation = instance + "-second";
  GrantCoordinator coordinator(options);
  Fleet fleet;
  for (int index = 0; index < 3; ++index) {
    ListedUpstream entry;
    entry.name = "u" + std::to_string(index);
    entry.service = kService;
    entry.address = "127.0.0.1:" + std::to_string(9000 + index);
    entry.slots = 2;
    entry.started_at = 1ms;
    fleet.Apply({entry.name, entry}, At(0ms));
  }
  RouterConfiguration configuration;
  configuration.services[kService].owns_keys = true;
  coordinator.OnFleet(fleet, configuration, At(0ms));
  return coordinator;
}

GrantLogRecord MakeTerm(const std::string& instance) {
  GrantTermRecord term;
  term.instance = instance;
  term.incarnation = instance + "-first";
  return EncodeGrantLogRecord(term);
}

GrantLogRecord MakeTable(const std::string& owner) {
  KeyAssignment row;
  row.keys = {0, kKeyCount - 1};
  row.owner = {owner, 1ms};
  row.token = 1;
  return EncodeGrantLogRecord(TableRecord{kService, KeyTable({row})});
}

// The record of a table whose text was compressed and cannot be decompressed.
GrantLogRecord MakeUnreadableTable() {
  return {MakeTable("u0").key, "z\x01\x02\x03"};
}

struct Calls {
  std::vector<KeyCall> grants;
  bool appended_table = false;
};

// Lets every append and call succeed, and returns them.
Calls Run(GrantCoordinator& coordinator,
          milliseconds first,
          milliseconds last) {
  Calls calls;
  for (auto time = first; time <= last; time += 20ms) {
    const BootTime now = At(time);
    if (coordinator.IsLeader())
      coordinator.OnLogRecords({}, coordinator.next_offset(), now, now);
    const GrantActions actions = coordinator.Poll(now);
    if (actions.append) {
      for (const GrantLogRecord& record : actions.append->records)
        calls.appended_table |= ServiceOfTableKey(record.key).has_value();
      coordinator.OnAppendEnded(LogAppendResult::kDone, now, now);
    }
    for (const KeyCall& call : actions.calls) {
      calls.grants.push_back(call);
      coordinator.OnCallEnded(call.id, KeyCallResult::kDone, "", now);
    }
  }
  return calls;
}

// Guards against two owners of a key after all instances restarted: the new
// leader could not decode the table, took the keys for unassigned and granted
// them while their owners still held them.
TEST_CASE("GrantCoordinator takes a table that it cannot decode as unknown") {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnNewestRecords(
      {{40, MakeTerm("front-1")}, {41, MakeUnreadableTable()}}, 42, At(0ms));
  const Calls calls = Run(coordinator, 0ms, kGrantsExpired - 20ms);
  REQUIRE(coordinator.IsLeader());
  CHECK(calls.grants.empty());
  CHECK_FALSE(calls.appended_table);
  const auto records = coordinator.TakeUnreadableRecords();
  REQUIRE(records.size() == 1);
  CHECK(records[0].offset == 41);
  CHECK(records[0].key == "keys/geodata");

  const Calls later = Run(coordinator, kGrantsExpired, kGrantsExpired + 1000ms);
  CHECK(later.appended_table);
  CHECK(coordinator.tables().at(kService).Gaps().empty());
  for (const KeyCall& call : later.grants)
    CHECK(call.token > 41);
}

// Guards against a wait that a resigned leader, which ended its calls, would
// shorten for known tables.
TEST_CASE("GrantCoordinator waits for unknown grants of a resigned leader") {
  GrantTermRecord resigned;
  resigned.instance = "front-2";
  resigned.incarnation = "front-2-first";
  resigned.resigned = true;
  resigned.successor = "front-1";
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnNewestRecords(
      {{40, EncodeGrantLogRecord(resigned)}, {39, MakeUnreadableTable()}}, 41,
      At(0ms));
  const Calls calls = Run(coordinator, 0ms, kGrantsExpired - 20ms);
  REQUIRE(coordinator.IsLeader());
  CHECK(calls.grants.empty());
}

// Guards against a second leader beside one whose term cannot be decoded.
TEST_CASE("GrantCoordinator takes a term that it cannot decode as live") {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnNewestRecords(
      {{40, {MakeTerm("front-2").key, "{"}}, {39, MakeTable("u0")}}, 41,
      At(0ms));
  coordinator.OnPreferredLeader(true, At(1ms), At(1ms));
  CHECK_FALSE(coordinator.Poll(At(20ms)).append);
  const GrantActions actions = coordinator.Poll(At(2000ms));
  REQUIRE(actions.append);
  coordinator.OnAppendEnded(LogAppendResult::kDone, At(2000ms), At(2000ms));
  REQUIRE(coordinator.IsLeader());
  // The unknown leader may grant keys until its lease has expired.
  CHECK(coordinator.changes_allowed_from() >= At(2000ms) + 4500ms);
}

// Guards against an instance that applies the changed rows of an update to
// another table than the one they belong to.
TEST_CASE("GrantCoordinator applies no update to a table that is unknown") {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnNewestRecords(
      {{40, MakeTerm("front-2")}, {41, MakeUnreadableTable()}}, 42, At(0ms));
  TableUpdate update;
  update.service = kService;
  update.offset = 42;
  update.unchanged_since = 42;
  CHECK_FALSE(coordinator.OnTableUpdate(update, At(10ms)));
  CHECK(coordinator.NeedsLog());
  coordinator.OnLogRecords({{42, MakeTable("u1")}}, 43, At(20ms), At(20ms));
  CHECK_FALSE(coordinator.NeedsLog());
  CHECK(coordinator.tables().at(kService).Find(7)->owner.name == "u1");
  update.offset = 43;
  update.unchanged_since = 43;
  CHECK(coordinator.OnTableUpdate(update, At(30ms)));
}

// Guards against a service that stays without a readable table, so that each
// successor has to wait.
TEST_CASE("GrantCoordinator replaces a record of its own that is unreadable") {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnLogRecords({}, 0, At(0ms), At(0ms));
  coordinator.OnPreferredLeader(true, At(1ms), At(1ms));
  REQUIRE(Run(coordinator, 0ms, 1500ms).appended_table);
  coordinator.OnLogRecords({{coordinator.next_offset(), MakeUnreadableTable()}},
                           coordinator.next_offset() + 1, At(1500ms),
                           At(1500ms));
  REQUIRE(coordinator.IsLeader());
  const KeyTable table = coordinator.tables().at(kService);
  coordinator.TransferLeadership("front-2", At(1500ms));
  CHECK(Run(coordinator, 1520ms, 1700ms).appended_table);
  CHECK(coordinator.IsLeader());
  CHECK(coordinator.tables().at(kService) == table);
  CHECK_FALSE(Run(coordinator, 1720ms, 2000ms).appended_table);
}

}  // namespace
}  // namespace pollenrudder
