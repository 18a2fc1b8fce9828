// LoadPlanner: passes load reports to the planners of services, and plans.

#ifndef POLLENRUDDER_OWNERSHIP_LOAD_PLANNER_H_
#define POLLENRUDDER_OWNERSHIP_LOAD_PLANNER_H_

#include <map>
#include <optional>
#include <string>

#include "base/boot_clock.h"
#include "ownership/control_context.h"
#include "ownership/controller_input.h"
#include "routing/planner.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// A report of the own upstream package is sent on to the planner of each
// service; a report of another leader is for services that this instance plans.
// Plans become advice to the leaders of the upstreams that are too busy.
class LoadPlanner {
 public:
  // The load in requests/s that an idle shard counts with, so that the shards
  // of an idle service are spread by number.
  static constexpr double kIdleShardLoad = 0.1;

  explicit LoadPlanner(ControlContext& context);

  // `planners` has the first upstream of each service by name, whose leader
  // plans the service.
  void OnLoadReported(const LoadReported& report,
                      const std::map<std::string, std::string>& planners);
  // Plans a service that this instance plans, at each load_report interval.
  // Returns advice about upstreams that this instance leads itself.
  std::vector<MoveAdvised> OnTick(const std::string& service,
                                  const RoutingTable& table);

  double LoadOf(const std::string& service, std::uint32_t shard) const;

 private:
  struct Service {
    Planner planner;
    std::optional<BootTime> planned_at;
  };

  Service& FindOrAdd(const std::string& service);

  ControlContext& context_;
  std::map<std::string, Service> services_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LOAD_PLANNER_H_
