// Builds the RoutingTable from the replayed state.

#ifndef POLLENRUDDER_OWNERSHIP_ROUTING_TABLE_BUILDER_H_
#define POLLENRUDDER_OWNERSHIP_ROUTING_TABLE_BUILDER_H_

#include "ownership/ownership_table.h"
#include "ownership/stop_schedule.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Returns the services of the document with their upstreams that have a term
// and the owners of their shards. Upstreams that are stopping or recorded as
// lost are marked as leaving.
RoutingTablePointer BuildRoutingTable(const OwnershipTable& table,
                                      const StopSchedule& stops);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_ROUTING_TABLE_BUILDER_H_
