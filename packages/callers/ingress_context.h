// State shared by the I/O threads of one instance.

#ifndef POLLENRUDDER_CALLERS_INGRESS_CONTEXT_H_
#define POLLENRUDDER_CALLERS_INGRESS_CONTEXT_H_

#include <string>

#include "base/metrics.h"
#include "callers/routing_table_holder.h"
#include "callers/team_limits.h"
#include "upstreams/upstream_sender.h"

namespace pollenrudder {

// Identity of the instance and references to the objects that its Ingress and
// ForwardHandler objects use. All of them must outlive the threads.
struct IngressContext {
  // "<name>.<incarnation>", as in RoutedUpstream::leader.
  std::string instance;
  std::string zone;
  std::string region;
  RoutingTableHolder& tables;
  UpstreamSender& sender;
  TeamLimits& teams;
  Metrics& metrics;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_CONTEXT_H_
