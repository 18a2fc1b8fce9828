// LoadPlanner: sends load reports to the planner of each service, and runs the
// planner of the services that this instance plans.

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

// A report of this instance's own upstream package is forwarded to the planner
// of each service. A report of another leader concerns services that this
// instance plans. Planned moves are sent as advice to the leaders of the
// overloaded upstreams.
class LoadPlanner {
 public:
  // The load, in requests per second, that an idle shard counts as. It makes
  // the shards of an idle service spread evenly by number.
  static constexpr double kIdleShardLoad = 0.1;

  explicit LoadPlanner(ControlContext& context);

  // `planners` maps each service to its first upstream by name. The leader of
  // that upstream is the planner of the service.
  void OnLoadReported(const LoadReported& report,
                      const std::map<std::string, std::string>& planners);
  // Runs the planner of a service that this instance plans, once every
  // load_report_interval. Returns the advice for upstreams that this instance
  // leads.
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
