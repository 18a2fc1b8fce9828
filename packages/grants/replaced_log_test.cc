// Tests of GrantCoordinator with a log that is replaced by an earlier copy of
// itself, so that acknowledged records are lost.

#include "grants/grant_coordinator.h"

#include <algorithm>
#include <variant>

#include <catch2/catch.hpp>

#include "base/log_position.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr const char* kService = "geodata";
// An instance that learns of the new log starts to count here.
constexpr milliseconds kReplaced{5000};
// From then on, this long may grants of earlier leaders be in effect.
constexpr milliseconds kAllGrantsEnd{14470};
// The new log has records of a former epoch, which are not returned.
constexpr std::uint64_t kNewEnd = MakeLogPosition(1, 3);

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

RouterConfiguration MakeConfiguration() {
  RouterConfiguration configuration;
  configuration.services[kService].owns_keys = true;
  return configuration;
}

Fleet MakeFleet() {
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
  return fleet;
}

GrantCoordinator MakeCoordinator(const std::string& instance) {
  GrantCoordinator::Options options;
  options.instance = instance;
  options.incarnation = instance + "-life";
  GrantCoordinator coordinator(options);
  coordinator.OnFleet(MakeFleet(), MakeConfiguration(), At(0ms));
  return coordinator;
}

GrantLogRecord MakeTerm(const std::string& instance) {
  GrantTermRecord term;
  term.instance = instance;
  term.incarnation = instance + "-life";
  return EncodeGrantLogRecord(term);
}

GrantLogRecord MakeTable(const std::string& owner, std::uint64_t token) {
  KeyAssignment row;
  row.keys = {0, kKeyCount - 1};
  row.owner = {owner, 1ms};
  row.token = token;
  return EncodeGrantLogRecord(TableRecord{kService, KeyTable({row})});
}

struct Calls {
  std::vector<KeyCall> grants;
  std::vector<LogAppend> appends;

  bool AppendedTable() const {
    for (const LogAppend& append : appends) {
      for (const GrantLogRecord& record : append.records) {
        if (ServiceOfTableKey(record.key))
          return true;
      }
    }
    return false;
  }
};

// Lets every append succeed, and every call except grants of u0 with a token
// below `fence`, which u0 rejects.
Calls Run(GrantCoordinator& coordinator,
          milliseconds first,
          milliseconds last,
          std::uint64_t fence = 0) {
  Calls calls;
  for (auto time = first; time <= last; time += 20ms) {
    const BootTime now = At(time);
    // Reads from a position of the former log are answered as truncated.
    if (coordinator.log_epoch() == LogEpochOf(coordinator.next_offset()))
      coordinator.OnLogRecords({}, coordinator.next_offset(), now, now);
    const GrantActions actions = coordinator.Poll(now);
    if (actions.append) {
      calls.appends.push_back(*actions.append);
      coordinator.OnAppendEnded(LogAppendResult::kDone, now, now);
    }
    for (const KeyCall& call : actions.calls) {
      calls.grants.push_back(call);
      const bool is_rejected = call.upstream.name == "u0" && call.token < fence;
      coordinator.OnCallEnded(
          call.id, is_rejected ? KeyCallResult::kFenced : KeyCallResult::kDone,
          "", now);
    }
  }
  return calls;
}

// Returns a leader that has granted all keys, in the first epoch, until 5 s.
GrantCoordinator MakeLeader() {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnLogRecords({}, 0, At(0ms), At(0ms));
  coordinator.OnPreferredLeader(true, At(1ms), At(1ms));
  (void)Run(coordinator, 0ms, kReplaced - 20ms);
  return coordinator;
}

