// Dispatcher: choice of the upstream, queueing and refusal.
// dispatcher_notices.cc has what upstreams state about themselves.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The cost of traffic to another availability zone or region, as a fraction of
// the latency objective: an exchange between regions is billed at a few tenths
// of the value of a response, one between zones at a few hundredths
// (docs/CAPACITY.md).
constexpr double kOtherZoneCost = 0.05;
constexpr double kOtherRegionCost = 0.5;
// As kOtherZoneCost, for large responses: their volume is tens of times that of
// others, while their latency objective is only a few times longer.
constexpr double kOtherZoneCostOfLargeResponse = 0.4;
// A request leaves the region if staying is expected to take more than this
// fraction of the latency objective, including the time since its arrival.
constexpr double kMaxLocalShare = 0.6;
// A request is refused if it is expected to use more than this fraction of its
// time until the deadline. The margin covers the error of the estimated wait.
constexpr double kMaxDeadlineShare = 0.75;
// How long a request waits for a key that is moving, as a fraction of its time
// until the deadline.
constexpr double kOwnerWaitShare = 0.35;
// Lower bound of the success rate of an upstream, so that an upstream whose
// requests all fail is still tried and its recovery is noticed.
constexpr double kMinSuccessRate = 0.1;
// Randomizes the choice between upstreams of about equal cost.
constexpr double kChoiceNoise = 0.15;
// How long load reports name an upstream that has ended, so that a new grant
// leader learns of it too.
constexpr std::chrono::seconds kReplacedReportTime{15};
// How long an upstream that announced its leaving is remembered after it was
// removed from the list. An upstream that leaves ends within this time.
constexpr std::chrono::minutes kDepartureMemory{10};
// An upstream that is listed at least this long after the first list has
// started meanwhile: the list shows a start after about two seconds.
constexpr milliseconds kListDelay{2500};
constexpr nanoseconds kDefaultLatency = milliseconds(50);
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{3000};
constexpr milliseconds kNoUpstreamRetryAfter{500};
// The fraction of the connections that an upstream accepts which requests may
// use. The rest is for grants, probes and connections that are being closed.
constexpr double kConnectionShare = 0.85;

double ToCount(nanoseconds duration) {
  return static_cast<double>(duration.count());
}

nanoseconds FromCount(double count) {
  return nanoseconds(static_cast<std::int64_t>(count));
}

