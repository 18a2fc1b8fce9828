// Tests of UpstreamEstimate.

#include "dispatch/upstream_estimate.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(1s + time);
}

UpstreamEstimate MakeEstimate() {
  return UpstreamEstimate(
      {.initial_latency = 50ms, .initial_limit = 2, .max_limit = 6});
}

// Load pattern: a slow upstream. It must get fewer requests in flight than a
// fast one.
TEST_CASE("UpstreamEstimate shrinks the limit when responses are late") {
  UpstreamEstimate estimate = MakeEstimate();
  for (int round = 0; round < 10; ++round) {
    estimate.OnSent();
    estimate.OnEnded(AttemptResult::kAnswered, 900ms, 300ms,
                     At(1000ms * (round + 1)));
  }
  CHECK(estimate.limit() == 1);
  CHECK(estimate.ExpectedLatency(At(10000ms)) > 500ms);
}

TEST_CASE("UpstreamEstimate grows the limit while responses are early") {
  UpstreamEstimate estimate = MakeEstimate();
  for (int round = 0; round < 40; ++round) {
    estimate.OnSent();
    estimate.OnEnded(AttemptResult::kAnswered, 60ms, 300ms,
                     At(60ms * (round + 1)));
  }
  CHECK(estimate.limit() == 6);
}

// Load pattern: a lost upstream. Requests must not queue at it.
TEST_CASE("UpstreamEstimate ejects an unreachable upstream") {
  UpstreamEstimate estimate = MakeEstimate();
  estimate.OnSent();
  estimate.OnEnded(AttemptResult::kUnreachable, 1ms, 300ms, At(0ms));
  CHECK_FALSE(estimate.HasCapacity(At(50ms)));
  CHECK(estimate.HasCapacity(At(150ms)));
  estimate.OnSent();
  estimate.OnEnded(AttemptResult::kUnreachable, 1ms, 300ms, At(150ms));
  CHECK_FALSE(estimate.HasCapacity(At(300ms)));
  // One request at a time until a response arrives.
  estimate.OnSent();
  CHECK_FALSE(estimate.HasCapacity(At(5000ms)));
  estimate.OnEnded(AttemptResult::kAnswered, 20ms, 300ms, At(5000ms));
  CHECK(estimate.HasCapacity(At(5000ms)));
}

// Load pattern: an upstream that rejects part of its requests although it
// appears healthy.
TEST_CASE("UpstreamEstimate counts the share of rejected requests") {
  UpstreamEstimate estimate = MakeEstimate();
  for (int round = 0; round < 40; ++round) {
    estimate.OnSent();
    estimate.OnEnded(
        round % 2 == 0 ? AttemptResult::kShed : AttemptResult::kAnswered, 60ms,
        300ms, At(60ms * (round + 1)));
  }
  CHECK(estimate.failure_share() > 0.3);
}

}  // namespace
}  // namespace pollenrudder
