// What the granting instance tells the others about list and configuration.

#ifndef POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_
#define POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleet_change.h"

namespace pollenrudder {

// Sent after each reading of the list, so that it also shows that the sender
// lives and reaches the store. It reaches back over several readings: a lost
// datagram leaves no gap.
struct RelayedUpdate {
  // The changes between two positions of the list.
  std::uint64_t list_from = 0;
  std::uint64_t list_to = 0;
  std::vector<FleetChange> changes;
  std::uint64_t configuration_version = 0;
  // For some time after a new configuration: the instance of each availability
  // zone, as "ip:port", from which the others of the zone get it.
  std::map<std::string, std::string, std::less<>> configuration_sources;
  // The offset after the last change on the log of the granting duty.
  std::uint64_t grant_log_offset = 0;
};

std::string EncodeRelayedUpdate(const RelayedUpdate& news);
// Returns nothing for a datagram that is malformed.
std::optional<RelayedUpdate> ParseRelayedUpdate(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_RELAYED_UPDATE_H_
