// Dispatcher: which upstreams are cold, or may be, and what they get.

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace pollenrudder {
namespace {

// An instance learns the number of instances some seconds after its start.
// Until then it assumes the planned capacity (docs/design.md, 1.5).
constexpr std::chrono::seconds kInstanceCountDelay{5};
constexpr std::uint32_t kInstancesBeforeCount = 770;
// How long a number of instances is assumed after a smaller one became known. A
// grant leader that has just restarted counts only those that have reported to
// it.
constexpr std::chrono::seconds kInstanceCountMemory{20};

}  // namespace

using std::chrono::nanoseconds;

void Dispatcher::Send(const Service& service,
                      const DispatchRequest& request,
                      Upstream& upstream,
                      BootTime now) {
  upstream.estimate.OnSent();
  upstream.cold.OnSent(now);
  const bool needs_confirmation = MayBeCold(service, upstream, now) &&
                                  !TryTakePermit(service, upstream, now);
  listener_.OnSend(request, upstream.entry, needs_confirmation);
}

bool Dispatcher::TryTakePermit(const Service& service,
                               Upstream& upstream,
                               BootTime now) {
  // The interval of the planned capacity lasts minutes, and the first permit
  // would keep its place in it once the number is known.
  if (!IsInstanceCountKnown(now))
    return false;
  ColdRateLimiter& limiter = upstream.presumed_cold;
  limiter.set_rate(service.cold_rate);
  limiter.Start(BootTime::max(), InstancesAtCold(now), Draw(), now);
  if (now < limiter.NextPermit(now))
    return false;
  limiter.OnSent(now);
  return true;
}

void Dispatcher::OnColdStated(const ListedUpstream& upstream,
                              nanoseconds remaining,
                              BootTime now) {
  if (Upstream* known = FindIncarnation(upstream))
    StartCold(*known, "stated", now + remaining, now);
}

void Dispatcher::OnNotConfirmed(const ListedUpstream& upstream, BootTime now) {
  if (Upstream* known = FindIncarnation(upstream)) {
    const Service& service = services_.find(upstream.service)->second;
    StartCold(*known, "not_confirmed", now + service.cold_time, now);
  }
}

Dispatcher::Upstream* Dispatcher::FindIncarnation(
    const ListedUpstream& upstream) {
  const auto service = services_.find(upstream.service);
  if (service == services_.end())
    return nullptr;
  const auto at = service->second.upstreams.find(upstream.name);
  return at != service->second.upstreams.end() &&
                 at->second.entry.SameIncarnation(upstream)
             ? &at->second
             : nullptr;
}

bool Dispatcher::HasBecomeCold(const ListedUpstream& upstream,
                               BootTime chosen_at,
                               BootTime now) const {
  const auto service = services_.find(upstream.service);
  if (service == services_.end())
    return false;
  const auto at = service->second.upstreams.find(upstream.name);
  return at != service->second.upstreams.end() && at->second.cold.IsCold(now) &&
         at->second.cold.started_at() > chosen_at;
}

bool Dispatcher::LacksContact(BootTime now) const {
  return options_.contact != nullptr &&
         !options_.contact->HasLasted(nanoseconds(0), now);
}

bool Dispatcher::MayBeCold(const Service& service,
                           const Upstream& upstream,
                           BootTime now) const {
  if (service.cold_rate <= 0 || service.cold_time.count() <= 0 ||
      options_.contact == nullptr || upstream.cold.IsCold(now))
    return false;
  // An owner of keys still gets requests when its evacuation has begun, and may
  // become cold at any moment of it. What became cold during a gap is cold no
  // longer once the contact has lasted for the cold time.
  return upstream.evacuated_since.has_value() ||
         !options_.contact->HasLasted(service.cold_time, now);
}

void Dispatcher::StartCold(Upstream& upstream,
                           std::string_view reason,
                           BootTime until,
                           BootTime now) {
  if (upstream.cold.Start(until, InstancesAtCold(now), Draw(), now))
    listener_.OnColdPeriod(upstream.entry, reason, until - now,
                           InstancesAtCold(now));
}

void Dispatcher::UpdateColdInstances(std::uint32_t instances, BootTime now) {
  const std::uint32_t former = instances_;
  if (fewer_instances_since_ &&
      now >= *fewer_instances_since_ + kInstanceCountMemory) {
    cold_instances_ = former;
    fewer_instances_since_.reset();
  }
  instances_ = instances;
  if (instances >= cold_instances_) {
    cold_instances_ = instances;
    fewer_instances_since_.reset();
  } else if (!fewer_instances_since_ || instances < former) {
    fewer_instances_since_ = now;
  }
}

std::uint32_t Dispatcher::InstancesAtCold(BootTime now) const {
  return IsInstanceCountKnown(now)
             ? cold_instances_
             : std::max(cold_instances_, kInstancesBeforeCount);
}

bool Dispatcher::IsInstanceCountKnown(BootTime now) const {
  return started_at_ && now >= *started_at_ + kInstanceCountDelay &&
         (options_.contact == nullptr || options_.contact->instances_counted());
}

}  // namespace pollenrudder
