// One upstream as described by the instance list.

#ifndef POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_
#define POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/boot_clock.h"

namespace pollenrudder {

// A decoded entry of the instance list. See Fleet.
struct ListedUpstream {
  // Unique among the upstreams that are up; a restarted upstream may keep it.
  std::string name;
  std::string service;
  // "ip:port"; other upstreams may reuse it after this one has ended.
  std::string address;
  std::string zone;
  // Number of requests that it processes concurrently.
  std::uint32_t slots = 1;
  // Set during a planned stop: the upstream finishes its requests and gets no
  // new ones.
  bool leaving = false;
  // Remaining time for which it is slow after its start, at the time of the
  // entry.
  std::chrono::nanoseconds cold_remaining{0};
  // Start time of this incarnation; differs between incarnations with one name.
  std::chrono::milliseconds started_at{0};
  // The entry may have been written before the list was restored from an
  // earlier copy, so that the upstream may have left since.
  bool may_be_outdated = false;
  // Its availability zone is being evacuated: it gets no new requests until the
  // zone is taken back. Set by Fleet, not by the list.
  bool evacuated = false;
  // Until then it is cold, according to the list. Set by Fleet from
  // `cold_remaining`.
  BootTime cold_until{};

  // Returns whether both entries describe the same incarnation.
  bool SameIncarnation(const ListedUpstream& other) const {
    return name == other.name && started_at == other.started_at &&
           address == other.address;
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_
