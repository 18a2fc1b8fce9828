// Tests of the table from error kind to response.

#include "base/error_kind.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

// Guards against a kind without a row, or with the row of another kind.
TEST_CASE("each error kind has its own row and name") {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal);
       ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    REQUIRE(DescribeError(kind).kind == kind);
    REQUIRE(ErrorKindFromName(DescribeError(kind).name) == kind);
  }
  REQUIRE_FALSE(ErrorKindFromName("no_such_kind").has_value());
}

// Guards against reporting "not run" to a caller for a kind that means unknown.
TEST_CASE("only kinds named unknown have the outcome unknown") {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal);
       ++index) {
    const ErrorDescription& row = DescribeError(static_cast<ErrorKind>(index));
    const bool may_have_run =
        row.name.starts_with("unknown_") && row.name != "unknown_service";
    REQUIRE((row.outcome == Outcome::kUnknown) == may_have_run);
  }
}

}  // namespace
}  // namespace pollenrudder
