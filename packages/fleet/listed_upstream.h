// One upstream as the instance list describes it.

#ifndef POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_
#define POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace pollenrudder {

// An entry of the instance list, decoded. See Fleet.
struct ListedUpstream {
  // Unique among the upstreams that are up; a restarted upstream may keep it.
  std::string name;
  std::string service;
  // "ip:port"; reused by other upstreams after this one has ended.
  std::string address;
  std::string zone;
  // Requests that it processes at the same time.
  std::uint32_t slots = 1;
  // It ends soon and gets no new work.
  bool leaving = false;
  // How much longer it is slow after its start, as of the entry.
  std::chrono::nanoseconds cold_remaining{0};
  // When this life of the upstream began; differs between lives of one name.
  std::chrono::milliseconds started_at{0};

  // Returns whether both are entries of the same life of the same upstream.
  bool SameIncarnation(const ListedUpstream& other) const {
    return name == other.name && started_at == other.started_at &&
           address == other.address;
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_LISTED_UPSTREAM_H_
