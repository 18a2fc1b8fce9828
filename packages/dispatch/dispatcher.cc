// Dispatcher: choice of upstream, waiting and refusal.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// What traffic to another zone or region costs, as a part of the aim: an
// exchange between regions is billed at a few tenths of an answer's value, one
// between zones at a few hundredths (docs/CAPACITY.md).
constexpr double kOtherZoneCost = 0.05;
constexpr double kOtherRegionCost = 0.5;
// A request leaves the region when staying would take more than this part of
// its aim.
constexpr double kStayShare = 0.6;
// A request is refused if it is expected to use more than this part of its
// time: the estimate of a wait is rough.
constexpr double kPatience = 0.75;
// How long a request waits for a key that changes hands, as a part of its time.
constexpr double kOwnerPatience = 0.35;
// An upstream that fails all requests still counts as one that answers this
// part of them, so that it is found to work again.
constexpr double kMinSuccess = 0.1;
// Spreads equal choices over the upstreams.
constexpr double kChoiceNoise = 0.15;
// How long requests wait after the owner of their keys said that it is none: a
// new owner is known within this time, or the grant has arrived.
constexpr milliseconds kDoubtPause{80};
// How long reports name an upstream that has ended: a new holder of the
// granting duty must hear of it, too.
constexpr std::chrono::seconds kReplacedReported{15};
constexpr nanoseconds kDefaultLatency = milliseconds(50);
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{3000};
constexpr milliseconds kNoUpstreamRetryAfter{500};
// Part of the connections that an upstream accepts which requests may use; the
// rest is for grants, probes, and connections that are being closed.
constexpr double kConnectionShare = 0.85;

double Count(nanoseconds duration) {
  return static_cast<double>(duration.count());
}

nanoseconds FromCount(double count) {
  return nanoseconds(static_cast<std::int64_t>(count));
}

std::string RegionOf(const Dispatcher::Options& options,
                     const std::string& zone) {
  const auto at = options.region_of_zone.find(zone);
  return at == options.region_of_zone.end() ? std::string() : at->second;
}

}  // namespace

Dispatcher::Dispatcher(Options options, DispatchListener& listener)
    : options_(std::move(options)),
      region_(RegionOf(options_, options_.zone)),
      listener_(listener),
      random_(options_.seed) {}

void Dispatcher::SetFleet(const Fleet& fleet,
                          const RouterConfiguration& plan,
                          std::uint32_t instances,
                          BootTime now) {
  assert(instances > 0);
  for (const auto& [name, policy] : plan.services)
    services_[name].owns_keys = policy.owns_keys;
  for (auto& [name, service] : services_) {
    const double max_limit =
        std::max(1.0, kConnectionShare * plan.PolicyOf(name).max_connections /
                          instances);
    std::erase_if(service.upstreams, [&fleet](const auto& known) {
      const ListedUpstream* entry = fleet.Find(known.first);
      return entry == nullptr || !entry->SameIncarnation(known.second.entry) ||
             entry->service != known.second.entry.service;
    });
    for (auto& [upstream_name, upstream] : service.upstreams)
      upstream.load.set_max_limit(max_limit);
  }
  for (const auto& [name, entry] : fleet.upstreams()) {
    const auto service = services_.find(entry.service);
    if (service == services_.end())
      continue;
    const double max_limit = std::max(
        1.0, kConnectionShare * plan.PolicyOf(entry.service).max_connections /
                 instances);
    auto& upstreams = service->second.upstreams;
    const auto known = upstreams.find(name);
    if (known != upstreams.end()) {
      known->second.entry = entry;
      continue;
    }
    UpstreamEstimate::Options options;
    options.initial_latency = MeanLatency(service->second, now);
    options.initial_limit = std::max<double>(entry.slots, 1);
    options.max_limit = max_limit;
    Upstream upstream{entry, UpstreamEstimate(options)};
    upstream.known_since = now;
    upstream.same_zone = entry.zone == options_.zone;
    upstream.same_region = RegionOf(options_, entry.zone) == region_;
    upstream.load.set_cold_until(now + entry.cold_remaining);
    upstreams.emplace(name, std::move(upstream));
  }
  for (auto& [name, service] : services_)
    Pump(service, now);
}

