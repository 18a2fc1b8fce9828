// An upstream that follows the rules of grants.

#ifndef POLLENRUDDER_GRANTS_SIMULATED_UPSTREAM_H_
#define POLLENRUDDER_GRANTS_SIMULATED_UPSTREAM_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/grant_actions.h"

namespace pollenrudder {

// A process at an upstream's address. Its clock may be slow.
struct SimulatedUpstream {
  struct Grant {
    KeyRange keys;
    std::uint64_t token = 0;
    BootTime until{};
  };
  // A request in progress.
  struct Work {
    KeyNumber key = 0;
    BootTime end{};
  };

  std::string name;
  std::chrono::milliseconds started_at{0};
  bool alive = false;
  double clock_slowdown = 1.0;
  std::vector<Grant> grants;
  std::vector<Grant> accepted;
  std::vector<Work> work;

  BootTime HeldUntil(KeyNumber key) const {
    BootTime until{};
    for (const Grant& grant : grants) {
      if (alive && grant.keys.Contains(key))
        until = std::max(until, grant.until);
    }
    return until;
  }

  bool AcceptGrant(const KeyCall& call, BootTime arrived) {
    for (const Grant& grant : accepted) {
      if (grant.keys.Overlaps(call.keys) && grant.token > call.token)
        return false;
    }
    accepted.push_back({call.keys, call.token, {}});
    const auto ttl = std::chrono::nanoseconds(static_cast<std::int64_t>(
        static_cast<double>(call.grant_ttl.count()) * clock_slowdown));
    grants.push_back({call.keys, call.token, arrived + ttl});
    return true;
  }

  // Returns when the requests on these keys have ended.
  BootTime Release(KeyRange keys, BootTime now) {
    std::vector<Grant> rest;
    for (const Grant& grant : grants) {
      Grant part = grant;
      if (!grant.keys.Overlaps(keys)) {
        rest.push_back(grant);
        continue;
      }
      if (grant.keys.first < keys.first) {
        part.keys = {grant.keys.first, static_cast<KeyNumber>(keys.first - 1)};
        rest.push_back(part);
      }
      if (grant.keys.last > keys.last) {
        part.keys = {static_cast<KeyNumber>(keys.last + 1), grant.keys.last};
        rest.push_back(part);
      }
    }
    grants = std::move(rest);
    BootTime end = now;
    for (const Work& item : work) {
      if (keys.Contains(item.key))
        end = std::max(end, item.end);
    }
    return end;
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_SIMULATED_UPSTREAM_H_
