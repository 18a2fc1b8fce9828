// Tests of RetryBudgetShare.

#include "dispatch/retry_budget_share.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

// Guards against resends that multiply an overload: in no window may they
// exceed the ratio of the requests and the slack.
TEST_CASE("RetryAllowance bounds the resends of any window") {
  RetryBudgetShare::Options options;
  options.ratio = 0.2;
  options.slack = 5;
  options.window = 10s;
  RetryBudgetShare allowance(options, BootTime(0s));
  std::vector<std::chrono::milliseconds> resends;
  for (auto time = 0ms; time < 60s; time += 10ms) {
    allowance.RecordRequest(BootTime(time));
    if (allowance.TryConsumeRetry(BootTime(time)))
      resends.push_back(time);
  }
  for (auto start = 0ms; start < 50s; start += 500ms) {
    const auto count = std::ranges::count_if(resends, [&](auto time) {
      return time >= start && time < start + 10s;
    });
    CHECK(count <= static_cast<int>(0.2 * 1000 + 5));
  }
  CHECK(resends.size() > 700);
}

TEST_CASE("RetryAllowance allows the slack without any request") {
  RetryBudgetShare allowance({.ratio = 0.2, .slack = 5, .window = 10s},
                             BootTime(0s));
  int taken = 0;
  while (allowance.TryConsumeRetry(BootTime(11s)))
    ++taken;
  CHECK(taken == 4);
  CHECK_FALSE(allowance.HasCapacity(BootTime(20s)));
  CHECK(allowance.HasCapacity(BootTime(22s)));
}

// Guards against a slack that each restart of an instance gives anew.
TEST_CASE("RetryAllowance gives the slack over the first window") {
  RetryBudgetShare allowance({.ratio = 0.2, .slack = 10, .window = 10s},
                             BootTime(100s));
  CHECK_FALSE(allowance.HasCapacity(BootTime(100s)));
  CHECK(allowance.HasCapacity(BootTime(102s)));
}

}  // namespace
}  // namespace pollenrudder