void Dispatcher::SetKeyTable(const std::string& service,
                             const KeyTable* table,
                             BootTime now) {
  Service& state = services_[service];
  state.keys = table;
  state.doubtful_rows.clear();
  Pump(state, now);
}

void Dispatcher::Submit(DispatchRequest request, BootTime now) {
  Service& service = services_[request.service];
  if (service.owns_keys && request.key && request.tried.empty())
    service.arrived_keys.push_back(*request.key);
  if (Handle(service, request, now))
    return;
  const nanoseconds wait = ExpectedWait(service, request, now);
  const nanoseconds total = request.deadline - request.arrived;
  if (now + wait + MeanLatency(service, now) >
      request.arrived + FromCount(Count(total) * kPatience)) {
    Refuse(request, ErrorKind::kNotRunOverloaded, wait);
    return;
  }
  service.waiting.Add(std::move(request));
}

bool Dispatcher::Cancel(const std::string& service, std::uint64_t id) {
  const auto at = services_.find(service);
  return at != services_.end() && at->second.waiting.Remove(id).has_value();
}

void Dispatcher::OnEnded(const DispatchRequest& request,
                         const std::string& upstream_name,
                         AttemptResult result,
                         nanoseconds elapsed,
                         BootTime now) {
  const auto service = services_.find(request.service);
  if (service == services_.end())
    return;
  const auto at = service->second.upstreams.find(upstream_name);
  if (at != service->second.upstreams.end() &&
      at->second.load.in_flight() > 0) {
    at->second.load.OnEnded(result, elapsed, request.latency_objective, now);
    if (result == AttemptResult::kAnswered)
      ++at->second.answered;
    // The answer to a request from before this life says nothing about it.
    if (result == AttemptResult::kReplaced && !at->second.replaced &&
        now - elapsed >= at->second.known_since) {
      at->second.replaced = true;
      service->second.replaced.push_back(
          {{upstream_name, at->second.entry.started_at}, now});
    }
  }
  if (result == AttemptResult::kMisrouted && request.key &&
      service->second.keys != nullptr) {
    if (const KeyAssignment* row = service->second.keys->Find(*request.key))
      service->second.doubtful_rows[row->keys.first] = now + kDoubtPause;
  }
  Pump(service->second, now);
}

void Dispatcher::Tick(BootTime now) {
  for (auto& [name, service] : services_)
    Pump(service, now);
}

bool Dispatcher::HasWaiting() const {
  return std::ranges::any_of(services_, [](const auto& service) {
    return !service.second.waiting.empty();
  });
}

nanoseconds Dispatcher::ExpectedLatency(std::string_view service,
                                        std::string_view upstream,
                                        BootTime now) const {
  const auto known = services_.find(service);
  if (known == services_.end())
    return kDefaultLatency;
  const auto at = known->second.upstreams.find(upstream);
  return at == known->second.upstreams.end()
             ? MeanLatency(known->second, now)
             : at->second.load.ExpectedLatency(now);
}

nanoseconds Dispatcher::RetryAfter(const std::string& service) {
  DispatchRequest request;
  request.service = service;
  request.priority = ~0U;
  const BootTime now = BootTime{};
  const nanoseconds wait = ExpectedWait(services_[service], request, now);
  const double spread = 0.75 + 0.5 * Draw();
  return std::clamp<nanoseconds>(FromCount(Count(wait) * spread),
                                 kMinRetryAfter, kMaxRetryAfter);
}