// The number of requests that each instance may have at an upstream if all of
// them send to it. Besides the slots, the upstream has a queue.
double LimitPerInstance(std::uint32_t slots, std::uint32_t instances) {
  constexpr double kPlacesPerSlot = 2;
  return std::min(1.0, kPlacesPerSlot * std::max(slots, 1U) / instances);
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
                          const RouterConfiguration& configuration,
                          std::uint32_t instances,
                          BootTime now) {
  assert(instances > 0);
  UpdateColdInstances(instances, now);
  if (!started_at_ && !fleet.upstreams().empty())
    started_at_ = now;
  for (const auto& [name, policy] : configuration.services) {
    Service& service = services_[name];
    service.owns_keys = policy.owns_keys;
    service.cold_time = policy.cold_time;
    service.cold_rate = policy.cold_rate;
  }
  for (auto& [name, service] : services_) {
    const double max_limit = std::max(
        1.0, kConnectionShare * configuration.PolicyOf(name).max_connections /
                 instances);
    std::erase_if(service.upstreams, [&fleet](const auto& known) {
      const ListedUpstream* entry = fleet.Find(known.first);
      return entry == nullptr || !entry->SameIncarnation(known.second.entry) ||
             entry->service != known.second.entry.service;
    });
    const auto& listed = service.upstreams;
    std::erase_if(service.departures, [&listed, now](const auto& departure) {
      return !listed.contains(departure.first) &&
             now >= departure.second.since + kDepartureMemory;
    });
    std::erase_if(service.pauses, [now](const auto& pause) {
      return now >= pause.second.until;
    });
    for (auto& [upstream_name, upstream] : service.upstreams) {
      upstream.estimate.set_max_limit(max_limit);
      upstream.cold.set_rate(service.cold_rate);
      upstream.cold.SetInstances(InstancesAtCold(now));
      upstream.estimate.set_min_limit(
          LimitPerInstance(upstream.entry.slots, instances));
    }
  }
  for (const auto& [name, entry] : fleet.upstreams()) {
    const auto service = services_.find(entry.service);
    if (service == services_.end())
      continue;
    const double max_limit = std::max(
        1.0, kConnectionShare *
                 configuration.PolicyOf(entry.service).max_connections /
                 instances);
    auto& upstreams = service->second.upstreams;
    const auto known = upstreams.find(name);
    if (known != upstreams.end()) {
      known->second.entry = entry;
      if (entry.evacuated) {
        if (!known->second.evacuated_since)
          known->second.evacuated_since = now;
      } else if (known->second.evacuated_since) {
        known->second.evacuated_since.reset();
        StartCold(known->second, "evacuation_ended",
                  now + service->second.cold_time, now);
      }
      StartCold(known->second, "listed_cold", entry.cold_until, now);
      continue;
    }
    UpstreamEstimate::Options options;
    options.initial_latency = MeanLatency(service->second, now);
    options.initial_limit = std::max<double>(entry.slots, 1);
    options.max_limit = max_limit;
    options.min_limit = LimitPerInstance(entry.slots, instances);
    Upstream upstream{entry, UpstreamEstimate(options)};
    upstream.listed_since = now;
    if (entry.evacuated)
      upstream.evacuated_since = now;
    upstream.same_zone = entry.zone == options_.zone;
    upstream.region = RegionOf(options_, entry.zone);
    upstream.same_region = upstream.region == region_;
    upstream.estimate.set_cold_until(now + entry.cold_remaining);
    upstream.cold.set_rate(service->second.cold_rate);
    StartCold(upstream, "listed_cold", entry.cold_until, now);
    // What the first list names has not necessarily just started.
    if (now >= *started_at_ + kListDelay) {
      StartCold(upstream, "started", now + service->second.cold_time, now);
    }
    const auto departure = service->second.departures.find(name);
    if (departure != service->second.departures.end() &&
        departure->second.started_at == entry.started_at)
      upstream.leaving_since = departure->second.since;
    const auto pause = service->second.pauses.find(name);
    if (pause != service->second.pauses.end() &&
        pause->second.started_at == entry.started_at)
      upstream.estimate.OnPauseRequested(pause->second.until);
    upstreams.emplace(name, std::move(upstream));
  }
  for (auto& [name, service] : services_)
    ProcessQueue(service, now);
}

void Dispatcher::SetKeyTable(const std::string& service,
                             const KeyTable* table,
                             BootTime now) {
  Service& state = services_[service];
  state.keys = table;
  if (table == nullptr)
    state.rejections.clear();
  ProcessQueue(state, now);
}

void Dispatcher::Submit(DispatchRequest request, BootTime now) {
  Service& service = services_[request.service];
  if (service.owns_keys && request.key && request.tried.empty())
    service.arrived_keys.push_back(*request.key);
  if (TryDispatch(service, request, now))
    return;
  const nanoseconds wait = ExpectedWait(service, request, now);
  const nanoseconds total = request.deadline - request.arrived;
  if (now + wait + MeanLatency(service, now) >
      request.arrived + FromCount(ToCount(total) * kMaxDeadlineShare)) {
    Refuse(service, request, ErrorKind::kNotRunOverloaded, wait, now);
    return;
  }
  service.queue.Add(std::move(request));
}

bool Dispatcher::Cancel(const std::string& service, std::uint64_t id) {
  const auto at = services_.find(service);
  return at != services_.end() && at->second.queue.Remove(id).has_value();
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
      at->second.estimate.in_flight() > 0) {
    at->second.estimate.OnEnded(result, elapsed, request.latency_objective,
                                now);
    if (result == AttemptResult::kAnswered)
      ++at->second.answered;
    // Repeated failures to connect suggest that it is starting again, which the
    // list shows some seconds later.
    if ((result == AttemptResult::kUnreachable ||
         result == AttemptResult::kLost) &&
        at->second.estimate.IsEjected(now)) {
      StartCold(at->second, "unreachable", now + service->second.cold_time,
                now);
    }
    // A response to a request sent before this incarnation was listed is no
    // evidence about it.
    if (result == AttemptResult::kReplaced && !at->second.replaced &&
        now - elapsed >= at->second.listed_since) {
      at->second.replaced = true;
      service->second.replaced.push_back(
          {{upstream_name, at->second.entry.started_at}, now});
    }
  }
  RecordRejection(service->second, request, result, now);
  ProcessQueue(service->second, now);
}

