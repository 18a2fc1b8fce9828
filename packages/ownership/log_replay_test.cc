// Tests of LogReplay: overlapping and incomplete reads, checkpoints, snapshots
// and log regressions.

#include "ownership/log_replay.h"

#include <catch2/catch.hpp>

#include "controller_fixture_test.h"
#include "ownership/table_codec.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr BootTime kStart{1h};

std::string Abandon(int number) {
  return EncodeLogRecord({"id" + std::to_string(number), "x",
                          AbandonRecord{std::to_string(number)}});
}

// Returns a read of records `from` to `next` - 1 of a log of abandon records.
LogRecordsRead Read(LogOffset from, LogOffset next, BootTime proof_time) {
  LogRecordsRead read;
  read.first_retained = 1;
  read.next = next;
  read.proof_time = proof_time;
  for (LogOffset offset = from; offset < next; ++offset)
    read.records.push_back({offset, Abandon(static_cast<int>(offset))});
  return read;
}

TEST_CASE("overlapping and late reads apply each record once") {
  LogReplay replay{LeaseDurations{}};
  REQUIRE(replay.OnLogRead(Read(1, 4, kStart), kStart + 1ms).proved);
  const auto second = replay.OnLogRead(Read(2, 6, kStart + 2ms), kStart + 3ms);
  REQUIRE(second.records.size() == 2);
  // A relayed result that was in transit while newer records arrived.
  const auto late = replay.OnLogRead(Read(1, 3, kStart), kStart + 4ms);
  REQUIRE(late.records.empty());
  REQUIRE(late.proved);
  REQUIRE_FALSE(late.error);
  REQUIRE(replay.table().state().abandoned.size() == 5);
}

// Guards against a lease that is extended by an incomplete read.
TEST_CASE("an incomplete read proves nothing and is repeated") {
  LogReplay replay{LeaseDurations{}};
  LogRecordsRead cut = Read(1, 3, kStart);
  cut.reached_end = false;
  const auto first = replay.OnLogRead(cut, kStart);
  REQUIRE_FALSE(first.proved);
  REQUIRE(first.read_again);
  const auto gap = replay.OnLogRead(Read(5, 7, kStart), kStart);
  REQUIRE(gap.records.empty());
  REQUIRE_FALSE(gap.proved);
  REQUIRE(gap.read_again);
  REQUIRE(replay.next_offset() == 3);
}

TEST_CASE("a log that restarts lower stops appends and proves nothing") {
  LogReplay replay{LeaseDurations{}};
  replay.OnLogRead(Read(1, 6, kStart), kStart + 1ms);
  const auto regressed =
      replay.OnLogRead(Read(1, 3, kStart + 2ms), kStart + 3ms);
  REQUIRE(regressed.error);
  REQUIRE(regressed.error->kind == ErrorKind::kLogRegressed);
  REQUIRE_FALSE(regressed.proved);
  REQUIRE(replay.changes_stopped());
  // The log grows beyond the applied offset with different records.
  const auto grown = replay.OnLogRead(Read(1, 9, kStart + 4ms), kStart + 5ms);
  REQUIRE(grown.records.empty());
  REQUIRE_FALSE(grown.proved);
}

TEST_CASE("an unsupported record stops appends but not the replay") {
  LogReplay replay{LeaseDurations{}};
  LogRecordsRead read = Read(1, 3, kStart);
  read.records[0].data = R"({"format":9})";
  REQUIRE(replay.OnLogRead(read, kStart).proved);
  REQUIRE(replay.changes_stopped());
  REQUIRE(replay.unsupported_records() == 1);
}

// The log retains records 4 to 8. Records 6 and 7 are the two parts of a
// checkpoint.
LogRecordsRead Retained(const TableState& state, LogOffset covered) {
  LogRecordsRead read = Read(4, 9, kStart);
  read.first_retained = 4;
  const auto parts = EncodeTable(state, 64);
  REQUIRE(parts.size() >= 2);
  std::string rest;
  for (std::size_t part = 1; part < parts.size(); ++part)
    rest += parts[part];
  read.records[2].data = EncodeLogRecord(
      {"c1", "x", CheckpointRecord{"c", covered, 0, 2, parts[0]}});
  read.records[3].data =
      EncodeLogRecord({"c2", "x", CheckpointRecord{"c", covered, 1, 2, rest}});
  return read;
}

TEST_CASE("a reader that missed expired records starts from a checkpoint") {
  OwnershipTable writer{LeaseDurations{}};
  for (int offset = 1; offset <= 5; ++offset)
    writer.Apply(static_cast<LogOffset>(offset), Abandon(offset));
  LogReplay replay{LeaseDurations{}};
  const auto read = Retained(writer.state(), 5);

  SECTION("complete") {
    const auto outcome = replay.OnLogRead(read, kStart);
    REQUIRE(outcome.loaded_checkpoint);
    REQUIRE(outcome.proved);
    REQUIRE(replay.next_offset() == 9);
    REQUIRE(replay.table().state().abandoned ==
            std::vector<std::string>{"1", "2", "3", "4", "5", "8"});
  }
  SECTION("a part is missing") {
    LogRecordsRead cut = read;
    cut.records.erase(cut.records.begin() + 3, cut.records.end());
    cut.next = 7;
    const auto outcome = replay.OnLogRead(cut, kStart);
    REQUIRE_FALSE(outcome.loaded_checkpoint);
    REQUIRE_FALSE(outcome.proved);
    REQUIRE(replay.seeking_checkpoint());
    REQUIRE(replay.next_offset() == 7);
    LogRecordsRead rest = read;
    rest.records.erase(rest.records.begin(), rest.records.begin() + 3);
    REQUIRE(replay.OnLogRead(rest, kStart).loaded_checkpoint);
  }
  SECTION("records between the checkpoint and the retained ones are missing") {
    TableState old = writer.state();
    old.offset = 2;
    const auto outcome = replay.OnLogRead(Retained(old, 2), kStart);
    REQUIRE_FALSE(outcome.loaded_checkpoint);
    REQUIRE(replay.seeking_checkpoint());
  }
}

TEST_CASE("the snapshot of a peer is loaded unless it is older") {
  LogReplay peer{LeaseDurations{}};
  peer.OnLogRead(Read(1, 6, kStart), kStart);
  LogReplay replay{LeaseDurations{}};
  REQUIRE(replay.LoadSnapshot(peer.Snapshot()).has_value());
  REQUIRE(replay.next_offset() == 6);
  // The result of a read that started before the snapshot was loaded is not a
  // regression.
  REQUIRE_FALSE(replay.OnLogRead(Read(1, 3, kStart), kStart + 1ms).error);
  replay.OnLogRead(Read(6, 8, kStart + 2ms), kStart + 3ms);
  const Result<void> older = replay.LoadSnapshot(peer.Snapshot());
  REQUIRE_FALSE(older.has_value());
  REQUIRE(older.error().kind == ErrorKind::kLogRegressed);
}

}  // namespace
}  // namespace pollenrudder