std::map<std::string, ServiceLoad, std::less<>> Dispatcher::TakeLoad(
    BootTime now) {
  std::map<std::string, ServiceLoad, std::less<>> loads;
  for (auto& [name, service] : services_) {
    if (!service.owns_keys)
      continue;
    ServiceLoad load;
    load.keys = std::move(service.arrived_keys);
    service.arrived_keys.clear();
    for (auto& [upstream_name, upstream] : service.upstreams) {
      const std::uint32_t answered = std::exchange(upstream.answered, 0);
      if (answered > 0 || upstream.load.in_flight() > 0)
        load.upstreams[upstream_name] = {upstream.load.in_flight(), answered};
    }
    for (const DispatchRequest& request : service.waiting.requests()) {
      const KeyAssignment* row = service.keys != nullptr && request.key
                                     ? service.keys->Find(*request.key)
                                     : nullptr;
      if (row != nullptr)
        ++load.upstreams[row->owner.name].outstanding;
    }
    std::erase_if(service.replaced, [now](const auto& entry) {
      return now >= entry.second + kReplacedReported;
    });
    for (const auto& [incarnation, time] : service.replaced)
      load.replaced.push_back(incarnation);
    if (!load.keys.empty() || !load.upstreams.empty() || !load.replaced.empty())
      loads.emplace(name, std::move(load));
  }
  return loads;
}

Dispatcher::Decision Dispatcher::DecideByKey(Service& service,
                                             const DispatchRequest& request,
                                             BootTime now) {
  const KeyAssignment* row =
      service.keys == nullptr ? nullptr : service.keys->Find(*request.key);
  if (row == nullptr || row->moving)
    return {Choice::kNoOwner};
  const auto at = service.upstreams.find(row->owner.name);
  if (at == service.upstreams.end() || !at->second.IsUsable() ||
      at->second.entry.started_at != row->owner.started_at)
    return {Choice::kNoOwner};
  const auto doubt = service.doubtful_rows.find(row->keys.first);
  if (doubt != service.doubtful_rows.end()) {
    if (now < doubt->second)
      return {Choice::kNoOwner};
    // One request finds out, the others wait on.
    doubt->second = now + kDoubtPause;
  }
  if (!at->second.load.HasCapacity(now))
    return {Choice::kWait};
  return {Choice::kSend, &at->second};
}

