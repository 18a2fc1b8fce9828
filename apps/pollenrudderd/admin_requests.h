// Request handler of the daemon's admin port.

#ifndef POLLENRUDDER_POLLENRUDDERD_ADMIN_REQUESTS_H_
#define POLLENRUDDER_POLLENRUDDERD_ADMIN_REQUESTS_H_

#include <string_view>

#include "base/metrics.h"
#include "callers/routing_table_holder.h"
#include "operators/admin_handler.h"
#include "pollenrudderd/control_thread.h"

namespace pollenrudder {

// Handles /status, /metrics, /route and /health for AdminServer.
// The constructor arguments must outlive the object.
class AdminRequests final : public AdminHandler {
 public:
  AdminRequests(ControlThread& control,
                const RoutingTableHolder& tables,
                Metrics& metrics);

  // AdminHandler:
  AdminResponse HandleAdminRequest(std::string_view target) override;

 private:
  AdminResponse Status();
  AdminResponse Health() const;
  AdminResponse RenderMetrics();
  AdminResponse Route(std::string_view target) const;

  ControlThread& control_;
  const RoutingTableHolder& tables_;
  Metrics& metrics_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_ADMIN_REQUESTS_H_
