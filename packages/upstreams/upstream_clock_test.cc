// Tests of UpstreamClock.

#include "upstreams/upstream_clock.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a limit that the upstream reaches later than this instance.
TEST_CASE("a converted time is never later than the actual upstream time") {
  UpstreamClock clock;
  const BootTime received{seconds(100)};
  REQUIRE_FALSE(clock.IsCurrent(received));
  clock.OnReading("7000", received);
  REQUIRE(clock.IsCurrent(received + seconds(10)));
  REQUIRE_FALSE(clock.IsCurrent(received + seconds(11)));
  REQUIRE(clock.Translate(received) == 7000);
  REQUIRE(clock.Translate(received + milliseconds(400)) == 7396);
  // The slowest clock within the maximum clock drift.
  REQUIRE(clock.Translate(received + seconds(10)) == 16900);
  REQUIRE(clock.Translate(received - seconds(1)) == 7000);
}

TEST_CASE("a clock reading that is not a whole number is ignored") {
  UpstreamClock clock;
  for (const char* text : {"", "-1", "1.5", "x", "99999999999999999999"})
    clock.OnReading(text, BootTime{seconds(1)});
  REQUIRE_FALSE(clock.IsCurrent(BootTime{seconds(1)}));
}

}  // namespace
}  // namespace pollenrudder
