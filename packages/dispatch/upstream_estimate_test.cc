// Tests of UpstreamEstimate.

#include "dispatch/upstream_estimate.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(1s + time);
}

UpstreamEstimate MakeLoad() {
  return UpstreamEstimate(
      {.initial_latency = 50ms, .initial_limit = 2, .max_limit = 6});
}

// Load pattern: a slow upstream. It must not keep as many requests in flight as
// a quick one.
TEST_CASE("UpstreamLoad shrinks the limit when answers are late") {
  UpstreamEstimate load = MakeLoad();
  for (int round = 0; round < 10; ++round) {
    load.OnSent();
    load.OnEnded(AttemptResult::kAnswered, 900ms, 300ms,
                 At(1000ms * (round + 1)));
  }
  CHECK(load.limit() == 1);
  CHECK(load.ExpectedLatency(At(10000ms)) > 500ms);
}

TEST_CASE("UpstreamLoad grows the limit while answers are early") {
  UpstreamEstimate load = MakeLoad();
  for (int round = 0; round < 40; ++round) {
    load.OnSent();
    load.OnEnded(AttemptResult::kAnswered, 60ms, 300ms, At(60ms * (round + 1)));
  }
  CHECK(load.limit() == 6);
}

// Load pattern: a lost upstream. Requests must not queue up on it.
TEST_CASE("UpstreamLoad pauses after an upstream was unreachable") {
  UpstreamEstimate load = MakeLoad();
  load.OnSent();
  load.OnEnded(AttemptResult::kUnreachable, 1ms, 300ms, At(0ms));
  CHECK_FALSE(load.HasCapacity(At(50ms)));
  CHECK(load.HasCapacity(At(150ms)));
  load.OnSent();
  load.OnEnded(AttemptResult::kUnreachable, 1ms, 300ms, At(150ms));
  CHECK_FALSE(load.HasCapacity(At(300ms)));
  // One request at a time until one is answered.
  load.OnSent();
  CHECK_FALSE(load.HasCapacity(At(5000ms)));
  load.OnEnded(AttemptResult::kAnswered, 20ms, 300ms, At(5000ms));
  CHECK(load.HasCapacity(At(5000ms)));
}

// Load pattern: an upstream that rejects part of its requests while it looks
// healthy.
TEST_CASE("UpstreamLoad remembers the share of rejected requests") {
  UpstreamEstimate load = MakeLoad();
  for (int round = 0; round < 40; ++round) {
    load.OnSent();
    load.OnEnded(
        round % 2 == 0 ? AttemptResult::kShed : AttemptResult::kAnswered, 60ms,
        300ms, At(60ms * (round + 1)));
  }
  CHECK(load.failure_share() > 0.3);
}

}  // namespace
}  // namespace pollenrudder
