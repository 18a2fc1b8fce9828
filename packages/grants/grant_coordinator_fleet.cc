// GrantCoordinator: the upstreams that the instance list names, and what the
// instances report about them.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "grants/grant_coordinator.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// How long a replaced upstream gets no keys; the instance list may still name
// it for a while.
constexpr milliseconds kReplacedExclusion{4000};
// An upstream that is listed at least this long after the first ones has
// started meanwhile: the list shows a start after about two seconds.
constexpr milliseconds kListDelay{2500};

}  // namespace

void GrantCoordinator::OnFleet(const Fleet& fleet,
                               const RouterConfiguration& configuration,
                               BootTime now) {
  for (const auto& [name, upstream] : fleet_)
    unlisted_.insert_or_assign(name, upstream);
  const auto former = std::exchange(fleet_, fleet.upstreams());
  for (const auto& [name, policy] : configuration.services) {
    ServiceState& state = services_[name];
    state.owns_keys = policy.owns_keys;
    if (policy.owns_keys && configuration.version != configuration_version_)
      state.regions = configuration.CommonRegionsOf(name).value_or(
          std::vector<std::string>());
  }
  configuration_version_ = configuration.version;
  for (const auto& [name, upstream] : fleet_) {
    const auto at = services_.find(upstream.service);
    if (at == services_.end())
      continue;
    at->second.load.SetSlots(name, upstream.slots);
    if (at->second.first_upstream_at == BootTime{})
      at->second.first_upstream_at = now;
    const ServicePolicy& policy = configuration.PolicyOf(upstream.service);
    if (policy.cold_rate > 0) {
      const auto old = former.find(name);
      RecordCold(at->second, upstream,
                 old == former.end() ? nullptr : &old->second, policy.cold_time,
                 now);
    }
  }
}

void GrantCoordinator::RecordCold(ServiceState& state,
                                  const ListedUpstream& upstream,
                                  const ListedUpstream* former,
                                  std::chrono::nanoseconds cold_time,
                                  BootTime now) {
  std::erase_if(state.cold_until,
                [now](const auto& cold) { return now >= cold.second; });
  BootTime until = upstream.cold_until;
  // What the first list names has not necessarily just started.
  const bool has_started =
      (former == nullptr || !former->SameIncarnation(upstream)) &&
      now >= state.first_upstream_at + kListDelay;
  const bool is_back =
      former != nullptr && former->evacuated && !upstream.evacuated;
  if (has_started || is_back)
    until = std::max(until, now + cold_time);
  if (until > now) {
    BootTime& known = state.cold_until[upstream.name];
    known = std::max(known, until);
  }
}

void GrantCoordinator::OnLoadReport(const LoadReport& report, BootTime now) {
  if (!is_leader_)
    return;
  for (const auto& [service, load] : report.services) {
    const auto at = services_.find(service);
    if (at == services_.end() || !at->second.owns_keys)
      continue;
    at->second.load.Add(report.instance, load, now);
    for (const UpstreamIncarnation& incarnation : load.replaced) {
      OnIncarnationEnded(at->second, incarnation);
      at->second.excluded_until[incarnation.name] = now + kReplacedExclusion;
    }
    for (const UpstreamIncarnation& incarnation : load.leaving)
      OnUpstreamLeaving(service, incarnation);
  }
}

void GrantCoordinator::OnUpstreamLeaving(const std::string& service,
                                         const UpstreamIncarnation& upstream) {
  auto& started_at = services_[service].leaving[upstream.name];
  started_at = std::max(started_at, upstream.started_at);
}

}  // namespace pollenrudder
