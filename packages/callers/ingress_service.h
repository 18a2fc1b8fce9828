// Per-thread routing state and metrics of a service.

#ifndef POLLENRUDDER_CALLERS_INGRESS_SERVICE_H_
#define POLLENRUDDER_CALLERS_INGRESS_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/error_kind.h"
#include "base/metrics.h"
#include "callers/ingress_context.h"
#include "routing/power_of_two_chooser.h"
#include "routing/retry_budget.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Holds the upstream chooser, the retry budget and the metrics of one service.
// Persists across routing table updates, so that observations of upstreams are
// kept. Owned by IngressView and used on one thread.
class IngressService {
 public:
  IngressService(const IngressContext& context,
                 const std::string& name,
                 std::uint64_t seed);

  // Applies the settings and upstreams of `service`.
  void Update(const IngressContext& context,
              const RoutingTable& table,
              const RoutedService& service);

  // Updates the metrics for a finished request.
  void RecordOutcome(Outcome outcome, std::chrono::nanoseconds duration);

  const std::string name;
  PowerOfTwoChooser chooser;
  RetryBudget budget;
  TeamLimits::InFlightCount team_in_flight;
  Counter& retries;

 private:
  Counter& answered_;
  Counter& not_run_;
  Counter& unknown_;
  DurationSummary& duration_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_SERVICE_H_
