// Property tests of the lease and claim rules with random runs of LeaseModel.
//
// The environment variable RC_PARAMS replays a run ("reproduce=..." as printed
// with a failure) or sets the number of runs ("max_success=20000"). The default
// is 1000 runs per property, which take about 10 s on one core.

#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "ownership/lease_model_test.h"

namespace pollenrudder {
namespace {

constexpr int kStepsPerSecond = 40;
constexpr int kFaultSteps = 16 * kStepsPerSecond;
// Exceeds twice the longest isolation hold plus the delay of an other-zone
// claim.
constexpr int kRecoverySteps = 24 * kStepsPerSecond;
constexpr int kTakeoverSteps = 2 * kStepsPerSecond;

// Set during initialization, because RapidCheck reads RC_PARAMS at the first
// check.
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
                   rc::gen::oneOf(rc::gen::inRange(1, 2 * kStepsPerSecond),
                                  rc::gen::inRange(2 * kStepsPerSecond,
                                                   12 * kStepsPerSecond))),
      rc::gen::set(&ModelFault::subject, rc::gen::inRange(0, 12)),
      rc::gen::set(&ModelFault::other, rc::gen::inRange(0, 12)));
}

rc::Gen<ModelRun> RunGenerator(bool random_voters) {
  return rc::gen::build<ModelRun>(
      rc::gen::set(&ModelRun::seed, rc::gen::inRange(0U, 1000000U)),
      rc::gen::set(&ModelRun::instances_per_zone, rc::gen::inRange(2, 4)),
      rc::gen::set(&ModelRun::read_interval_steps, rc::gen::inRange(4, 60)),
      rc::gen::set(&ModelRun::max_clock_drift_percent, rc::gen::element(1, 10)),
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

// With two valid leases, two leaders would send to one upstream at the same
// time.
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

// Rules under which no instance ever becomes the leader would pass the safety
// property; this property rules them out.
TEST_CASE("after the faults end, a lost leader is replaced within 2 s") {
  REQUIRE(rc::check("lost leader is replaced", [] {
    ModelRun run = *RunGenerator(false);
    run.max_clock_drift_percent = 1;
    RC_LOG() << ToString(run);
    LeaseModel model(run);
    CheckSafety(model.Run());
    model.EndFaults();
    CheckSafety(model.Advance(kRecoverySteps));
    const std::string upstream = *rc::gen::elementOf(LeaseModel::upstreams());
    const std::string before = model.ActiveLeader(upstream);
    RC_ASSERT(!before.empty());
    RC_ASSERT(model.KillLeader(upstream));
    CheckSafety(model.Advance(kTakeoverSteps));
    RC_LOG() << model.Trace();
    RC_ASSERT(!model.ActiveLeader(upstream).empty());
  }));
}

}  // namespace
}  // namespace pollenrudder
