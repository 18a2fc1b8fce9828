// Tests of KeyTable.

#include "grants/key_table.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

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

// Compares with a table that is kept key by key. Guards against rows that are
// lost or overlap, which would leave keys unserved or give them two owners.
TEST_CASE("KeyTable assigns any ranges as a map of single keys would") {
  std::mt19937 random(7);
  for (int run = 0; run < 50; ++run) {
    KeyTable table;
    std::vector<std::uint64_t> tokens(kKeyCount);
    for (std::uint64_t token = 1; token <= 60; ++token) {
      // Small ranges in a small part of the keys, so that they overlap.
      const auto first = static_cast<KeyNumber>(random() % 300);
      const auto last = static_cast<KeyNumber>(
          std::min<std::uint32_t>(kKeyCount - 1, first + random() % 40));
      table.Assign(Row(first, last, "u", token));
      std::fill(tokens.begin() + first, tokens.begin() + last + 1, token);
    }
    for (std::uint32_t key = 0; key < 400; ++key) {
      const KeyAssignment* row = table.Find(static_cast<KeyNumber>(key));
      REQUIRE((row == nullptr ? 0 : row->token) == tokens[key]);
    }
    const auto rows = table.rows();
    for (std::size_t index = 1; index < rows.size(); ++index)
      REQUIRE(rows[index - 1].keys.last < rows[index].keys.first);
  }
}

// Guards against instances with a tenth of a core that fall seconds behind
// while keys of hundreds of upstreams move: each change copied and sorted all
// rows (lochmoor-heatcalc-large, 1,400 rows, 130 changed rows eight times a
// second).
TEST_CASE("KeyTable changes rows in a table of thousands within microseconds") {
  constexpr std::uint32_t kRows = 2488;
  constexpr std::uint32_t kKeysPerRow = 26;
  KeyTable table;
  for (std::uint32_t row = 0; row < kRows; ++row) {
    table.Assign(Row(static_cast<KeyNumber>(row * kKeysPerRow),
                     static_cast<KeyNumber>((row + 1) * kKeysPerRow - 1),
                     "i-6848bb20e5", 1));
  }
  constexpr int kChanges = 5000;
  const auto started_at = std::chrono::steady_clock::now();
  for (int change = 0; change < kChanges; ++change) {
    const auto row = static_cast<std::uint32_t>(change * 7919) % kRows;
    table.Assign(Row(static_cast<KeyNumber>(row * kKeysPerRow),
                     static_cast<KeyNumber>((row + 1) * kKeysPerRow - 1),
                     "i-0a61a4caaf", 2));
  }
  // 130 rows eight times a second may take a tenth of an instance that has a
  // tenth of a core: 10 microseconds a row. The margin is for busy machines and
  // builds without optimization.
  CHECK(std::chrono::steady_clock::now() - started_at <
        kChanges * std::chrono::microseconds(100));
  CHECK(table.rows().size() == kRows);
}

}  // namespace
}  // namespace pollenrudder
