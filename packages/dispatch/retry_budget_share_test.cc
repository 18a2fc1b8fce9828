// Tests of RetryBudgetShare.

#include "dispatch/retry_budget_share.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

// Guards against retries that multiply an overload: in any window they must not
// exceed the ratio of the requests plus the slack.
TEST_CASE("RetryBudgetShare bounds the retries in any window") {
  RetryBudgetShare::Options options;
  options.ratio = 0.2;
  options.slack = 5;
  options.window = 10s;
  RetryBudgetShare budget(options, BootTime(0s));
  std::vector<std::chrono::milliseconds> retries;
  for (auto time = 0ms; time < 60s; time += 10ms) {
    budget.RecordRequest(BootTime(time));
    if (budget.TryConsumeRetry(BootTime(time)))
      retries.push_back(time);
  }
  for (auto start = 0ms; start < 50s; start += 500ms) {
    const auto count = std::ranges::count_if(retries, [&](auto time) {
      return time >= start && time < start + 10s;
    });
    CHECK(count <= static_cast<int>(0.2 * 1000 + 5));
  }
  CHECK(retries.size() > 700);
}

TEST_CASE("RetryBudgetShare allows the slack without any request") {
  RetryBudgetShare budget({.ratio = 0.2, .slack = 5, .window = 10s},
                          BootTime(0s));
  int taken = 0;
  while (budget.TryConsumeRetry(BootTime(11s)))
    ++taken;
  CHECK(taken == 4);
  CHECK_FALSE(budget.HasCapacity(BootTime(20s)));
  CHECK(budget.HasCapacity(BootTime(22s)));
}

// Guards against instances that get the whole slack again with each restart.
TEST_CASE(
    "RetryBudgetShare provides the slack gradually over the first window") {
  RetryBudgetShare budget({.ratio = 0.2, .slack = 10, .window = 10s},
                          BootTime(100s));
  CHECK_FALSE(budget.HasCapacity(BootTime(100s)));
  CHECK(budget.HasCapacity(BootTime(102s)));
}

}  // namespace
}  // namespace pollenrudder
