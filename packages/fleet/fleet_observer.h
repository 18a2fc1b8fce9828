// Receives what the platform says of configuration and upstreams.

#ifndef POLLENRUDDER_FLEET_FLEET_OBSERVER_H_
#define POLLENRUDDER_FLEET_FLEET_OBSERVER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "fleet/fleet_change.h"
#include "fleet/listed_upstream.h"
#include "fleet/plan_document.h"
#include "fleet/route_plan.h"

namespace pollenrudder {

// Called on the event loop by the platform's readers.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;

  // `document` is what the plan was decoded from. It may be older than one that
  // came before; the observer ignores it then.
  virtual void OnPlan(std::shared_ptr<const RoutePlan> plan,
                      std::shared_ptr<const PlanDocument> document) = 0;
  // The changes of the list between two positions; empty if there were none.
  virtual void OnFleetChanges(std::uint64_t from,
                              std::uint64_t to,
                              const std::vector<FleetChange>& changes) = 0;
  // The whole list, as it was at `position`.
  virtual void OnFleetListing(std::uint64_t position,
                              const std::vector<ListedUpstream>& entries) = 0;
  // The list cannot be read, or can be read again.
  virtual void OnListLost() = 0;
  virtual void OnListReturned() = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_OBSERVER_H_
