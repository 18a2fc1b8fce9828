// Dispatcher: the choice of the upstream for a second send.

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace pollenrudder {
namespace {

// Above this share of failures, a second send is likely to be wasted.
constexpr double kMaxFailureShare = 0.2;

}  // namespace

std::optional<ListedUpstream> Dispatcher::TrySendHedge(
    const DispatchRequest& request,
    BootTime now) {
  const auto at = services_.find(request.service);
  // Free capacity belongs to the requests that wait.
  if (at == services_.end() || !at->second.queue.empty())
    return std::nullopt;
  Service& service = at->second;
  Upstream* best = nullptr;
  std::chrono::nanoseconds best_latency{0};
  for (auto& [name, upstream] : service.upstreams) {
    const UpstreamEstimate& estimate = upstream.estimate;
    if (!IsUsableForHedge(service, upstream, request, now) ||
        std::ranges::find(request.tried, name) != request.tried.end() ||
        !estimate.HasCapacity(now) ||
        estimate.in_flight() >= std::max(upstream.entry.slots, 1U) ||
        estimate.failure_share() > kMaxFailureShare)
      continue;
    const auto latency =
        estimate.ExpectedLatency(now) * (1 + estimate.in_flight());
    if (best == nullptr || latency < best_latency) {
      best = &upstream;
      best_latency = latency;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  best->estimate.OnSent();
  return best->entry;
}

bool Dispatcher::MaySendHedgeTo(const DispatchRequest& request,
                                const ListedUpstream& upstream,
                                BootTime now) const {
  if (!MaySendTo(request, upstream, now))
    return false;
  const Service& service = services_.find(request.service)->second;
  return IsUsableForHedge(
      service, service.upstreams.find(upstream.name)->second, request, now);
}

bool Dispatcher::IsUsableForHedge(const Service& service,
                                  const Upstream& upstream,
                                  const DispatchRequest& request,
                                  BootTime now) const {
  if (service.owns_keys && request.key)
    return false;
  // A second send is not worth the traffic between regions, nor is that of a
  // large response worth the traffic between zones.
  if (!upstream.same_region || (request.large_responses && !upstream.same_zone))
    return false;
  return IsUsableFor(service, upstream, request, now) &&
         !upstream.cold.IsCold(now) && now >= upstream.entry.cold_until &&
         !MayBeCold(service, upstream, now) && now >= upstream.ResumesAt(now);
}

}  // namespace pollenrudder
