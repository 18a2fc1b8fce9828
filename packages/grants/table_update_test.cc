// Tests of table updates between instances that missed records of the log.

#include "grants/table_update.h"

#include <catch2/catch.hpp>

#include "grants/grant_coordinator.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(100s + time);
}

GrantCoordinator MakeCoordinator(const std::string& instance) {
  GrantCoordinator::Options options;
  options.instance = instance;
  options.incarnation = instance + "-life";
  return GrantCoordinator(options);
}

GrantTermRecord MakeTerm(const std::string& instance) {
  GrantTermRecord term;
  term.instance = instance;
  term.incarnation = instance + "-life";
  return term;
}

KeyAssignment MakeRow(KeyRange keys,
                      const std::string& owner,
                      std::uint64_t token) {
  KeyAssignment row;
  row.keys = keys;
  row.owner = {owner, 1ms};
  row.token = token;
  return row;
}

GrantLogRecord MakeTable(const std::vector<KeyAssignment>& rows) {
  return EncodeGrantLogRecord(TableRecord{"geodata", KeyTable(rows)});
}

constexpr KeyRange kLow{0, 99};
constexpr KeyRange kHigh{100, kKeyCount - 1};

// A log on which front-1 has moved the low keys from u0 to u1 and is lost, and
// front-2 has moved the high keys to u2. The tests start with instances that
// have read the first two records.
std::vector<GrantCoordinator::LogEntry> MakeLog() {
  return {{0, EncodeGrantLogRecord(MakeTerm("front-1"))},
          {1, MakeTable({MakeRow(kLow, "u0", 1), MakeRow(kHigh, "u0", 1)})},
          {2, MakeTable({MakeRow(kLow, "u1", 2), MakeRow(kHigh, "u0", 1)})},
          {3, EncodeGrantLogRecord(MakeTerm("front-2"))},
          {4, MakeTable({MakeRow(kLow, "u1", 2), MakeRow(kHigh, "u2", 4)})}};
}

GrantCoordinator MakeReader(const std::string& instance) {
  GrantCoordinator coordinator = MakeCoordinator(instance);
  const auto log = MakeLog();
  coordinator.OnLogRecords({log[0], log[1]}, 2, At(0ms), At(0ms));
  return coordinator;
}

// Returns the updates of a relay that missed records 2 to 4 and reads the
// newest record of each key.
std::vector<TableUpdate> UpdatesOfRelay() {
  GrantCoordinator relay = MakeReader("front-3");
  relay.set_collects_updates(true);
  const auto log = MakeLog();
  relay.OnNewestRecords({log[4], log[3]}, 5, At(100ms));
  return relay.TakeUpdates();
}

// The update that front-2 sends after it appended record 4.
TableUpdate UpdateOfLeader() {
  TableUpdate update;
  update.service = "geodata";
  update.offset = 4;
  update.unchanged_since = 4;
  update.rows = {MakeRow(kHigh, "u2", 4)};
  return update;
}

// Guards against an instance that takes its table for complete although it
// lacks a record. As the next leader it would grant the keys to an owner from
// which they have been moved, beside the present owner. A relay that read the
// newest records announced the term as if no table had changed before it.
TEST_CASE("Updates of a relay skip no record that the relay did not read") {
  const std::vector<TableUpdate> updates = UpdatesOfRelay();
  REQUIRE_FALSE(updates.empty());
  // Any of the relay's updates may be lost.
  for (std::size_t arriving = 0; arriving <= updates.size(); ++arriving) {
    INFO(arriving << " updates of the relay arrive");
    GrantCoordinator coordinator = MakeReader("front-4");
    for (std::size_t index = 0; index < arriving; ++index)
      (void)coordinator.OnTableUpdate(updates[index], At(200ms));
    (void)coordinator.OnTableUpdate(UpdateOfLeader(), At(210ms));
    if (coordinator.next_offset() < 5) {
      CHECK(coordinator.NeedsLog());
      continue;
    }
    const KeyTable& table = coordinator.tables().at("geodata");
    CHECK(table.Find(7)->owner.name == "u1");
    CHECK(table.Find(200)->owner.name == "u2");
    CHECK(coordinator.term()->instance == "front-2");
  }
}

