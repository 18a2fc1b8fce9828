// Properties of the lease and claim rules over random runs.
//
// RC_PARAMS replays a run ("reproduce=..." as printed with a failure) or sets
// the number of runs ("max_success=20000"). Without it each property takes 1000
// runs, which is about 10 s on one core.

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "ownership/lease_model_test.h"

namespace pollenrudder {
namespace {

constexpr int kSecond = 40;
constexpr int kFaultSteps = 16 * kSecond;
// Longer than the longest hold, twice, and the delay of a far claim.
constexpr int kRecoverySteps = 24 * kSecond;
constexpr int kTargetSteps = 2 * kSecond;

// RapidCheck reads its parameters at the first check.
const int default_runs = setenv("RC_PARAMS", "max_success=1000", 0);

rc::Gen<ModelFault> FaultGenerator() {
  return rc::gen::build<ModelFault>(
      rc::gen::set(&ModelFault::kind,
                   rc::gen::map(rc::gen::inRange(0, ModelFault::kKinds),
                                [](int kind) {
                                  return static_cast<ModelFault::Kind>(kind);
                                })),
      rc::gen::set(&ModelFault::start, rc::gen::inRange(0, kFaultSteps)),
      rc::gen::set(&ModelFault::duration,
                   rc::gen::oneOf(rc::gen::inRange(1, 2 * kSecond),
                                  rc::gen::inRange(2 * kSecond, 12 * kSecond))),
      rc::gen::set(&ModelFault::subject, rc::gen::inRange(0, 12)),
      rc::gen::set(&ModelFault::other, rc::gen::inRange(0, 12)));
}

rc::Gen<ModelRun> RunGenerator(bool random_voters) {
  return rc::gen::build<ModelRun>(
      rc::gen::set(&ModelRun::seed, rc::gen::inRange(0U, 1000000U)),
      rc::gen::set(&ModelRun::instances_per_zone, rc::gen::inRange(2, 4)),
      rc::gen::set(&ModelRun::read_interval_steps, rc::gen::inRange(4, 60)),
      rc::gen::set(&ModelRun::clock_rate_percent, rc::gen::element(1, 10)),
      rc::gen::set(&ModelRun::random_voters, rc::gen::just(random_voters)),
      rc::gen::set(&ModelRun::steps, rc::gen::just(kFaultSteps)),
      rc::gen::set(&ModelRun::faults,
                   rc::gen::mapcat(rc::gen::inRange(4, 24), [](int count) {
                     return rc::gen::container<std::vector<ModelFault>>(
                         count, FaultGenerator());
                   })));
}

void CheckSafety(const std::optional<std::string>& fault) {
  if (fault)
    RC_FAIL(*fault);
}

// Guards against two leaders that send to one upstream at the same time.
TEST_CASE("an upstream never has two valid leases") {
  REQUIRE(default_runs == 0);
  REQUIRE(rc::check("one valid lease", [] {
    const ModelRun run = *RunGenerator(*rc::gen::arbitrary<bool>());
    RC_LOG() << ToString(run);
    LeaseModel model(run);
    CheckSafety(model.Run());
    RC_CLASSIFY(model.takeovers() > 0, "with a takeover");
  }));
}

// Guards against rules that are safe only because nobody becomes the leader.
TEST_CASE("after the faults a lost leader is replaced within the target") {
  REQUIRE(rc::check("lost leader is replaced", [] {
    ModelRun run = *RunGenerator(false);
    run.clock_rate_percent = 1;
    RC_LOG() << ToString(run);
    LeaseModel model(run);
    CheckSafety(model.Run());
    model.Heal();
    CheckSafety(model.Advance(kRecoverySteps));
    const std::string upstream = *rc::gen::elementOf(LeaseModel::upstreams());
    const std::string before = model.Serving(upstream);
    RC_ASSERT(!before.empty());
    RC_ASSERT(model.KillLeader(upstream));
    CheckSafety(model.Advance(kTargetSteps));
    RC_LOG() << model.Trace();
    RC_ASSERT(!model.Serving(upstream).empty());
  }));
}

}  // namespace
}  // namespace pollenrudder
