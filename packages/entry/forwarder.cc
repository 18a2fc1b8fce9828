// Forwarder: routing, timeouts and the planned stop. forwarder_attempts.cc has
// the attempts of a request.

#include "entry/forwarder.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "entry/caller_connection.h"
#include "entry/crash_guard.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Interval of Dispatcher::Tick() while requests wait.
constexpr milliseconds kTickInterval{10};
// Timeout of requests whose caller sends none.
constexpr std::chrono::seconds kDefaultTimeout{30};
// A repeatable request without a response is retried at another upstream after
// this share of the remaining time; before that, the upstream is probably still
// processing it.
constexpr double kAttemptTimeoutShare = 0.6;
constexpr milliseconds kDefaultRetryAfter{500};
// During a planned stop, a request is sent only if this time is left until the
// abort, and this many times the usual latency of its service.
constexpr milliseconds kMinTimeBeforeStop{600};
constexpr int kLatenciesBeforeStop = 3;

}  // namespace

Forwarder::Forwarder(boost::asio::io_context& io,
                     const UpstreamProtocol& protocol,
                     Metrics& metrics,
                     std::shared_ptr<MemoryAccount> memory,
                     CrashGuard& crash_guard,
                     Options options)
    : io_(io),
      protocol_(protocol),
      metrics_(metrics),
      memory_(std::move(memory)),
      crash_guard_(crash_guard),
      options_(std::move(options)),
      dispatcher_(options_.dispatch, *this),
      response_budget_(options_.response_bytes),
      started_(BootClock::now()),
      tick_timer_(io),
      random_(options_.dispatch.seed) {}

Forwarder::~Forwarder() {
  for (auto& [id, request] : requests_) {
    for (const Attempt& attempt : request.attempts)
      attempt.client->Abort();
  }
}

void Forwarder::SetConfiguration(
    std::shared_ptr<const RouterConfiguration> configuration,
    const Fleet& fleet,
    std::uint32_t instances) {
  configuration_ = std::move(configuration);
  SetFleet(fleet, instances);
}

void Forwarder::SetFleet(const Fleet& fleet, std::uint32_t instances) {
  instances_ = instances;
  crash_guard_.OnFleet(fleet, instances);
  for (auto& [service, retry_budget] : retry_budgets_)
    retry_budget.set_slack(options_.retry_slack / instances_);
  std::erase_if(pools_, [&](const auto& pool) {
    const ListedUpstream* entry = fleet.Find(pool.first);
    return entry == nullptr || !entry->SameIncarnation(pool.second.upstream);
  });
  if (configuration_)
    dispatcher_.SetFleet(fleet, *configuration_, instances, BootClock::now());
}

void Forwarder::SetKeyTable(const std::string& service, const KeyTable* table) {
  dispatcher_.SetKeyTable(service, table, BootClock::now());
}

RetryBudgetShare& Forwarder::RetryBudgetOf(const std::string& service) {
  const RetryBudgetShare::Options options{options_.retry_ratio,
                                          options_.retry_slack / instances_,
                                          options_.retry_window};
  return retry_budgets_.try_emplace(service, options, started_).first->second;
}

HttpClientPool& Forwarder::PoolOf(const ListedUpstream& upstream) {
  Pool& pool = pools_[upstream.name];
  if (!pool.clients || !pool.upstream.SameIncarnation(upstream)) {
    pool.upstream = upstream;
    pool.clients =
        std::make_unique<HttpClientPool>(io_, EndpointOf(upstream.address));
  }
  return *pool.clients;
}