// Guards against the loss of a relay's updates becoming a read of the whole
// tables by each instance of its zone.
TEST_CASE("One update of a relay contains a new table and a new term") {
  const std::vector<TableUpdate> updates = UpdatesOfRelay();
  REQUIRE(updates.size() == 1);
  const auto update = ParseTableUpdate(EncodeTableUpdate(updates[0]));
  REQUIRE(update);
  GrantCoordinator coordinator = MakeReader("front-4");
  coordinator.set_collects_updates(true);
  REQUIRE(coordinator.OnTableUpdate(*update, At(200ms)));
  CHECK(coordinator.next_offset() == 5);
  CHECK(coordinator.tables().at("geodata").Find(7)->owner.name == "u1");
  CHECK(coordinator.term()->instance == "front-2");
  CHECK(coordinator.term_offset() == 3);
  // An instance that collects updates passes the same on.
  const std::vector<TableUpdate> passed_on = coordinator.TakeUpdates();
  REQUIRE(passed_on.size() == 1);
  CHECK(EncodeTableUpdate(passed_on[0]) == EncodeTableUpdate(*update));
}

// Guards against an instance that takes the table of a service for complete
// although it lacks a record: a relay that cannot decode that record announced
// the records around it, of another service and of the term, in one update.
TEST_CASE("Updates of a relay skip no record that the relay cannot decode") {
  const KeyTable archive({MakeRow(kLow, "a1", 4), MakeRow(kHigh, "a1", 4)});
  const std::vector<GrantCoordinator::LogEntry> log{
      {2, MakeTable({MakeRow(kLow, "u1", 2), MakeRow(kHigh, "u0", 1)})},
      {3, {EncodeGrantLogRecord(TableRecord{"archive", archive}).key, "z\x01"}},
      {4, EncodeGrantLogRecord(MakeTerm("front-2"))}};
  GrantCoordinator relay = MakeReader("front-3");
  relay.set_collects_updates(true);
  relay.OnNewestRecords(log, 5, At(100ms));
  GrantCoordinator coordinator = MakeReader("front-4");
  for (const TableUpdate& update : relay.TakeUpdates())
    (void)coordinator.OnTableUpdate(update, At(200ms));
  // The next update of the leader contains what changed after its term.
  TableUpdate next = UpdateOfLeader();
  next.offset = 5;
  next.unchanged_since = 5;
  (void)coordinator.OnTableUpdate(next, At(210ms));
  CHECK(coordinator.next_offset() <= 3);
  CHECK(coordinator.NeedsLog());
}

// Guards against an instance that takes its table for complete after a read in
// pages: a record that was appended during the read hides the record before it,
// which lies within the part that counts as read.
TEST_CASE("GrantCoordinator reads again when the log grows between pages") {
  GrantCoordinator coordinator = MakeReader("front-4");
  const auto log = MakeLog();
  // Record 4 was appended after the first page, which names 4 as the end.
  coordinator.OnNewestRecords({log[4], log[3]}, 4, At(100ms));
  CHECK(coordinator.NeedsLog());
  (void)coordinator.OnTableUpdate(UpdateOfLeader(), At(110ms));
  if (coordinator.next_offset() == 5)
    CHECK(coordinator.tables().at("geodata").Find(7)->owner.name == "u1");
  coordinator.OnLogRecords({log[2], log[3], log[4]}, 5, At(120ms), At(120ms));
  CHECK_FALSE(coordinator.NeedsLog());
  CHECK(coordinator.tables().at("geodata").Find(7)->owner.name == "u1");
}

// Guards against a second leader: an instance that knows of a resignation only
// would start a term at once, beside the leader that has taken over again.
TEST_CASE("Updates of a relay include a term of the same leader") {
  const auto log = MakeLog();
  GrantTermRecord resignation = MakeTerm("front-1");
  resignation.resigned = true;
  const GrantCoordinator::LogEntry resigned{2,
                                            EncodeGrantLogRecord(resignation)};
  // The successor did not take over, and the former leader became it again.
  const GrantCoordinator::LogEntry again{
      3, EncodeGrantLogRecord(MakeTerm("front-1"))};
  for (const bool table_changed : {false, true}) {
    std::vector<GrantCoordinator::LogEntry> newest{again};
    newest.push_back(table_changed ? log[4] : log[1]);
    GrantCoordinator relay = MakeReader("front-3");
    relay.set_collects_updates(true);
    relay.OnNewestRecords(newest, table_changed ? 5 : 4, At(100ms));
    GrantCoordinator coordinator = MakeReader("front-4");
    coordinator.OnLogRecords({resigned}, 3, At(100ms), At(100ms));
    for (const TableUpdate& update : relay.TakeUpdates())
      CHECK(coordinator.OnTableUpdate(update, At(200ms)));
    CHECK_FALSE(coordinator.term()->resigned);
    coordinator.OnPreferredLeader(true, At(300ms), At(300ms));
    CHECK_FALSE(coordinator.Poll(At(310ms)).append);
  }
}

}  // namespace
}  // namespace pollenrudder