// Guards against two owners of a key: an owner that released its keys to a
// leader on the lost part of the log, and restarted, accepts a renewal with the
// former token, which would prove that no other leader has moved the keys.
TEST_CASE("GrantCoordinator confirms rows only over older connections") {
  GrantCoordinator coordinator = MakeLeader();
  REQUIRE(coordinator.IsLeader());
  const BootTime replaced = At(kReplaced);
  coordinator.OnNewestRecords({}, kNewEnd, replaced);
  const GrantActions actions = coordinator.Poll(replaced);
  REQUIRE(actions.append);
  REQUIRE_FALSE(actions.calls.empty());
  // The last confirmation by the former log.
  const BootTime confirmed = replaced - 20ms;
  const BootTime appended = replaced + 20ms;
  for (const KeyCall& call : actions.calls) {
    CHECK(coordinator.MaySend(call.id, confirmed, replaced));
    CHECK_FALSE(coordinator.MaySend(call.id, replaced, replaced));
  }
  coordinator.OnAppendEnded(LogAppendResult::kDone, appended, appended);
  REQUIRE(coordinator.IsActive(appended));
  for (const KeyCall& call : actions.calls)
    CHECK_FALSE(coordinator.MaySend(call.id, replaced, appended));
}

// Guards against a leader that is never confirmed again after the store was
// restored: it read from a position that the new log does not have, and no key
// was granted until the end of the day.
TEST_CASE("GrantCoordinator continues in a log that replaced the former one") {
  GrantCoordinator coordinator = MakeLeader();
  REQUIRE(coordinator.IsLeader());
  const KeyTable table = coordinator.tables().at(kService);
  REQUIRE(table.Gaps().empty());
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced));
  const Calls calls = Run(coordinator, kReplaced, kReplaced + 10s);
  CHECK(coordinator.IsLeader());
  CHECK(coordinator.IsActive(At(kReplaced + 10s)));
  REQUIRE_FALSE(calls.appends.empty());
  CHECK(calls.appends.front().at == kNewEnd);
  CHECK(calls.AppendedTable());
  // No key changes its owner, and all are renewed without a gap.
  CHECK(coordinator.tables().at(kService) == table);
  CHECK(calls.grants.size() >= 7 * table.rows().size());
}

// Guards against two owners: while the leader was cut off, another instance
// became leader on the lost part of the log, and moved keys whose owner had
// accepted its token.
TEST_CASE("GrantCoordinator renews with its former token in a new log first") {
  GrantCoordinator coordinator = MakeLeader();
  const KeyTable table = coordinator.tables().at(kService);
  const std::uint64_t other_token = coordinator.next_offset() + 5;
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced));
  const Calls calls = Run(coordinator, kReplaced,
                          kReplaced + kAllGrantsEnd - 100ms, other_token);
  REQUIRE(coordinator.IsLeader());
  for (const KeyCall& call : calls.grants) {
    if (call.kind == KeyCall::Kind::kGrant &&
        table.Find(call.keys.first)->owner.name == "u0")
      CHECK(call.token < other_token);
  }
  // Once every grant of the other leader has expired, the keys are granted with
  // a new token.
  const Calls later = Run(coordinator, kReplaced + kAllGrantsEnd + 100ms,
                          kReplaced + kAllGrantsEnd + 2s, other_token);
  CHECK(std::ranges::any_of(later.grants, [&](const KeyCall& call) {
    return call.upstream.name == "u0" && call.token > other_token;
  }));
}

// Guards against two owners: an append without an answer may have been on the
// lost part of the log, where another leader carries out its moves.
TEST_CASE("GrantCoordinator grants no key that an unknown append moved") {
  GrantCoordinator coordinator = MakeLeader();
  const KeyTable table = coordinator.tables().at(kService);
  Fleet fleet = MakeFleet();
  ListedUpstream leaving = *fleet.Find("u0");
  leaving.leaving = true;
  fleet.Apply({"u0", leaving}, At(kReplaced));
  coordinator.OnFleet(fleet, MakeConfiguration(), At(kReplaced));
  GrantActions actions;
  for (auto time = kReplaced; !actions.append && time < kReplaced + 200ms;
       time += 20ms)
    actions = coordinator.Poll(At(time));
  REQUIRE(actions.append);
  SECTION("that ended without an answer") {
    coordinator.OnAppendEnded(LogAppendResult::kUnknown, At(kReplaced),
                              At(kReplaced));
  }
  SECTION("that has not ended") {}
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced));
  coordinator.OnAppendEnded(LogAppendResult::kUnknown, At(kReplaced),
                            At(kReplaced));
  const Calls calls =
      Run(coordinator, kReplaced, kReplaced + kAllGrantsEnd - 100ms);
  for (const KeyCall& call : calls.grants) {
    if (call.kind == KeyCall::Kind::kGrant)
      CHECK(table.Find(call.keys.first)->owner.name != "u0");
  }
  const Calls later = Run(coordinator, kReplaced + kAllGrantsEnd,
                          kReplaced + kAllGrantsEnd + 1s);
  CHECK(std::ranges::any_of(later.grants, [&](const KeyCall& call) {
    return call.kind == KeyCall::Kind::kGrant &&
           table.Find(call.keys.first)->owner.name == "u0";
  }));
}

