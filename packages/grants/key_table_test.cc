// Tests of KeyTable.

#include "grants/key_table.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

KeyAssignment Row(KeyNumber first,
                  KeyNumber last,
                  std::string owner,
                  std::uint64_t token) {
  KeyAssignment row;
  row.keys = {first, last};
  row.owner.name = std::move(owner);
  row.token = token;
  return row;
}

TEST_CASE("KeyTable cuts the rows that a new row overlaps") {
  KeyTable table;
  table.Assign(Row(0, 999, "a", 1));
  table.Assign(Row(1000, 65535, "b", 1));
  table.Assign(Row(500, 1500, "c", 2));
  REQUIRE(table.rows().size() == 3);
  CHECK(table.Find(499)->owner.name == "a");
  CHECK(table.Find(499)->token == 1);
  CHECK(table.Find(500)->owner.name == "c");
  CHECK(table.Find(1500)->owner.name == "c");
  CHECK(table.Find(1501)->owner.name == "b");
  table.Assign(Row(700, 700, "d", 3));
  CHECK(table.rows().size() == 5);
  CHECK(table.Find(700)->owner.name == "d");
  CHECK(table.Gaps().empty());
}

TEST_CASE("KeyTable returns the ranges without an owner") {
  KeyTable table;
  REQUIRE(table.Gaps().size() == 1);
  CHECK(table.Gaps()[0].size() == kKeyCount);
  table.Assign(Row(10, 20, "a", 1));
  REQUIRE(table.Gaps().size() == 2);
  CHECK(table.Gaps()[0] == KeyRange{0, 9});
  CHECK(table.Gaps()[1] == KeyRange{21, 65535});
  CHECK(table.Find(9) == nullptr);
  CHECK(table.Find(21) == nullptr);
}

}  // namespace
}  // namespace pollenrudder
