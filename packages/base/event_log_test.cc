// Tests of the log line format and of the rate limit.

#include "base/event_log.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

constexpr LogEvent kExample{1, "example", LogLevel::kInfo};

// Guards against text from a caller that forges fields or lines.
TEST_CASE("values with spaces, quotes or control characters are quoted") {
  REQUIRE(EventLog::Format(kExample, {{"key", "plain"}, {"count", 3}}) ==
          "event=1 name=example key=plain count=3");
  REQUIRE(EventLog::Format(kExample, {{"key", "a b=\"c\"\n"}}) ==
          "event=1 name=example key=\"a b=\\\"c\\\"?\"");
  REQUIRE(EventLog::Format(kExample, {{"key", ""}}) ==
          "event=1 name=example key=\"\"");
}

// Guards against dropped lines that are not counted.
TEST_CASE("lines above the rate are dropped and counted") {
  EventLog::Initialize(2);
  const std::uint64_t before = EventLog::dropped_lines();
  for (int line = 0; line < 10; ++line)
    EventLog::Write(kExample, {});
  REQUIRE(EventLog::dropped_lines() - before >= 6);
  EventLog::Initialize();
}

}  // namespace
}  // namespace pollenrudder