// Guards against two owners: another leader has read the end of a move, whose
// append this leader did not get an answer to, and has moved the keys on.
TEST_CASE("GrantCoordinator confirms rows whose move an unknown append ended") {
  GrantCoordinator coordinator = MakeCoordinator("front-1");
  coordinator.OnLogRecords({}, 0, At(0ms), At(0ms));
  coordinator.OnPreferredLeader(true, At(1ms), At(1ms));
  bool has_ended_moves = false;
  milliseconds time{20};
  for (; !has_ended_moves && time < kReplaced; time += 20ms) {
    const GrantActions actions = coordinator.Poll(At(time));
    for (const KeyCall& call : actions.calls)
      coordinator.OnCallEnded(call.id, KeyCallResult::kDone, "", At(time));
    if (!actions.append)
      continue;
    const auto parsed = ParseGrantLogRecord(actions.append->records.back());
    REQUIRE(parsed);
    const auto* record = std::get_if<TableRecord>(&parsed.value());
    has_ended_moves =
        record != nullptr &&
        std::ranges::none_of(record->table.rows(), &KeyAssignment::moving);
    coordinator.OnAppendEnded(
        has_ended_moves ? LogAppendResult::kUnknown : LogAppendResult::kDone,
        At(time), At(time));
  }
  REQUIRE(has_ended_moves);
  const KeyTable table = coordinator.tables().at(kService);
  coordinator.OnNewestRecords({}, kNewEnd, At(time));
  const std::uint64_t other_token = MakeLogPosition(0, 1000);
  const Calls calls =
      Run(coordinator, time, time + kAllGrantsEnd - 100ms, other_token);
  bool renewed = false;
  for (const KeyCall& call : calls.grants) {
    if (call.kind != KeyCall::Kind::kGrant ||
        table.Find(call.keys.first)->owner.name != "u0")
      continue;
    renewed = true;
    CHECK(call.token < other_token);
  }
  CHECK(renewed);
}

// Guards against two owners: what is left of the log names earlier owners, and
// an instance that was not the leader does not know the last ones.
TEST_CASE("GrantCoordinator without a lease knows no table of a new log") {
  GrantCoordinator coordinator = MakeCoordinator("front-2");
  coordinator.OnLogRecords({{0, MakeTerm("front-1")}, {1, MakeTable("u1", 1)}},
                           2, At(0ms), At(0ms));
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced));
  // Requests are still routed by the last known table.
  CHECK(coordinator.tables().at(kService).Find(7)->owner.name == "u1");
  coordinator.OnPreferredLeader(true, At(kReplaced), At(kReplaced));
  // The leader of the former log gets time to continue.
  CHECK(Run(coordinator, kReplaced, kReplaced + 1800ms).appends.empty());
  const Calls calls =
      Run(coordinator, kReplaced + 1820ms, kReplaced + kAllGrantsEnd - 100ms);
  REQUIRE(coordinator.IsLeader());
  CHECK(calls.grants.empty());
  CHECK_FALSE(calls.AppendedTable());
  const Calls later = Run(coordinator, kReplaced + kAllGrantsEnd,
                          kReplaced + kAllGrantsEnd + 2s);
  CHECK(later.AppendedTable());
  CHECK(coordinator.tables().at(kService).Gaps().empty());
  for (const KeyCall& call : later.grants)
    CHECK(LogEpochOf(call.token) == 1);
}

