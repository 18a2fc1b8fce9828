// Tests of the records of the grant log.

#include "grants/grant_log_record.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

TEST_CASE("Grant log records are parsed as they were encoded") {
  const GrantTermRecord term{"front-1",
                             "ab",
                             "127.0.0.1:7000",
                             true,
                             std::chrono::milliseconds(6120),
                             std::chrono::milliseconds(4080)};
  const auto parsed_term = ParseGrantLogRecord(EncodeGrantLogRecord(term));
  REQUIRE(parsed_term);
  CHECK(std::get<GrantTermRecord>(parsed_term.value()) == term);

  TableRecord table;
  table.service = "geodata";
  KeyAssignment row;
  row.keys = {5, 9};
  row.owner = {"up-1", std::chrono::milliseconds(1'700'000'000'123)};
  row.token = 77;
  table.table.Assign(row);
  row.keys = {10, 65535};
  row.moving = true;
  row.former = FormerOwner{{"up-2", std::chrono::milliseconds(4)}, 60};
  table.table.Assign(row);
  const auto parsed_table = ParseGrantLogRecord(EncodeGrantLogRecord(table));
  REQUIRE(parsed_table);
  CHECK(std::get<TableRecord>(parsed_table.value()) == table);
}

// Guards against a table of hundreds of upstreams that exceeds the largest
// record of the store (256 KiB), or fills a link when many instances read it.
TEST_CASE("A large table is stored compressed") {
  TableRecord table;
  table.service = "geodata";
  for (std::uint32_t row = 0; row < 2488; ++row) {
    KeyAssignment assignment;
    assignment.keys = {static_cast<KeyNumber>(row * 26),
                       static_cast<KeyNumber>(row * 26 + 25)};
    assignment.owner = {"i-" + std::to_string(row * 7919 % 311 * 104729),
                        std::chrono::milliseconds(1'700'000'000'123)};
    assignment.token = 1000 + row % 97;
    assignment.moving = true;
    assignment.former =
        FormerOwner{{"i-" + std::to_string(row * 104729 % 311 * 7919),
                     std::chrono::milliseconds(1'700'000'000'321)},
                    900 + row % 89};
    table.table.Assign(assignment);
  }
  const GrantLogRecord record = EncodeGrantLogRecord(table);
  CHECK(record.value.size() < (std::size_t{256} << 10));
  const auto parsed = ParseGrantLogRecord(record);
  REQUIRE(parsed);
  CHECK(std::get<TableRecord>(parsed.value()) == table);
  CHECK_FALSE(ParseGrantLogRecord(
      {record.key, record.value.substr(0, record.value.size() / 2)}));
  CHECK_FALSE(ParseGrantLogRecord({record.key, "z"}));
}

// Guards against a partial table, which would give keys a second owner: a
// malformed record is rejected as a whole.
TEST_CASE("Malformed grant log records are rejected") {
  CHECK_FALSE(ParseGrantLogRecord({"term", "{}"}));
  CHECK_FALSE(ParseGrantLogRecord({"term", "\x01\x02"}));
  CHECK_FALSE(ParseGrantLogRecord({"other", "{}"}));
  CHECK_FALSE(ParseGrantLogRecord({"keys/a", "{}"}));
  CHECK_FALSE(ParseGrantLogRecord({"keys/a", R"([[0,70000,"u",1,2,0]])"}));
  CHECK_FALSE(ParseGrantLogRecord({"keys/a", R"([[9,5,"u",1,2,0]])"}));
  CHECK_FALSE(ParseGrantLogRecord({"keys/a", R"([[0,9,"u",1,2]])"}));
  CHECK_FALSE(
      ParseGrantLogRecord({"keys/a", R"([[0,9,"u",1,2,0],[9,12,"v",1,2,0]])"}));
}

}  // namespace
}  // namespace pollenrudder