void Forwarder::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                          std::uint64_t sequence,
                          std::shared_ptr<const ReceivedRequest> received) {
  const BootTime now = BootClock::now();
  const HttpRequest& message = received->message;
  const CallerFields fields = protocol_.ParseCallerFields(message);
  const auto refuse = [&](ErrorKind kind, nanoseconds retry_after) {
    metrics_.Count("entry_requests_refused_total",
                   "kind=\"" + std::string(DescribeError(kind).name) + '"');
    EventLog::WriteLazily(kRequestRefused, [&] {
      return std::vector<LogField>{
          {"request", fields.request_id},
          {"kind", DescribeError(kind).name},
          {"plan", configuration_ ? configuration_->version : 0},
          {"host", FindHeader(message.header_lines, "Host").value_or("")},
          {"path", PathOf(message.target)}};
    });
    caller->SendResponse(
        sequence, MakeErrorResponse(kind, fields.request_id, retry_after),
        /*close=*/false);
  };
  if (!configuration_) {
    refuse(ErrorKind::kNotRunNoConfiguration, kDefaultRetryAfter);
    return;
  }
  const auto host = FindHeader(message.header_lines, "Host");
  const Route* route = configuration_->FindRoute(
      host.value_or(std::string_view()), PathOf(message.target));
  if (route == nullptr) {
    refuse(ErrorKind::kUnknownService, nanoseconds(0));
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const std::uint64_t id = next_id_++;
  ActiveRequest& request = requests_[id];
  request.caller = caller;
  request.sequence = sequence;
  request.received = std::move(received);
  request.request_id = fields.request_id;
  request.route = route->name;
  request.configuration_version = configuration_->version;
  request.repeatable = route->repeatable;
  request.max_attempts = route->max_attempts;
  if (const auto left = CrashRefusalLeft(request, now)) {
    request.dispatch.arrived = now;
    Fail(requests_.find(id), ErrorKind::kNotRunCrashesUpstreams, *left);
    return;
  }
  DispatchRequest& dispatch = request.dispatch;
  dispatch.id = id;
  dispatch.service = route->ServiceFor(draw(random_));
  dispatch.key = fields.key;
  dispatch.priority = route->priority;
  dispatch.allowed_regions = route->allowed_regions;
  dispatch.large_responses = route->large_responses;
  dispatch.arrived = now;
  dispatch.latency_objective = route->latency_objective;
  const nanoseconds timeout = fields.timeout.value_or(kDefaultTimeout);
  dispatch.deadline = now + std::min(timeout, route->timeout);
  RetryBudgetOf(dispatch.service).RecordRequest(now);
  if (HedgePolicy* policy = HedgePolicyOf(dispatch.service))
    policy->RecordRequest(now);
  request.timer = std::make_unique<boost::asio::steady_timer>(io_);
  ArmTimer(request, now);
  dispatcher_.Submit(dispatch, now);
  ScheduleTick();
}

void Forwarder::OnCallerDisconnected(
    const std::shared_ptr<CallerConnection>& caller) {
  const BootTime now = BootClock::now();
  for (auto it = requests_.begin(); it != requests_.end();) {
    ActiveRequest& request = it->second;
    if (request.caller.lock() != caller) {
      ++it;
      continue;
    }
    request.caller.reset();
    // A request that is not repeatable is left to finish: aborting it would
    // leave its outcome unknown.
    if (!request.attempts.empty() && !request.repeatable) {
      ++it;
      continue;
    }
    RecordAbandoned(request, now);
    const DispatchRequest dispatch = request.dispatch;
    const std::vector<Attempt> attempts = std::move(request.attempts);
    dispatcher_.Cancel(dispatch.service, it->first);
    it = requests_.erase(it);
    if (!attempts.empty()) {
      // Requests sent by this call are added at the end of the map or change
      // entries in place, so iterators stay valid.
      AbortAttempts(attempts, dispatch, AttemptResult::kCanceled, now);
      it = requests_.begin();
    }
  }
}

bool Forwarder::DropIfObsolete(const DispatchRequest& dispatch) {
  const auto it = requests_.find(dispatch.id);
  assert(it != requests_.end());
  // An instance that is short of processor time may read a request and the end
  // of its connection together, and finds the end only after the request.
  const auto caller = it->second.caller.lock();
  const BootTime now = BootClock::now();
  if (caller && !caller->HasPeerClosed()) {
    if (const auto left = CrashRefusalLeft(it->second, now)) {
      OnRefuse(dispatch, ErrorKind::kNotRunCrashesUpstreams, *left);
      return true;
    }
    if (it->second.may_have_run || CanEndBeforeStop(it->second, now)) {
      RecordCrashTrial(it->second, now);
      return false;
    }
    Fail(it, ErrorKind::kNotRunShuttingDown, kDefaultRetryAfter);
    return true;
  }
  RecordAbandoned(it->second, now);
  requests_.erase(it);
  return true;
}

void Forwarder::ArmTimer(ActiveRequest& request, BootTime now) {
  BootTime expires_at = request.dispatch.deadline + kResponseGrace;
  // While two attempts are in progress, the request has its other upstream.
  const bool may_try_other_upstream =
      request.repeatable && !request.dispatch.key &&
      request.attempts.size() == 1 &&
      request.dispatch.tried.size() < request.max_attempts;
  if (may_try_other_upstream) {
    const BootTime sent_at = request.attempts.front().sent_at;
    const auto total =
        static_cast<double>((request.dispatch.deadline - sent_at).count());
    expires_at =
        std::min(expires_at, sent_at + nanoseconds(static_cast<std::int64_t>(
                                           total * kAttemptTimeoutShare)));
  }
  request.timer->expires_after(std::max(expires_at - now, nanoseconds(0)));
  request.timer->async_wait(
      [this, id = request.dispatch.id](boost::system::error_code error) {
        if (!error)
          OnTimer(id);
      });
}

void Forwarder::OnTimer(std::uint64_t id) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  const BootTime now = BootClock::now();
  ActiveRequest& request = it->second;
  if (now < request.dispatch.deadline) {
    if (request.attempts.size() == 1 &&
        !request.attempts.front().is_confirming &&
        TryConsumeRetry(request, AttemptResult::kTimedOut, now)) {
      ReportToHedgePolicy(request, request.attempts.front(),
                          AttemptResult::kTimedOut, now);
      request.may_have_run = true;
      const std::vector<Attempt> attempts = std::exchange(request.attempts, {});
      AbortAttempts(attempts, request.dispatch, AttemptResult::kTimedOut, now);
      Retry(request, attempts.front().upstream, AttemptResult::kTimedOut, now);
      ScheduleTick();
      return;
    }
    request.timer->expires_after(request.dispatch.deadline + kResponseGrace -
                                 now);
    request.timer->async_wait([this, id](boost::system::error_code error) {
      if (!error)
        OnTimer(id);
    });
    return;
  }
  dispatcher_.Cancel(request.dispatch.service, id);
  if (!request.attempts.empty()) {
    const bool is_sent = !request.attempts.front().is_confirming;
    const AttemptResult result =
        is_sent ? AttemptResult::kTimedOut : AttemptResult::kNotSent;
    ReportToHedgePolicy(request, request.attempts.front(), result, now);
    request.may_have_run |= is_sent;
    AbortAttempts(std::exchange(request.attempts, {}), request.dispatch, result,
                  now);
  }
  it = requests_.find(id);
  Fail(it,
       it->second.may_have_run ? ErrorKind::kUnknownDeadline
                               : ErrorKind::kNotRunOverloaded,
       nanoseconds(0));
  ScheduleTick();
}

