// Dispatcher: what upstreams state about themselves in their responses.

#include <algorithm>
#include <optional>

#include "dispatch/dispatcher.h"

namespace pollenrudder {
namespace {

// How long requests wait after the owner of their key rejected a request as not
// its own: at first the time in which a grant that is on its way arrives, then
// up to the time after which the grant leader has renewed the grant.
constexpr std::chrono::milliseconds kMinRejectionDelay{80};
constexpr std::chrono::milliseconds kMaxRejectionDelay{1000};

}  // namespace

using std::chrono::nanoseconds;

bool Dispatcher::OnLeavingAnnounced(const std::string& service_name,
                                    const ListedUpstream& upstream,
                                    BootTime now) {
  const auto service = services_.find(service_name);
  if (service == services_.end())
    return false;
  auto& departures = service->second.departures;
  const auto known = departures.find(upstream.name);
  // A response of an earlier incarnation may arrive after one of its successor.
  if (known != departures.end() &&
      known->second.started_at >= upstream.started_at)
    return false;
  departures[upstream.name] = {upstream.started_at, now};
  const auto at = service->second.upstreams.find(upstream.name);
  if (at != service->second.upstreams.end() &&
      at->second.entry.started_at == upstream.started_at)
    at->second.leaving_since = now;
  return true;
}

void Dispatcher::OnPauseRequested(const std::string& service_name,
                                  const ListedUpstream& upstream,
                                  nanoseconds pause,
                                  BootTime now) {
  const auto service = services_.find(service_name);
  if (service == services_.end())
    return;
  Pause& known = service->second.pauses[upstream.name];
  if (known.started_at > upstream.started_at)
    return;
  if (known.started_at != upstream.started_at)
    known = {upstream.started_at, {}};
  known.until = std::max(known.until, now + pause);
  const auto at = service->second.upstreams.find(upstream.name);
  if (at != service->second.upstreams.end() &&
      at->second.entry.started_at == upstream.started_at)
    at->second.estimate.OnPauseRequested(known.until);
}

bool Dispatcher::IsRefusedForPause(const DispatchRequest& request,
                                   BootTime now) const {
  const auto service = services_.find(request.service);
  return service != services_.end() &&
         !CanWaitUntil(service->second, request,
                       ResumesAt(service->second, request, now), now);
}

bool Dispatcher::IsListedToStay(const ListedUpstream& upstream) const {
  const auto service = services_.find(upstream.service);
  if (service == services_.end())
    return false;
  const auto at = service->second.upstreams.find(upstream.name);
  return at != service->second.upstreams.end() &&
         at->second.entry.SameIncarnation(upstream) && at->second.IsUsable();
}

bool Dispatcher::MaySendTo(const DispatchRequest& request,
                           const ListedUpstream& upstream,
                           BootTime now) const {
  const auto service = services_.find(request.service);
  if (service == services_.end())
    return false;
  const auto at = service->second.upstreams.find(upstream.name);
  return at != service->second.upstreams.end() &&
         at->second.entry.SameIncarnation(upstream) &&
         now >= at->second.estimate.requested_pause_until() &&
         IsUsableFor(service->second, at->second, request, now);
}

bool Dispatcher::IsUsableFor(const Service& service,
                             const Upstream& upstream,
                             const DispatchRequest& request,
                             BootTime now) const {
  if (!IsAllowedAt(upstream, request))
    return false;
  return service.owns_keys && request.key
             ? upstream.IsUsableAsOwner(options_.leaving_owner_time, now)
             : upstream.IsUsable();
}

void Dispatcher::RecordRejection(Service& service,
                                 const DispatchRequest& request,
                                 AttemptResult result,
                                 BootTime now) {
  if (!request.key || service.keys == nullptr)
    return;
  const KeyAssignment* row = service.keys->Find(*request.key);
  if (row == nullptr)
    return;
  if (result == AttemptResult::kAnswered) {
    service.rejections.erase(row->keys.first);
    return;
  }
  if (result != AttemptResult::kMisrouted)
    return;
  Rejection& rejection = service.rejections[row->keys.first];
  if (!rejection.Concerns(*row))
    rejection = {row->owner, row->token, {}, {}};
  rejection.delay = std::clamp<nanoseconds>(
      rejection.delay * 2, kMinRejectionDelay, kMaxRejectionDelay);
  rejection.until = now + rejection.delay;
}

bool Dispatcher::IsAllowedAt(const Upstream& upstream,
                             const DispatchRequest& request) {
  return !request.allowed_regions ||
         std::ranges::find(*request.allowed_regions, upstream.region) !=
             request.allowed_regions->end();
}

bool Dispatcher::StaysInRegion(const Service& service,
                               const DispatchRequest& request,
                               BootTime now) const {
  return request.large_responses &&
         std::ranges::any_of(service.upstreams, [&](const auto& entry) {
           return entry.second.same_region &&
                  IsUsableFor(service, entry.second, request, now);
         });
}

bool Dispatcher::IsOutOfReach(const Service& service,
                              const DispatchRequest& request) {
  return !service.upstreams.empty() &&
         std::ranges::none_of(service.upstreams, [&](const auto& entry) {
           return IsAllowedAt(entry.second, request) &&
                  !entry.second.evacuated_since;
         });
}

const Dispatcher::Upstream* Dispatcher::FindOwner(
    const Service& service,
    const DispatchRequest& request) const {
  const KeyAssignment* row =
      service.keys == nullptr ? nullptr : service.keys->Find(*request.key);
  const auto at = row == nullptr ? service.upstreams.end()
                                 : service.upstreams.find(row->owner.name);
  return at == service.upstreams.end() ? nullptr : &at->second;
}

BootTime Dispatcher::ResumesAt(const Service& service,
                               const DispatchRequest& request,
                               BootTime now) const {
  if (service.owns_keys && request.key) {
    const Upstream* owner = FindOwner(service, request);
    return owner == nullptr ? now : std::max(now, owner->ResumesAt(now));
  }
  std::optional<BootTime> first;
  const bool stays_in_region = StaysInRegion(service, request, now);
  for (const auto& [name, upstream] : service.upstreams) {
    if (!IsUsableFor(service, upstream, request, now) ||
        (stays_in_region && !upstream.same_region))
      continue;
    const BootTime until = upstream.ResumesAt(now);
    first = first ? std::min(*first, until) : until;
  }
  return std::max(now, first.value_or(now));
}

}  // namespace pollenrudder
