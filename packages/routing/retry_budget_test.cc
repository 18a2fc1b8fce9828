// Tests of the retry budget.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routing/retry_budget.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

BootTime At(std::int64_t ms) {
  return BootTime(milliseconds(ms));
}

// Guards against a retry storm: retries stay within the configured share of the
// requests of the window, however many attempts fail.
TEST_CASE("Retries stay within a tenth of the requests") {
  rc::prop("random load in which every attempt fails", [](std::uint64_t seed) {
    RetryBudget budget({}, seed);
    std::int64_t time = 0;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (int i = 0; i < 500; ++i) {
      time += *rc::gen::inRange(0, 15);
      budget.RecordRequest(At(time));
      ++requests;
      for (std::uint32_t attempt = 1; attempt < 4; ++attempt) {
        if (budget.TakeRetry(attempt, At(time), At(time + 2000)))
          ++retries;
      }
      // Within the first window, all requests count.
      if (time < 9000)
        RC_ASSERT(retries <= std::max<std::uint64_t>(3, requests / 10));
    }
  });
}

TEST_CASE("The budget is available again after the window") {
  RetryBudget budget({}, 1);
  for (int i = 0; i < 3; ++i)
    CHECK(budget.TakeRetry(1, At(0), At(2000)));
  CHECK(!budget.TakeRetry(1, At(9999), At(12000)));
  CHECK(budget.TakeRetry(1, At(10000), At(12000)));
  CHECK(budget.refused() == 1);
}

TEST_CASE("Delays grow, are bounded and never pass the deadline") {
  rc::prop("any attempt", [](std::uint64_t seed) {
    RetryBudget budget({}, seed);
    const auto attempt = *rc::gen::inRange<std::uint32_t>(1, 100);
    const auto left = *rc::gen::inRange<std::int64_t>(1, 300);
    const auto delay = budget.TakeRetry(attempt, At(50), At(50 + left));
    if (!delay)
      return;
    RC_ASSERT(delay->count() > 0);
    RC_ASSERT(*delay <= milliseconds(250));
    RC_ASSERT(*delay < milliseconds(left));
    if (attempt == 1)
      RC_ASSERT(*delay <= milliseconds(10));
  });
}

}  // namespace
}  // namespace pollenrudder
