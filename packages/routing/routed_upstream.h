// One upstream in the routing table.

#ifndef POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_
#define POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_

#include <string>

#include "base/log_offset.h"

namespace pollenrudder {

// An upstream and the instance that leads it. Addresses are "ip:port".
struct RoutedUpstream {
  std::string name;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;
  // True if the upstream is leaving or stopped: it gets no new work.
  bool leaving = false;
  // The current term; kNoOffset if the upstream has no leader yet.
  LogOffset term = kNoOffset;
  // The fence of the upstream: the offset of the record that made `leader` the
  // leader. At most `term`.
  LogOffset leader_fence = kNoOffset;
  std::string leader;
  std::string leader_zone;
  // Where the leader takes forwarded requests.
  std::string leader_address;

  bool operator==(const RoutedUpstream&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_