bool Forwarder::CanEndBeforeStop(const ActiveRequest& request,
                                 BootTime now) const {
  const DispatchRequest& dispatch = request.dispatch;
  const nanoseconds needed = std::max<nanoseconds>(
      kMinTimeBeforeStop, dispatcher_.ExpectedLatency(dispatch.service, now) *
                              kLatenciesBeforeStop);
  return now + std::min(needed, dispatch.deadline - now) <= stops_at_;
}

void Forwarder::StopBy(BootTime time) {
  stops_at_ = time;
  const BootTime now = BootClock::now();
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, request] : requests_) {
    if (request.attempts.empty() && !request.may_have_run &&
        !CanEndBeforeStop(request, now))
      waiting.push_back(id);
  }
  for (const std::uint64_t id : waiting) {
    const auto it = requests_.find(id);
    if (it == requests_.end())
      continue;
    dispatcher_.Cancel(it->second.dispatch.service, id);
    Fail(it, ErrorKind::kNotRunShuttingDown, kDefaultRetryAfter);
  }
}

void Forwarder::AbortInFlight() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : requests_)
    ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const auto it = requests_.find(id);
    if (it == requests_.end())
      continue;
    const std::vector<Attempt> attempts =
        std::exchange(it->second.attempts, {});
    for (const Attempt& attempt : attempts)
      attempt.client->Abort();
    if (attempts.empty())
      dispatcher_.Cancel(it->second.dispatch.service, id);
    const bool is_confirming =
        !attempts.empty() && attempts.front().is_confirming;
    if (is_confirming && !it->second.may_have_run)
      Fail(it, ErrorKind::kNotRunShuttingDown, kDefaultRetryAfter);
    else
      Fail(it, ErrorKind::kUnknownUpstreamLost, nanoseconds(0));
  }
}

void Forwarder::CloseIdleConnections() {
  const BootTime now = BootClock::now();
  for (auto& [name, pool] : pools_)
    pool.clients->CloseIdle(now);
}

void Forwarder::ScheduleTick() {
  if (tick_pending_ || !dispatcher_.HasWaiting())
    return;
  tick_pending_ = true;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    tick_pending_ = false;
    if (error)
      return;
    dispatcher_.Tick(BootClock::now());
    ScheduleTick();
  });
}

}  // namespace pollenrudder
