// Tests of OwnershipTable: the preconditions of each type of record.

#include "ownership/ownership_table.h"

#include <catch2/catch.hpp>

#include "controller_fixture_test.h"
#include "ownership/table_codec.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using Effect = AppliedRecord::Effect;

// Appends records to a table, each at the next offset.
class ReplayedLog {
 public:
  Effect Append(const std::string& by,
                LogRecordBody body,
                const std::string& id = {}) {
    LogRecord record;
    record.id = id.empty() ? "id" + std::to_string(table.applied()) : id;
    record.by = by;
    record.body = std::move(body);
    last = table.Apply(table.applied() + 1, EncodeLogRecord(record));
    return last.effect;
  }

  Effect Term(const std::string& by, TermEntry entry) {
    return Append(by, TermRecord{{std::move(entry)}});
  }

  LogOffset TermOf(const std::string& upstream) const {
    return table.FindTerm(upstream)->term;
  }

  OwnershipTable table{LeaseDurations{}};
  AppliedRecord last;
};

constexpr auto kLogWait = 606ms;

TermEntry Entry(const std::string& upstream,
                LogOffset previous,
                TermKind kind,
                const std::string& leader,
                const std::string& leader_zone = "a") {
  TermEntry entry;
  entry.upstream = upstream;
  entry.service = "geodata";
  entry.zone = "a";
  entry.region = "r";
  entry.address = upstream + ":80";
  entry.previous = previous;
  entry.kind = kind;
  entry.leader = leader;
  entry.leader_zone = leader_zone;
  entry.voters = {{"a2.1", "a", "a2:2"}, {"b1.1", "b", "b1:2"}};
  entry.isolation_hold = 5s;
  if (kind == TermKind::kClaim || kind == TermKind::kDeclaredLost)
    entry.wait = kLogWait;
  return entry;
}

// Returns a log with the service geodata and its upstreams u1 and u2, led by
// a1.1.
ReplayedLog LogWithTerms() {
  ReplayedLog log;
  log.Append("operator", SectionRecord{"ground", 0,
                                       ShardedSection("ground", "geodata", 8)});
  REQUIRE(log.Term("a1.1", Entry("u1", 0, TermKind::kFirst, "a1.1")) ==
          Effect::kApplied);
  REQUIRE(log.Term("a1.1", Entry("u2", 0, TermKind::kFirst, "a1.1")) ==
          Effect::kApplied);
  return log;
}

// Guards against concurrent edits of a section that both take effect.
TEST_CASE("only the first of two concurrent sections takes effect") {
  ReplayedLog log;
  const std::string text = ShardedSection("ground", "geodata", 8);
  REQUIRE(log.Append("x", SectionRecord{"ground", 0, text}) ==
          Effect::kApplied);
  REQUIRE(log.Append("y", SectionRecord{"ground", 0, text}) ==
          Effect::kIgnored);
  REQUIRE(log.Append("y", SectionRecord{"ground", 1, text}) ==
          Effect::kApplied);
  REQUIRE(log.table.state().sections.at("ground").offset == 3);
}

TEST_CASE("an invalid section has no effect") {
  ReplayedLog log;
  REQUIRE(log.Append("x", SectionRecord{"ground", 0, "team: other\n"}) ==
          Effect::kIgnored);
  REQUIRE(log.table.document().sections().empty());
}

// Guards against shards that change owners without a move because their service
// was deleted and added again with another shard count.
TEST_CASE("the shard count stays fixed while shards have owners") {
  ReplayedLog log = LogWithTerms();
  log.Append("a1.1", PlaceRecord{"geodata", {{0, "u1"}}});
  const std::string none =
      "team: ground\nservices:\n  - {name: other, path_prefix: /other/, slots: "
      "1, connections: 1}\n";
  REQUIRE(log.Append("x", SectionRecord{"ground", 1, none}) ==
          Effect::kApplied);
  const LogOffset previous = log.table.applied();
  REQUIRE(
      log.Append("x", SectionRecord{"ground", previous,
                                    ShardedSection("ground", "geodata", 16)}) ==
      Effect::kIgnored);
  REQUIRE(
      log.Append("x", SectionRecord{"ground", previous,
                                    ShardedSection("ground", "geodata", 8)}) ==
      Effect::kApplied);
}

TEST_CASE("a first term requires an upstream without a term") {
  ReplayedLog log = LogWithTerms();
  REQUIRE(log.Term("a2.1", Entry("u1", 0, TermKind::kFirst, "a2.1")) ==
          Effect::kIgnored);
  REQUIRE(log.Term("a2.1", Entry("u3", 0, TermKind::kClaim, "a2.1")) ==
          Effect::kIgnored);
  REQUIRE(log.Term("a2.1", Entry("u3", 0, TermKind::kFirst, "a1.1")) ==
          Effect::kIgnored);
}