bool Dispatcher::CanWaitUntil(const Service& service,
                              const DispatchRequest& request,
                              BootTime resumes_at,
                              BootTime now) const {
  // A caller that is refused comes back no sooner.
  if (resumes_at <= now + kMinRetryAfter)
    return true;
  return resumes_at + MeanLatency(service, now) <=
         request.arrived + request.latency_objective;
}

void Dispatcher::Tick(BootTime now) {
  for (auto& [name, service] : services_)
    ProcessQueue(service, now);
}

bool Dispatcher::HasWaiting() const {
  return std::ranges::any_of(services_, [](const auto& service) {
    return !service.second.queue.empty();
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
             : at->second.estimate.ExpectedLatency(now);
}

nanoseconds Dispatcher::ExpectedLatency(std::string_view service,
                                        BootTime now) const {
  const auto known = services_.find(service);
  return known == services_.end() ? nanoseconds(0)
                                  : MeanLatency(known->second, now);
}

nanoseconds Dispatcher::RetryAfter(const DispatchRequest& request,
                                   BootTime now) {
  const Service& service = services_[request.service];
  return RetryAfter(service, request, ExpectedWait(service, request, now), now);
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
      if (answered > 0 || upstream.estimate.in_flight() > 0)
        load.upstreams[upstream_name] = {upstream.estimate.in_flight(),
                                         answered};
      // Otherwise the grant leader reads it from the list.
      if (upstream.leaving_since && !upstream.entry.leaving)
        load.leaving.push_back({upstream_name, upstream.entry.started_at});
    }
    for (const DispatchRequest& request : service.queue.requests()) {
      const KeyAssignment* row = service.keys != nullptr && request.key
                                     ? service.keys->Find(*request.key)
                                     : nullptr;
      if (row != nullptr)
        ++load.upstreams[row->owner.name].outstanding;
    }
    std::erase_if(service.replaced, [now](const auto& entry) {
      return now >= entry.second + kReplacedReportTime;
    });
    for (const auto& [incarnation, time] : service.replaced)
      load.replaced.push_back(incarnation);
    if (!load.IsEmpty())
      loads.emplace(name, std::move(load));
  }
  return loads;
}

Dispatcher::Decision Dispatcher::DecideByKey(Service& service,
                                             const DispatchRequest& request,
                                             BootTime now) {
  const KeyAssignment* row =
      service.keys == nullptr ? nullptr : service.keys->Find(*request.key);
  const Choice without_owner =
      IsOutOfReach(service, request) ? Choice::kNoUpstream : Choice::kNoOwner;
  if (row == nullptr || row->moving)
    return {without_owner};
  const auto at = service.upstreams.find(row->owner.name);
  if (at != service.upstreams.end() && !IsAllowedAt(at->second, request))
    return {Choice::kNoUpstream};
  if (at == service.upstreams.end() ||
      !IsUsableFor(service, at->second, request, now) ||
      at->second.entry.started_at != row->owner.started_at)
    return {without_owner};
  const BootTime resumes_at = at->second.ResumesAt(now);
  if (now < resumes_at)
    return {Choice::kPaused, nullptr, resumes_at};
  const auto rejection = service.rejections.find(row->keys.first);
  if (rejection != service.rejections.end()) {
    if (!rejection->second.Concerns(*row)) {
      service.rejections.erase(rejection);
    } else if (now < rejection->second.until) {
      return {Choice::kNoOwner};
    } else {
      // Sends one request as a probe; the others keep waiting.
      rejection->second.until = now + rejection->second.delay;
    }
  }
  if (!at->second.estimate.HasCapacity(now))
    return {Choice::kWait};
  return {Choice::kSend, &at->second};
}

