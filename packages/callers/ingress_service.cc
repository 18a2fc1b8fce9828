// IngressService: metrics and candidates of the upstream chooser.

#include "callers/ingress_service.h"

#include <string_view>
#include <utility>
#include <vector>

namespace pollenrudder {
namespace {

std::string Labels(const std::string& service, std::string_view outcome) {
  return "service=\"" + service + "\",outcome=\"" + std::string(outcome) + "\"";
}

PowerOfTwoChooser::Options ChooserOptions(const IngressContext& context) {
  PowerOfTwoChooser::Options options;
  options.zone = context.zone;
  options.region = context.region;
  return options;
}

}  // namespace

IngressService::IngressService(const IngressContext& context,
                               const std::string& service,
                               std::uint64_t seed)
    : name(service),
      chooser(ChooserOptions(context), seed),
      budget(RetryBudget::Options{}, seed),
      retries(context.metrics.CounterFor("pollenrudder_retries_total",
                                         "service=\"" + service + "\"")),
      answered_(context.metrics.CounterFor("pollenrudder_requests_total",
                                           Labels(service, "answered"))),
      not_run_(context.metrics.CounterFor("pollenrudder_requests_total",
                                          Labels(service, "not-run"))),
      unknown_(context.metrics.CounterFor("pollenrudder_requests_total",
                                          Labels(service, "unknown"))),
      duration_(
          context.metrics.SummaryFor("pollenrudder_request_duration_seconds",
                                     "service=\"" + service + "\"")) {}

void IngressService::Update(const IngressContext& context,
                            const RoutingTable& table,
                            const RoutedService& service) {
  team_in_flight = context.teams.InFlightCountOf(service.settings.team);
  std::vector<UpstreamCandidate> upstreams;
  upstreams.reserve(service.upstreams.size());
  for (const std::uint32_t index : service.upstreams) {
    const RoutedUpstream& upstream = table.upstreams[index];
    // An upstream without a leader is unreachable from every instance.
    const bool unusable = upstream.leaving || upstream.leader.empty();
    upstreams.push_back(
        {upstream.name, upstream.zone, upstream.region, unusable});
  }
  chooser.SetUpstreams(std::move(upstreams));
}

void IngressService::RecordOutcome(Outcome outcome,
                                   std::chrono::nanoseconds duration) {
  duration_.Observe(duration);
  switch (outcome) {
    case Outcome::kAnswered:
      answered_.Add();
      break;
    case Outcome::kNotRun:
      not_run_.Add();
      break;
    case Outcome::kUnknown:
      unknown_.Add();
      break;
  }
}

}  // namespace pollenrudder