// Guards against two instances that send to an upstream: the promises of the
// voters and the wait of a claim bound the lease of the previous leader.
TEST_CASE("a claim requires the current term and a voter and the full wait") {
  ReplayedLog log = LogWithTerms();
  const LogOffset term = log.TermOf("u1");
  TermEntry claim = Entry("u1", term, TermKind::kClaim, "a2.1");

  SECTION("a voter in the leader's zone waits for the log lease") {
    REQUIRE(log.Term("a2.1", claim) == Effect::kApplied);
    REQUIRE(log.TermOf("u1") == log.table.applied());
    REQUIRE(log.table.FindTerm("u1")->leader_fence == log.table.applied());
    REQUIRE_FALSE(log.table.FindTerm("u1")->active);
    REQUIRE(log.Term("b1.1", Entry("u1", term, TermKind::kClaim, "b1.1",
                                   "b")) == Effect::kIgnored);
  }
  SECTION("not a voter") {
    REQUIRE(log.Term("a3.1", Entry("u1", term, TermKind::kClaim, "a3.1")) ==
            Effect::kIgnored);
  }
  SECTION("for another instance") {
    REQUIRE(log.Term("b1.1", claim) == Effect::kIgnored);
  }
  SECTION("too short a wait") {
    claim.wait = kLogWait - 1ns;
    REQUIRE(log.Term("a2.1", claim) == Effect::kIgnored);
  }
  SECTION("a voter of another zone waits for the isolation hold") {
    TermEntry other_zone_claim =
        Entry("u1", term, TermKind::kClaim, "b1.1", "b");
    other_zone_claim.wait = 5050ms - 1ns;
    REQUIRE(log.Term("b1.1", other_zone_claim) == Effect::kIgnored);
    other_zone_claim.wait = 5050ms;
    REQUIRE(log.Term("b1.1", other_zone_claim) == Effect::kApplied);
  }
  SECTION("a claim over a term that was never active inherits its wait") {
    TermEntry other_zone_claim =
        Entry("u1", term, TermKind::kClaim, "b1.1", "b");
    other_zone_claim.wait = 5050ms;
    other_zone_claim.voters = {{"b2.1", "b", "b2:2"}};
    REQUIRE(log.Term("b1.1", other_zone_claim) == Effect::kApplied);
    TermEntry next =
        Entry("u1", log.TermOf("u1"), TermKind::kClaim, "b2.1", "b");
    REQUIRE(log.Term("b2.1", next) == Effect::kIgnored);
    SECTION("with the full wait") {
      next.wait = 5050ms;
      REQUIRE(log.Term("b2.1", next) == Effect::kApplied);
    }
    SECTION("after it has become active") {
      REQUIRE(log.Append("b2.1", ActiveRecord{"u1", log.TermOf("u1")}) ==
              Effect::kIgnored);
      REQUIRE(log.Append("b1.1", ActiveRecord{"u1", log.TermOf("u1")}) ==
              Effect::kApplied);
      REQUIRE(log.Term("b2.1", next) == Effect::kApplied);
    }
  }
}

// Guards against shards that stay unserved after a short partition of an
// availability zone, and against a reclaim after the new leader has become
// active.
TEST_CASE("a disconnected zone reclaims a term that is not active yet") {
  ReplayedLog log = LogWithTerms();
  TermEntry other_zone_claim =
      Entry("u1", log.TermOf("u1"), TermKind::kClaim, "b1.1", "b");
  other_zone_claim.wait = 5050ms;
  REQUIRE(log.Term("b1.1", other_zone_claim) == Effect::kApplied);
  const LogOffset waiting = log.TermOf("u1");
  TermEntry reclaim = Entry("u1", waiting, TermKind::kClaim, "a1.1");
  reclaim.voters = {{"a2.1", "a", "a2:2"}};

  SECTION("by the replaced leader, with the wait of the log lease") {
    REQUIRE(log.Term("a1.1", reclaim) == Effect::kApplied);
    REQUIRE_FALSE(log.table.FindTerm("u1")->active);
    REQUIRE(log.Append("b1.1", ActiveRecord{"u1", waiting}) ==
            Effect::kIgnored);
  }
  SECTION("not with a shorter wait") {
    reclaim.wait = kLogWait - 1ms;
    REQUIRE(log.Term("a1.1", reclaim) == Effect::kIgnored);
  }
  SECTION("not by another instance of the zone") {
    reclaim.leader = "a3.1";
    REQUIRE(log.Term("a3.1", reclaim) == Effect::kIgnored);
  }
  SECTION("not once the claimant is active") {
    REQUIRE(log.Append("b1.1", ActiveRecord{"u1", waiting}) ==
            Effect::kApplied);
    REQUIRE(log.Term("a1.1", reclaim) == Effect::kIgnored);
  }
}

