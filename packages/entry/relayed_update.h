// State that the grant leader sends to the other instances.

#ifndef POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_
#define POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_change.h"

namespace pollenrudder {

// Sent after each read of the instance list, so that it also shows that the
// leader is alive and reaches the store. It contains the changes of several
// reads, so that a lost datagram leaves no gap.
struct RelayedUpdate {
  // The changes between two positions of the instance list, which contain the
  // epoch of the list (see base/log_position.h).
  std::uint64_t list_from = 0;
  std::uint64_t list_to = 0;
  std::vector<FleetChange> changes;
  std::uint64_t configuration_version = 0;
  // Set for some time after a new configuration: for each availability zone the
  // instance, as "ip:port", from which the others of the zone fetch it.
  std::map<std::string, std::string, std::less<>> configuration_sources;
  // The offset after the last change on the grant log.
  std::uint64_t grant_log_offset = 0;
  // The number of instances that share the upstreams; 0 if it is not known.
  std::uint32_t instances = 0;
  // For each availability zone the instance, as "ip:port", that forwards
  // updates to the others of the zone and collects their load reports. Empty if
  // the leader serves all instances itself.
  std::map<std::string, std::string, std::less<>> zone_relays;
  // All instances, as "ip:port", if the leader serves them itself. They send
  // each other what they observe of crashes, which must not wait for a new
  // leader.
  std::vector<std::string> peers;
  // The evacuated availability zones, and the position in the operator's topic
  // as of which the sender knows them; 0 if it does not.
  std::uint64_t evacuations_position = 0;
  std::set<std::string, std::less<>> evacuated_zones;
  // How long ago the list was read at `list_to`, and the evacuated zones were
  // known. Nothing if they were not, and in updates of earlier versions.
  std::optional<std::chrono::nanoseconds> list_age;
  std::optional<std::chrono::nanoseconds> evacuations_age;
};

std::string EncodeRelayedUpdate(const RelayedUpdate& update);
// Returns nothing for a malformed datagram.
std::optional<RelayedUpdate> ParseRelayedUpdate(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_