Dispatcher::Decision Dispatcher::Decide(Service& service,
                                        const DispatchRequest& request,
                                        BootTime now) {
  if (now < request.not_before)
    return {Choice::kWait};
  if (service.owns_keys && request.key)
    return DecideByKey(service, request, now);
  Upstream* best = nullptr;
  double best_cost = 0;
  bool any = false;
  // The least expected time in the region, with or without room.
  std::optional<nanoseconds> stay;
  const bool skip_tried = request.tried.size() < service.upstreams.size();
  for (auto& [name, upstream] : service.upstreams) {
    if (!upstream.IsUsable())
      continue;
    any = true;
    if (skip_tried &&
        std::ranges::find(request.tried, name) != request.tried.end())
      continue;
    const nanoseconds latency = upstream.load.ExpectedLatency(now);
    const double success =
        std::max(kMinSuccess, 1 - upstream.load.failure_share());
    const double busy = 1 + static_cast<double>(upstream.load.in_flight()) /
                                std::max<double>(upstream.entry.slots, 1);
    if (upstream.same_region && !upstream.load.IsAvoided(now)) {
      const nanoseconds time = FromCount(Count(latency) / success);
      if (!stay || time < *stay)
        stay = time;
    }
    if (!upstream.load.HasCapacity(now))
      continue;
    double cost = Count(latency) * busy / (success * success);
    cost *= 1 + kChoiceNoise * Draw();
    if (!upstream.same_region)
      cost += kOtherRegionCost * Count(request.latency_objective);
    else if (!upstream.same_zone)
      cost += kOtherZoneCost * Count(request.latency_objective);
    if (best == nullptr || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  if (!any)
    return {Choice::kNoUpstream};
  if (best == nullptr)
    return {Choice::kWait};
  const bool can_stay =
      stay && now - request.arrived + *stay <
                  FromCount(Count(request.latency_objective) * kStayShare);
  if (!best->same_region && can_stay)
    return {Choice::kWait};
  return {Choice::kSend, best};
}

bool Dispatcher::Handle(Service& service,
                        const DispatchRequest& request,
                        BootTime now) {
  const Decision decision = Decide(service, request, now);
  switch (decision.choice) {
    case Choice::kSend:
      decision.upstream->load.OnSent();
      listener_.OnSend(request, decision.upstream->entry);
      return true;
    case Choice::kNoUpstream:
      Refuse(request, ErrorKind::kNotRunUnreachable, kNoUpstreamRetryAfter);
      return true;
    case Choice::kNoOwner: {
      const nanoseconds patience =
          std::max(request.latency_objective,
                   FromCount(Count(request.deadline - request.arrived) *
                             kOwnerPatience));
      if (now < request.arrived + patience)
        return false;
      Refuse(request, ErrorKind::kNotRunNoOwner, kNoUpstreamRetryAfter);
      return true;
    }
    case Choice::kWait:
      break;
  }
  if (now + kDefaultLatency / 2 < request.deadline)
    return false;
  Refuse(request, ErrorKind::kNotRunOverloaded,
         ExpectedWait(service, request, now));
  return true;
}

void Dispatcher::Pump(Service& service, BootTime now) {
  if (service.waiting.empty())
    return;
  service.waiting.Visit(now, MeanLatency(service, now),
                        [&](const DispatchRequest& request) {
                          return Handle(service, request, now);
                        });
}

nanoseconds Dispatcher::ExpectedWait(const Service& service,
                                     const DispatchRequest& request,
                                     BootTime now) const {
  double capacity = 0;
  std::size_t ahead = 0;
  if (service.owns_keys && request.key) {
    const KeyAssignment* row =
        service.keys == nullptr ? nullptr : service.keys->Find(*request.key);
    const auto at = row == nullptr ? service.upstreams.end()
                                   : service.upstreams.find(row->owner.name);
    if (at == service.upstreams.end())
      return nanoseconds(0);
    for (const DispatchRequest& other : service.waiting.requests()) {
      if (other.priority <= request.priority && other.key &&
          row->keys.Contains(*other.key))
        ++ahead;
    }
    return FromCount(Count(at->second.load.ExpectedLatency(now)) *
                     static_cast<double>(ahead) /
                     std::max(1.0, at->second.load.limit()));
  }
  for (const auto& [name, upstream] : service.upstreams) {
    if (upstream.IsUsable() && upstream.same_region &&
        !upstream.load.IsAvoided(now))
      capacity += upstream.load.limit();
  }
  ahead = service.waiting.CountUrgent(request.priority);
  return FromCount(Count(MeanLatency(service, now)) *
                   static_cast<double>(ahead) / std::max(1.0, capacity));
}

nanoseconds Dispatcher::MeanLatency(const Service& service,
                                    BootTime now) const {
  double sum = 0;
  int count = 0;
  for (const auto& [name, upstream] : service.upstreams) {
    if (!upstream.IsUsable() || upstream.load.IsAvoided(now))
      continue;
    sum += Count(upstream.load.ExpectedLatency(now));
    ++count;
  }
  return count == 0 ? kDefaultLatency : FromCount(sum / count);
}

void Dispatcher::Refuse(const DispatchRequest& request,
                        ErrorKind kind,
                        nanoseconds wait) {
  const double spread = 0.75 + 0.5 * Draw();
  listener_.OnRefuse(request, kind,
                     std::clamp<nanoseconds>(FromCount(Count(wait) * spread),
                                             kMinRetryAfter, kMaxRetryAfter));
}

}  // namespace pollenrudder
