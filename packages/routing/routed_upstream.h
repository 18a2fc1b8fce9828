// Routing table entry of one upstream.

#ifndef POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_
#define POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_

#include <string>

#include "base/log_offset.h"

namespace pollenrudder {

// An upstream and the instance that leads it. Addresses have the form
// "ip:port".
struct RoutedUpstream {
  std::string name;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;
  // True if the upstream is leaving or stopped; it gets no new requests.
  bool leaving = false;
  // The current term; kNoOffset if the upstream has no leader yet.
  LogOffset term = kNoOffset;
  // The fencing token of the upstream: the offset of the record that made
  // `leader` the leader. Never greater than `term`.
  LogOffset leader_fence = kNoOffset;
  std::string leader;
  std::string leader_zone;
  // The address on which the leader accepts forwarded requests.
  std::string leader_address;

  bool operator==(const RoutedUpstream&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTED_UPSTREAM_H_