TEST_CASE("an abandoned record is ignored if it appears later") {
  ReplayedLog log = LogWithTerms();
  const LogOffset term = log.TermOf("u1");
  const TermRecord claim{{Entry("u1", term, TermKind::kClaim, "a2.1")}};
  log.Append("a2.1", AbandonRecord{"claim"});
  REQUIRE(log.Append("a2.1", claim, "claim") == Effect::kIgnored);
  REQUIRE(log.Append("a2.1", claim, "another") == Effect::kApplied);
  log.Append("a2.1", AbandonRecord{"another"});
  REQUIRE(log.table.FindTerm("u1")->leader == "a2.1");
}

TEST_CASE("only the active leader hands over or revises a term") {
  ReplayedLog log = LogWithTerms();
  const LogOffset term = log.TermOf("u1");
  const TermEntry handover = Entry("u1", term, TermKind::kHandover, "a2.1");
  TermEntry revise = Entry("u1", term, TermKind::kRevise, "a1.1");
  revise.voters.pop_back();
  REQUIRE(log.Term("a2.1", handover) == Effect::kIgnored);
  REQUIRE(log.Term("a2.1", revise) == Effect::kIgnored);

  SECTION("a revision keeps the fence") {
    REQUIRE(log.Term("a1.1", revise) == Effect::kApplied);
    REQUIRE(log.TermOf("u1") > term);
    REQUIRE(log.table.FindTerm("u1")->leader_fence == term);
    REQUIRE(log.Term("a1.1", handover) == Effect::kIgnored);
  }
  SECTION("a handover needs no wait") {
    REQUIRE(log.Term("a1.1", handover) == Effect::kApplied);
    REQUIRE(log.table.FindTerm("u1")->active);
    REQUIRE(log.table.FindTerm("u1")->leader_fence > term);
  }
  SECTION("a leader that is not active yet hands nothing over") {
    REQUIRE(log.Term("a2.1", Entry("u1", term, TermKind::kClaim, "a2.1")) ==
            Effect::kApplied);
    const LogOffset claimed = log.TermOf("u1");
    REQUIRE(log.Term("a2.1", Entry("u1", claimed, TermKind::kHandover,
                                   "a3.1")) == Effect::kIgnored);
  }
}

TEST_CASE("a declared_lost claim requires the declaration and its wait") {
  ReplayedLog log = LogWithTerms();
  TermEntry claim =
      Entry("u1", log.TermOf("u1"), TermKind::kDeclaredLost, "c1.1", "c");
  claim.wait = 909ms;
  REQUIRE(log.Term("c1.1", claim) == Effect::kIgnored);
  const char* declared = GENERATE("zones: [a]", "instances: [a1]");
  log.Append(
      "operator",
      SectionRecord{"ground", 1,
                    ShardedSection("ground", "geodata", 8,
                                   "lost: {" + std::string(declared) + "}\n")});
  claim.wait = 909ms - 1ns;
  REQUIRE(log.Term("c1.1", claim) == Effect::kIgnored);
  claim.wait = 909ms;
  REQUIRE(log.Term("c1.1", claim) == Effect::kApplied);
}

// Guards against a claimant that waits for the whole isolation hold although an
// operator has declared the zone lost after the claim.
TEST_CASE("a declaration of loss shortens only the claimant's own wait") {
  ReplayedLog log = LogWithTerms();
  TermEntry claim =
      Entry("u1", log.TermOf("u1"), TermKind::kClaim, "b1.1", "b");
  claim.wait = 5050ms;
  claim.voters = {{"c1.1", "c", "c1:2"}};
  REQUIRE(log.Term("b1.1", claim) == Effect::kApplied);
  const LogOffset claimed = log.TermOf("u1");
  log.Append("operator", SectionRecord{"ground", 1,
                                       ShardedSection("ground", "geodata", 8,
                                                      "lost: {zones: [a]}\n")});
  TermEntry other = Entry("u1", claimed, TermKind::kDeclaredLost, "c1.1", "c");
  other.wait = 909ms;
  REQUIRE(log.Term("c1.1", other) == Effect::kIgnored);
  TermEntry own = Entry("u1", claimed, TermKind::kDeclaredLost, "b1.1", "b");
  own.wait = 909ms;
  REQUIRE(log.Term("b1.1", own) == Effect::kApplied);
}