// Guards against an instance that starts in a later epoch of the log and takes
// keys without a record for never assigned.
TEST_CASE("GrantCoordinator that starts with a replaced log waits for grants") {
  GrantCoordinator coordinator = MakeCoordinator("front-2");
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced));
  coordinator.OnPreferredLeader(true, At(kReplaced), At(kReplaced));
  const Calls calls =
      Run(coordinator, kReplaced, kReplaced + kAllGrantsEnd - 100ms);
  REQUIRE(coordinator.IsLeader());
  CHECK(calls.grants.empty());
}

// Guards against two owners: another leader on the lost part of the log that
// does not know of the new one may still move keys without a call to their
// owners, whose grants have expired for it.
TEST_CASE("GrantCoordinator does not continue after its grants have expired") {
  GrantCoordinator coordinator = MakeLeader();
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced + 9900ms));
  CHECK_FALSE(coordinator.IsLeader());
  CHECK_FALSE(coordinator.Poll(At(kReplaced + 9920ms)).append);
}

// Guards against keys that stay without an owner for all grants to expire,
// because the store was away for longer than the lease of the leader.
TEST_CASE("GrantCoordinator continues after a store outage beyond its lease") {
  GrantCoordinator coordinator = MakeLeader();
  const KeyTable table = coordinator.tables().at(kService);
  coordinator.OnNewestRecords({}, kNewEnd, At(kReplaced + 8s));
  const Calls calls = Run(coordinator, kReplaced + 8s, kReplaced + 9s);
  CHECK(coordinator.IsLeader());
  CHECK(coordinator.tables().at(kService) == table);
  CHECK(calls.grants.size() >= 2 * table.rows().size());
}

// Guards against an instance that counts as complete a table that lacks what
// it did not read from the former log.
TEST_CASE("GrantCoordinator reads the table of a new log before updates") {
  GrantCoordinator reader = MakeCoordinator("front-2");
  reader.OnLogRecords({{0, MakeTerm("front-1")}, {1, MakeTable("u1", 1)}}, 2,
                      At(0ms), At(0ms));
  GrantCoordinator leader = MakeLeader();
  leader.OnNewestRecords({}, kNewEnd, At(kReplaced));
  (void)Run(leader, kReplaced, kReplaced + 500ms);
  reader.OnLastChange(leader.last_change_offset());
  CHECK(reader.NeedsLog());
  TableUpdate update;
  update.service = kService;
  update.offset = kNewEnd + 8;
  update.unchanged_since = leader.last_change_offset();
  CHECK_FALSE(reader.OnTableUpdate(update, At(kReplaced + 500ms)));
  // The term is on the new log, the table not yet.
  reader.OnNewestRecords({{kNewEnd, MakeTerm("front-1")}}, kNewEnd + 1,
                         At(kReplaced + 600ms));
  CHECK(reader.next_offset() == kNewEnd + 1);
  CHECK(reader.tables().at(kService).Find(7)->owner.name == "u1");
  update.unchanged_since = kNewEnd + 1;
  CHECK_FALSE(reader.OnTableUpdate(update, At(kReplaced + 600ms)));
  reader.OnNewestRecords({{kNewEnd, MakeTerm("front-1")},
                          {kNewEnd + 9, MakeTable("u2", kNewEnd + 8)}},
                         kNewEnd + 10, At(kReplaced + 700ms));
  CHECK(reader.tables().at(kService).Find(7)->owner.name == "u2");
  CHECK_FALSE(reader.NeedsLog());
}

// Guards against responses of the former log that arrive late.
TEST_CASE("GrantCoordinator ignores late responses of a former log") {
  GrantCoordinator coordinator = MakeCoordinator("front-2");
  coordinator.OnNewestRecords(
      {{kNewEnd, MakeTerm("front-1")}, {kNewEnd + 1, MakeTable("u2", kNewEnd)}},
      kNewEnd + 2, At(0ms));
  coordinator.OnNewestRecords({{8, MakeTerm("front-3")}}, 9, At(10ms));
  coordinator.OnLogRecords({{9, MakeTerm("front-3")}}, 10, At(10ms), At(20ms));
  CHECK(coordinator.term()->instance == "front-1");
  CHECK(coordinator.next_offset() == kNewEnd + 2);
}

}  // namespace
}  // namespace pollenrudder