Dispatcher::Decision Dispatcher::Decide(Service& service,
                                        const DispatchRequest& request,
                                        BootTime now) {
  if (now < request.not_before) {
    const BootTime resumes_at = ResumesAt(service, request, now);
    if (resumes_at > request.not_before)
      return {Choice::kPaused, nullptr, resumes_at};
    return {Choice::kWait};
  }
  if (service.owns_keys && request.key)
    return DecideByKey(service, request, now);
  Upstream* best = nullptr;
  double best_cost = 0;
  bool any_usable = false;
  // The lowest expected latency within the region, with or without capacity.
  std::optional<nanoseconds> local_latency;
  std::optional<BootTime> resumes_at;
  // Large responses would fill the link between the regions.
  const bool stays_in_region = StaysInRegion(service, request, now);
  const bool skip_tried =
      !request.tried.empty() &&
      std::ssize(request.tried) <
          std::ranges::count_if(
              service.upstreams,
              [&](const auto& entry) {
                const Upstream& upstream = entry.second;
                return IsAllowedAt(upstream, request) &&
                       !upstream.evacuated_since &&
                       (!stays_in_region || upstream.same_region);
              });
  for (auto& [name, upstream] : service.upstreams) {
    if (!IsUsableFor(service, upstream, request, now) ||
        (stays_in_region && !upstream.same_region))
      continue;
    any_usable = true;
    if (skip_tried &&
        std::ranges::find(request.tried, name) != request.tried.end())
      continue;
    const BootTime upstream_resumes_at = std::max(now, upstream.ResumesAt(now));
    if (!resumes_at || upstream_resumes_at < *resumes_at)
      resumes_at = upstream_resumes_at;
    const nanoseconds latency = upstream.estimate.ExpectedLatency(now);
    const double success_rate =
        std::max(kMinSuccessRate, 1 - upstream.estimate.failure_share());
    const double utilization_factor =
        1 + static_cast<double>(upstream.estimate.in_flight()) /
                std::max<double>(upstream.entry.slots, 1);
    if (upstream.same_region && !upstream.estimate.IsEjected(now)) {
      const nanoseconds time = upstream_resumes_at - now +
                               FromCount(ToCount(latency) / success_rate);
      if (!local_latency || time < *local_latency)
        local_latency = time;
    }
    if (now < upstream_resumes_at || !upstream.estimate.HasCapacity(now))
      continue;
    double cost =
        ToCount(latency) * utilization_factor / (success_rate * success_rate);
    cost *= 1 + kChoiceNoise * Draw();
    if (!upstream.same_region)
      cost += kOtherRegionCost * ToCount(request.latency_objective);
    else if (!upstream.same_zone)
      cost += (request.large_responses ? kOtherZoneCostOfLargeResponse
                                       : kOtherZoneCost) *
              ToCount(request.latency_objective);
    if (best == nullptr || cost < best_cost) {
      best = &upstream;
      best_cost = cost;
    }
  }
  if (!any_usable)
    return {Choice::kNoUpstream};
  if (best == nullptr && resumes_at && now < *resumes_at)
    return {Choice::kPaused, nullptr, *resumes_at};
  if (best == nullptr)
    return {Choice::kWait};
  const bool local_suffices =
      local_latency &&
      now - request.arrived + *local_latency <
          FromCount(ToCount(request.latency_objective) * kMaxLocalShare);
  if (!best->same_region && local_suffices)
    return {Choice::kWait};
  return {Choice::kSend, best};
}

bool Dispatcher::TryDispatch(Service& service,
                             const DispatchRequest& request,
                             BootTime now) {
  const Decision decision = Decide(service, request, now);
  switch (decision.choice) {
    case Choice::kSend:
      if (now >= request.deadline) {
        Refuse(service, request, ErrorKind::kNotRunOverloaded, kMinRetryAfter,
               now);
        return true;
      }
      if (listener_.DropIfObsolete(request))
        return true;
      Send(service, request, *decision.upstream, now);
      return true;
    case Choice::kNoUpstream:
      Refuse(service, request, ErrorKind::kNotRunUnreachable,
             kNoUpstreamRetryAfter, now);
      return true;
    case Choice::kNoOwner: {
      const nanoseconds max_wait =
          std::max(request.latency_objective,
                   FromCount(ToCount(request.deadline - request.arrived) *
                             kOwnerWaitShare));
      if (now < request.arrived + max_wait)
        return false;
      Refuse(service, request, ErrorKind::kNotRunNoOwner, kNoUpstreamRetryAfter,
             now);
      return true;
    }
    case Choice::kPaused:
      if (CanWaitUntil(service, request, decision.resumes_at, now))
        break;
      Refuse(service, request, ErrorKind::kNotRunOverloaded,
             ExpectedWait(service, request, now), now);
      return true;
    case Choice::kWait:
      break;
  }
  if (now + kDefaultLatency / 2 < request.deadline)
    return false;
  Refuse(service, request, ErrorKind::kNotRunOverloaded,
         ExpectedWait(service, request, now), now);
  return true;
}

