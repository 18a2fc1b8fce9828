// Tests of UpdateHistory.

#include "entry/update_history.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

TableUpdate Update(std::uint64_t offset, std::uint64_t unchanged_since) {
  TableUpdate update;
  update.offset = offset;
  update.unchanged_since = unchanged_since;
  return update;
}

// Guards against a zone in which every instance reads the whole tables because
// one datagram was lost (lochmoor-heatcalc-large scale-1: all instances of a
// region at once, which filled the link between the regions).
TEST_CASE("UpdateHistory returns the updates that an instance missed") {
  UpdateHistory history;
  CHECK(history.From(0).empty());
  history.Add(Update(10, 5));
  history.Add(Update(12, 11));
  // A copy that arrives late changes nothing.
  history.Add(Update(10, 5));
  CHECK(history.From(5).size() == 2);
  REQUIRE(history.From(11).size() == 1);
  CHECK(history.From(11)[0].offset == 12);
  CHECK(history.From(13).empty());
}

// Guards against an instance that applies a later update to an older table.
TEST_CASE("UpdateHistory returns nothing across a gap") {
  UpdateHistory history;
  history.Add(Update(10, 5));
  CHECK(history.From(4).empty());
  history.Add(Update(20, 15));
  CHECK(history.From(5).empty());
  CHECK(history.From(11).empty());
  CHECK(history.From(15).size() == 1);
  for (std::uint64_t offset = 21; offset < 100; ++offset)
    history.Add(Update(offset, offset));
  CHECK(history.From(15).empty());
  CHECK(history.From(90).size() == 10);
}

}  // namespace
}  // namespace pollenrudder
