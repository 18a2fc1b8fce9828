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