void Dispatcher::ProcessQueue(Service& service, BootTime now) {
  if (service.queue.empty())
    return;
  service.queue.Visit(now, MeanLatency(service, now),
                      [&](const DispatchRequest& request) {
                        return TryDispatch(service, request, now);
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
    for (const DispatchRequest& other : service.queue.requests()) {
      if (other.priority <= request.priority && other.key &&
          row->keys.Contains(*other.key))
        ++ahead;
    }
    const UpstreamEstimate& estimate = at->second.estimate;
    const nanoseconds pause = std::max<nanoseconds>(
        std::max(estimate.paused_until(), at->second.cold.NextPermit(now)) -
            now,
        nanoseconds(0));
    return pause + FromCount(ToCount(estimate.ExpectedInterval(now)) *
                             static_cast<double>(ahead));
  }
  // Whether the other regions serve the requests of this one, because its zones
  // are evacuated.
  bool is_evacuated = false;
  for (const auto& [name, upstream] : service.upstreams) {
    if (!upstream.same_region)
      continue;
    is_evacuated = upstream.evacuated_since.has_value();
    if (!is_evacuated)
      break;
  }
  for (const auto& [name, upstream] : service.upstreams) {
    // A request with allowed regions has only these, near or far.
    const bool is_candidate = request.allowed_regions
                                  ? IsAllowedAt(upstream, request)
                                  : upstream.same_region || is_evacuated;
    if (upstream.IsUsable() && is_candidate &&
        !upstream.estimate.IsEjected(now) && now >= upstream.ResumesAt(now))
      capacity += upstream.estimate.limit();
  }
  ahead = service.queue.CountUrgent(request.priority);
  const nanoseconds pause = ResumesAt(service, request, now) - now;
  return pause +
         FromCount(ToCount(MeanLatency(service, now)) *
                   static_cast<double>(ahead) / std::max(1.0, capacity));
}

nanoseconds Dispatcher::MeanLatency(const Service& service,
                                    BootTime now) const {
  double sum = 0;
  int count = 0;
  for (const auto& [name, upstream] : service.upstreams) {
    if (!upstream.IsUsable() || upstream.estimate.IsEjected(now))
      continue;
    sum += ToCount(upstream.estimate.ExpectedLatency(now));
    ++count;
  }
  return count == 0 ? kDefaultLatency : FromCount(sum / count);
}

void Dispatcher::Refuse(const Service& service,
                        const DispatchRequest& request,
                        ErrorKind kind,
                        nanoseconds wait,
                        BootTime now) {
  listener_.OnRefuse(request, kind, RetryAfter(service, request, wait, now));
}

nanoseconds Dispatcher::RetryAfter(const Service& service,
                                   const DispatchRequest& request,
                                   nanoseconds wait,
                                   BootTime now) {
  const double jitter = Draw();
  const auto retry_after =
      std::clamp<nanoseconds>(FromCount(ToCount(wait) * (0.75 + 0.5 * jitter)),
                              kMinRetryAfter, kMaxRetryAfter);
  // Other instances may know that the upstreams are not cold.
  if (LacksContact(now))
    return std::min<nanoseconds>(retry_after, kNoUpstreamRetryAfter);
  // Before the end of a requested pause, the caller would be refused again.
  const nanoseconds pause = ResumesAt(service, request, now) - now;
  return std::max(retry_after, FromCount(ToCount(pause) * (1 + 0.25 * jitter)));
}

}  // namespace pollenrudder
