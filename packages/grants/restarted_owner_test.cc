// Tests of GrantCoordinator with an upstream that restarts at its address while
// the former leader, which was lost, may still send grants.

#include "grants/grant_coordinator.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "grants/simulated_upstream.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr const char* kService = "geodata";
constexpr KeyRange kLow{0, kKeyCount / 2 - 1};
constexpr KeyRange kHigh{kKeyCount / 2, kKeyCount - 1};
// The former leader can no longer confirm its term and sends its last grants
// before this time.
constexpr milliseconds kFormerLeaseEnd{6500};
constexpr milliseconds kRestart{2300};
constexpr milliseconds kRestartListed{2800};

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

Fleet MakeFleet(milliseconds started_at) {
  Fleet fleet;
  for (int index = 0; index < 2; ++index) {
    ListedUpstream entry;
    entry.name = "u" + std::to_string(index);
    entry.service = kService;
    entry.address = "127.0.0.1:" + std::to_string(9000 + index);
    entry.slots = 2;
    entry.started_at = index == 0 ? started_at : 1ms;
    fleet.Apply({entry.name, entry}, At(0ms));
  }
  return fleet;
}

RouterConfiguration MakeConfiguration() {
  RouterConfiguration configuration;
  configuration.services[kService].owns_keys = true;
  return configuration;
}

KeyAssignment MakeRow(KeyRange keys, const std::string& owner) {
  KeyAssignment row;
  row.keys = keys;
  row.owner = {owner, 1ms};
  row.token = 1;
  return row;
}

// Guards against two owners of a key: an upstream that accepted a grant of the
// new leader and then restarted does not know that token any more, and accepts
// the renewals of the former leader again, while the new leader grants its keys
// elsewhere.
TEST_CASE("GrantCoordinator does not rely on the token of a restarted owner") {
  // An upstream that is cut off from the instance list may be up again without
  // being listed.
  const bool is_up_again = GENERATE(true, false);
  const bool is_listed_again = GENERATE(true, false);
  GrantCoordinator::Options options;
  options.instance = "front-2";
  options.incarnation = "front-2-life";
  GrantCoordinator coordinator(options);
  coordinator.OnFleet(MakeFleet(1ms), MakeConfiguration(), At(0ms));
  GrantTermRecord former;
  former.instance = "front-1";
  former.incarnation = "front-1-life";
  const TableRecord table{
      kService, KeyTable({MakeRow(kLow, "u0"), MakeRow(kHigh, "u1")})};
  coordinator.OnLogRecords(
      {{0, EncodeGrantLogRecord(former)}, {1, EncodeGrantLogRecord(table)}}, 2,
      At(0ms), At(0ms));
  coordinator.OnPreferredLeader(true, At(1ms), At(1ms));

  std::vector<SimulatedUpstream> upstreams(2);
  for (SimulatedUpstream& upstream : upstreams)
    upstream.alive = true;
  const auto deliver = [&](const KeyCall& call, BootTime now) {
    SimulatedUpstream& upstream = upstreams[call.upstream.name == "u0" ? 0 : 1];
    if (!upstream.alive)
      return KeyCallResult::kUnreachable;
    if (call.kind == KeyCall::Kind::kRelease) {
      (void)upstream.Release(call.keys, now);
      return KeyCallResult::kDone;
    }
    return upstream.AcceptGrant(call, now) ? KeyCallResult::kDone
                                           : KeyCallResult::kFenced;
  };

  bool served = false;
  for (auto time = 2000ms; time < 20000ms; time += 20ms) {
    const BootTime now = At(time);
    INFO("at " << time.count() << " ms");
    if (time == kRestart) {
      REQUIRE(coordinator.IsLeader());
      REQUIRE(upstreams[0].HeldUntil(kLow.first) > now);
      upstreams[0] = SimulatedUpstream();
      upstreams[0].alive = is_up_again;
    }
    if (time == kRestartListed) {
      Fleet fleet = MakeFleet(2ms);
      if (!is_listed_again)
        fleet.Apply({"u0", std::nullopt}, now);
      coordinator.OnFleet(fleet, MakeConfiguration(), now);
    }
    // The former leader has lost the store, but not its way to the upstreams.
    if (time < kFormerLeaseEnd && time % 1300ms == 0ms) {
      KeyCall renewal;
      renewal.upstream = {"u0", 1ms};
      renewal.keys = kLow;
      renewal.token = 1;
      renewal.grant_ttl = options.times.grant_ttl;
      (void)deliver(renewal, now);
    }
    if (coordinator.IsLeader())
      coordinator.OnLogRecords({}, coordinator.next_offset(), now, now);
    const GrantActions actions = coordinator.Poll(now);
    if (actions.append)
      coordinator.OnAppendEnded(LogAppendResult::kDone, now, now);
    for (const KeyCall& call : actions.calls)
      coordinator.OnCallEnded(call.id, deliver(call, now), "", now);
    for (KeyNumber key = kLow.first; key < kLow.last; key += 1000) {
      INFO("key " << key);
      CHECK(std::min(upstreams[0].HeldUntil(key),
                     upstreams[1].HeldUntil(key)) <= now);
      served |= time > kRestartListed && upstreams[1].HeldUntil(key) > now;
    }
  }
  CHECK((served || is_listed_again));
}

}  // namespace
}  // namespace pollenrudder
