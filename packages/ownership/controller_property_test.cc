// Property test of Controller under random faults.

#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "controller_fixture_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

// One fault. `subject` and `object` select instances or upstreams.
struct Fault {
  enum class Kind {
    kPause,
    kResume,
    kCutLog,
    kRestoreLog,
    kCutPeers,
    kRestorePeers,
    kLogDown,
    kLogUp,
    kLoseAnswers,
    kLoseAppends,
    kUpstreamLost,
    kUpstreamReachable,
    kLeaving,
    kNotLeaving,
    kLeave,
    kKill,
  };

  Kind kind = Kind::kPause;
  int subject = 0;
  int object = 0;
  int wait_ms = 0;
};

void showValue(const Fault& fault, std::ostream& stream) {
  stream << "{" << static_cast<int>(fault.kind) << ", " << fault.subject << ", "
         << fault.object << ", " << fault.wait_ms << "}";
}

rc::Gen<Fault> ArbitraryFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::cast<Fault::Kind>(rc::gen::inRange(0, 16))),
      rc::gen::set(&Fault::subject, rc::gen::inRange(0, 60)),
      rc::gen::set(&Fault::object, rc::gen::inRange(0, 60)),
      rc::gen::set(&Fault::wait_ms, rc::gen::inRange(0, 1500)));
}

class FaultSimulation {
 public:
  FaultSimulation() {
    const double rates[] = {1.0, 1.004, 0.996, 1.002, 0.998, 1.0};
    int number = 0;
    for (const char* zone : {"a", "b"}) {
      for (int count = 1; count <= 3; ++count) {
        instances_.push_back(fixture.AddInstance(zone + std::to_string(count),
                                                 zone, rates[number++]));
      }
      for (int count = 1; count <= 2; ++count) {
        upstreams_.push_back("u" + std::string(zone) + std::to_string(count));
        fixture.AddUpstream(upstreams_.back(), "geodata", zone);
      }
    }
    fixture.Publish("ground", ShardedSection("ground", "geodata", 8));
    fixture.Run(5s);
  }

  void Apply(const Fault& fault) {
    using Kind = Fault::Kind;
    const std::string& instance = Instance(fault.subject);
    const std::string& other = Instance(fault.object);
    const std::string& upstream =
        upstreams_[static_cast<std::size_t>(fault.object) % upstreams_.size()];
    switch (fault.kind) {
      case Kind::kPause:
        return fixture.Pause(instance);
      case Kind::kResume:
        return fixture.Resume(instance);
      case Kind::kCutLog:
        return fixture.CutLog(instance, true);
      case Kind::kRestoreLog:
        return fixture.CutLog(instance, false);
      case Kind::kCutPeers:
        return fixture.CutPeers(instance, other, true);
      case Kind::kRestorePeers:
        return fixture.CutPeers(instance, other, false);
      case Kind::kLogDown:
        return fixture.SetLogDown(true);
      case Kind::kLogUp:
        return fixture.SetLogDown(false);
      case Kind::kLoseAnswers:
        return fixture.LoseAppendAnswers(instance, 2);
      case Kind::kLoseAppends:
        return fixture.LoseAppends(instance, 2);
      case Kind::kUpstreamLost:
        return fixture.Observe(upstream, UpstreamObserved::State::kLost, {1});
      case Kind::kUpstreamReachable:
        return fixture.Observe(upstream, UpstreamObserved::State::kReachable);
      case Kind::kLeaving:
        return fixture.SetLeaving(upstream, true);
      case Kind::kNotLeaving:
        return fixture.SetLeaving(upstream, false);
      case Kind::kLeave:
      case Kind::kKill:
        return End(fault.kind == Kind::kLeave, instance);
    }
  }

  // Ends all faults, except for instances that have ended.
  void EndFaults() {
    fixture.SetLogDown(false);
    for (const std::string& instance : instances_) {
      fixture.CutLog(instance, false);
      fixture.LoseAppendAnswers(instance, 0);
      fixture.LoseAppends(instance, 0);
      for (const std::string& other : instances_)
        fixture.CutPeers(instance, other, false);
      fixture.Resume(instance);
    }
    for (const std::string& upstream : upstreams_) {
      fixture.SetLeaving(upstream, false);
      // At least one upstream of each availability zone is reachable at the
      // end.
      if (upstream.back() == '1')
        fixture.Observe(upstream, UpstreamObserved::State::kReachable);
    }
  }

  ControllerFixture fixture;

 private:
  const std::string& Instance(int index) const {
    return instances_[static_cast<std::size_t>(index) % instances_.size()];
  }

  // Ends at most one instance of each zone, so that voters remain.
  void End(bool leave, const std::string& instance) {
    if (!ended_zones_.insert(instance.front()).second)
      return;
    if (leave)
      fixture.Input(instance, LeaveRequested{});
    else
      fixture.Kill(instance);
  }

  std::vector<std::string> instances_;
  std::vector<std::string> upstreams_;
  std::set<char> ended_zones_;
};

// Guards guarantee 1 (no key has two owners) under random combinations of the
// simulated faults, and guards against states from which the system does not
// recover on its own.
TEST_CASE("random faults give no shard two owners and service recovers") {
  const bool holds = rc::check([] {
    const auto faults =
        *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
    FaultSimulation simulation;
    RC_ASSERT(simulation.fixture.AllServed("geodata"));
    for (const Fault& fault : faults) {
      simulation.Apply(fault);
      simulation.fixture.Run(std::chrono::milliseconds(fault.wait_ms));
    }
    RC_ASSERT(simulation.fixture.violations() == std::vector<std::string>{});
    simulation.EndFaults();
    // Longer than the isolation hold of 5 s and the two times of 10 s after
    // which a listed instance counts as stable and a missing upstream as
    // leaving.
    const bool served = simulation.fixture.RunUntil(
        [&] { return simulation.fixture.AllServed("geodata"); }, 40s);
    RC_ASSERT(simulation.fixture.violations() == std::vector<std::string>{});
    RC_ASSERT(served);
  });
  REQUIRE(holds);
}

}  // namespace
}  // namespace pollenrudder