TEST_CASE("shards are placed once and moved by their leader only") {
  ReplayedLog log = LogWithTerms();
  REQUIRE(log.Append(
              "x",
              PlaceRecord{"geodata",
                          {{0, "u1"}, {1, "u1"}, {8, "u1"}, {2, "unknown"}}}) ==
          Effect::kApplied);
  const LogOffset placed_offset = log.table.applied();
  REQUIRE(log.table.ShardsOf("u1") == std::vector<std::uint32_t>{0, 1});
  REQUIRE(log.Append("x", PlaceRecord{"geodata", {{0, "u2"}}}) ==
          Effect::kIgnored);

  MoveRecord move{
      "u1", log.TermOf("u1"), "geodata", {{0, placed_offset, "u2"}}, {}, {}};
  SECTION("the leader moves a shard, and a second copy does nothing") {
    REQUIRE(log.Append("a1.1", move) == Effect::kApplied);
    REQUIRE(log.table.FindShards("geodata")->at(0) ==
            ShardState{"u2", log.table.applied()});
    REQUIRE(log.Append("a1.1", move) == Effect::kIgnored);
  }
  SECTION("not by another instance") {
    REQUIRE(log.Append("a2.1", move) == Effect::kIgnored);
  }
  SECTION("not by an earlier term") {
    log.Term("a1.1", Entry("u1", move.term, TermKind::kRevise, "a1.1"));
    REQUIRE(log.Append("a1.1", move) == Effect::kIgnored);
  }
  SECTION("not over another placement") {
    move.moves[0].placed_offset = placed_offset - 1;
    REQUIRE(log.Append("a1.1", move) == Effect::kIgnored);
  }
  SECTION("not to an upstream without a term") {
    move.moves[0].target = "unknown";
    REQUIRE(log.Append("a1.1", move) == Effect::kIgnored);
  }
  SECTION("not by a leader that is not active yet") {
    log.Term("a2.1", Entry("u1", move.term, TermKind::kClaim, "a2.1"));
    move.term = log.TermOf("u1");
    REQUIRE(log.Append("a2.1", move) == Effect::kIgnored);
  }
  SECTION("suspects count even if the move is ignored") {
    move.term = 1;
    move.suspects = {42};
    log.Append("a1.1", move);
    REQUIRE(log.table.state().suspects.size() == 1);
    REQUIRE(log.table.ShardsOf("u2").empty());
  }
}

TEST_CASE("an upstream is retired by its leader once it owns no shard") {
  ReplayedLog log = LogWithTerms();
  log.Append("x", PlaceRecord{"geodata", {{0, "u1"}}});
  const LogOffset placed_offset = log.table.applied();
  const RetireRecord retire{"u1", log.TermOf("u1")};
  REQUIRE(log.Append("a1.1", retire) == Effect::kIgnored);
  log.Append(
      "a1.1",
      MoveRecord{
          "u1", retire.term, "geodata", {{0, placed_offset, "u2"}}, {}, {}});
  REQUIRE(log.Append("a2.1", retire) == Effect::kIgnored);
  REQUIRE(log.Append("a1.1", retire) == Effect::kApplied);
  REQUIRE(log.table.FindTerm("u1") == nullptr);
}

TEST_CASE("unknown formats and types are distinct from malformed data") {
  OwnershipTable table{LeaseDurations{}};
  REQUIRE(table.Apply(1, "no json").effect == Effect::kMalformed);
  REQUIRE(table.Apply(2, R"({"format":2})").effect == Effect::kUnsupported);
  REQUIRE(
      table.Apply(3, R"({"format":1,"id":"a","by":"b","type":"new"})").effect ==
      Effect::kUnsupported);
  REQUIRE(table.Apply(4, R"({"format":1,"id":"a","by":"b","type":"active"})")
              .effect == Effect::kMalformed);
}

TEST_CASE("a checkpoint restores the whole state") {
  ReplayedLog log = LogWithTerms();
  log.Append("x", PlaceRecord{"geodata", {{0, "u1"}, {5, "u2"}}});
  log.Append("x", AbandonRecord{"id with \xc3\xa9"});
  log.Append("x", QuarantineRecord{"geodata", UINT64_MAX,
                                   WallTime(std::chrono::seconds(5))});
  const std::size_t part_bytes = GENERATE(1, 7, 48 * 1024);
  const auto parts = EncodeTable(log.table.state(), part_bytes);
  const Result<TableState> state = DecodeTable(parts);
  REQUIRE(state.has_value());
  REQUIRE(state.value() == log.table.state());
  const auto loaded =
      OwnershipTable::FromState(state.value(), LeaseDurations{});
  REQUIRE(loaded.has_value());
  REQUIRE(loaded.value().document().FindService("geodata") != nullptr);
}

}  // namespace
}  // namespace pollenrudder
