// A change of the instance list.

#ifndef POLLENRUDDER_FLEET_FLEET_CHANGE_H_
#define POLLENRUDDER_FLEET_FLEET_CHANGE_H_

#include <optional>
#include <string>

#include "fleet/listed_upstream.h"

namespace pollenrudder {

// The new entry of an upstream, or the removal of its entry.
struct FleetChange {
  std::string name;
  // Empty if the entry was removed.
  std::optional<ListedUpstream> entry;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_CHANGE_H_
