// Tests of the parsers of values with units, times and addresses.

#include "document/unit_parser.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// Guards against a value that is interpreted in a unit other than the given
// one.
TEST_CASE("values require a known unit") {
  REQUIRE(ParseDuration("500ms") == milliseconds(500));
  REQUIRE(ParseDuration("2m") == milliseconds(120'000));
  REQUIRE(ParseDuration("1h") == milliseconds(3'600'000));
  REQUIRE(ParseByteSize("64KiB") == 65536);
  REQUIRE(ParsePercentage("15%") == 15);
  for (const char* text : {"", "5", "ms", "-1s", "1.5s", "5 s", "1d", "5S",
                           "99999999999999999999s"})
    REQUIRE_FALSE(ParseDuration(text).has_value());
  for (const char* text : {"1K", "1kb", "B", "0x1B"})
    REQUIRE_FALSE(ParseByteSize(text).has_value());
  REQUIRE_FALSE(ParsePercentage("15").has_value());
}

// Guards against times in a local time zone and dates that do not exist.
TEST_CASE("times are valid and in UTC") {
  REQUIRE(ParseUtcTime("1970-01-02T00:00:01Z") ==
          WallTime(std::chrono::seconds(86401)));
  for (const char* text :
       {"2026-02-30T00:00:00Z", "2026-01-01T24:00:00Z", "2026-01-01",
        "2026-01-01T00:00:00+01:00", "2026-1-1T00:00:00Z", ""})
    REQUIRE_FALSE(ParseUtcTime(text).has_value());
}

// Guards against host names and out-of-range ports, which otherwise fail when
// the daemon starts.
TEST_CASE("addresses consist of an IP address and a port") {
  REQUIRE(IsAddress("127.0.0.1:0"));
  REQUIRE(IsAddress("[::1]:8080"));
  for (const char* text :
       {"localhost:80", "127.0.0.1", "127.0.0.1:65536", "::1:80", ":80"})
    REQUIRE_FALSE(IsAddress(text));
}

}  // namespace
}  // namespace pollenrudder
