// Forwarder: second sends of requests whose first has had no response for a
// while.

#include <algorithm>
#include <optional>

#include "base/event_log.h"
#include "entry/caller_connection.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"
#include "entry/forwarder.h"

namespace pollenrudder {

using std::chrono::nanoseconds;

HedgePolicy* Forwarder::HedgePolicyOf(const std::string& service) {
  if (options_.hedge_share <= 0)
    return nullptr;
  return &hedge_policies_.try_emplace(service, options_.hedge_share)
              .first->second;
}

bool Forwarder::IsHedgeable(const ActiveRequest& request) const {
  if (!request.repeatable || request.max_attempts < 2 || !configuration_)
    return false;
  return !request.dispatch.key ||
         !configuration_->PolicyOf(request.dispatch.service).owns_keys;
}

void Forwarder::ArmHedgeTimer(ActiveRequest& request, BootTime now) {
  // A retry has used its part of the retry budget already.
  if (request.sends != 1 || request.attempt_count != 1 || !IsHedgeable(request))
    return;
  HedgePolicy* policy = HedgePolicyOf(request.dispatch.service);
  if (policy == nullptr)
    return;
  const std::optional<nanoseconds> delay = policy->Delay(now);
  if (!delay || now + *delay >= request.dispatch.deadline)
    return;
  request.hedge_timer =
      std::make_unique<boost::asio::steady_timer>(io_, *delay);
  request.hedge_timer->async_wait(
      [this, id = request.dispatch.id](boost::system::error_code error) {
        if (!error)
          TryHedge(id);
      });
}

void Forwarder::TryHedge(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  ActiveRequest& request = it->second;
  const DispatchRequest& dispatch = request.dispatch;
  // The first send has failed, or was retried.
  if (request.sends != 1 || request.attempt_count != 1 ||
      request.attempts.size() != 1)
    return;
  const Attempt& first = request.attempts.front();
  const BootTime now = BootClock::now();
  const auto caller = request.caller.lock();
  const nanoseconds expected =
      dispatcher_.ExpectedLatency(dispatch.service, now);
  if (first.client->IsReceiving() || !caller || caller->HasPeerClosed() ||
      dispatch.tried.size() >= request.max_attempts ||
      now + expected >= dispatch.deadline || !CanEndBeforeStop(request, now) ||
      QuarantineLeft(request, now) || IsCrashSuspect(request, now))
    return;
  HedgePolicy& policy = *HedgePolicyOf(dispatch.service);
  RetryBudgetShare& retry_budget = RetryBudgetOf(dispatch.service);
  if (!policy.HasCapacity(now) || !retry_budget.HasCapacity(now))
    return;
  const std::optional<ListedUpstream> upstream =
      dispatcher_.TrySendHedge(dispatch, now);
  if (!upstream)
    return;
  policy.RecordHedge(now);
  retry_budget.TryConsumeRetry(now);
  metrics_.Count("entry_hedges_total", "service=\"" + dispatch.service + '"');
  metrics_.Count("entry_resends_total", "reason=\"hedge\"");
  EventLog::WriteLazily(kRequestHedged, [&] {
    return std::vector<LogField>{
        {"request", request.request_id},
        {"service", dispatch.service},
        {"first", first.upstream.name},
        {"upstream", upstream->name},
        {"after_ms", Milliseconds(now - first.sent_at)}};
  });
  StartAttempt(request, *upstream, /*is_hedge=*/true,
               /*needs_confirmation=*/false, now);
}

void Forwarder::ReportToHedgePolicy(const ActiveRequest& request,
                                    const Attempt& attempt,
                                    AttemptResult result,
                                    BootTime now) {
  const std::string& service = request.dispatch.service;
  HedgePolicy* policy = HedgePolicyOf(service);
  if (policy == nullptr)
    return;
  const bool was_suspended = policy->is_suspended();
  switch (result) {
    case AttemptResult::kAnswered:
    case AttemptResult::kOutpaced:
      if (!attempt.is_hedge && IsHedgeable(request))
        policy->RecordLatency(now - attempt.sent_at, now);
      if (attempt.is_hedge && result == AttemptResult::kAnswered)
        metrics_.Count("entry_hedges_won_total", "service=\"" + service + '"');
      break;
    case AttemptResult::kShed:
    case AttemptResult::kTimedOut:
      policy->RecordRejection(now);
      break;
    case AttemptResult::kErrorResponse:
    case AttemptResult::kMisrouted:
    case AttemptResult::kReplaced:
    case AttemptResult::kUnreachable:
    case AttemptResult::kNotSent:
    case AttemptResult::kLost:
    case AttemptResult::kCanceled:
      break;
  }
  if (policy->is_suspended() == was_suspended)
    return;
  metrics_.Count("entry_hedging_changes_total",
                 was_suspended ? "state=\"resumed\"" : "state=\"suspended\"");
  EventLog::WriteLazily(was_suspended ? kHedgingResumed : kHedgingSuspended,
                        [&] {
                          return std::vector<LogField>{{"service", service}};
                        });
}

}  // namespace pollenrudder
