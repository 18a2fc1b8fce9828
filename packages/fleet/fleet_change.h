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
  // The reader may know this change already, from a read of the whole list or
  // from another instance. Others may not know it.
  bool repeated = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_CHANGE_H_
