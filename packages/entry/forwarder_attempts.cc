// Forwarder: sends requests to upstreams, and decides what follows from how
// each attempt ended.

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_connection.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"
#include "entry/forwarder.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Maximum sends of one request, including several to one upstream.
constexpr std::uint32_t kMaxSends = 4;
// Delay before a request is retried at the owner of its key: the time in which
// a slot becomes free or an update with a new owner arrives.
constexpr milliseconds kOwnerRetryDelay{40};

std::string_view Name(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kErrorResponse:
      return "failed_answer";
    case AttemptResult::kShed:
      return "shed";
    case AttemptResult::kMisrouted:
      return "misrouted";
    case AttemptResult::kReplaced:
      return "replaced";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kLost:
      return "lost";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kCanceled:
      return "abandoned";
    case AttemptResult::kOutpaced:
      return "outpaced";
  }
  return "unknown";
}

}  // namespace

void Forwarder::OnSend(const DispatchRequest& dispatch,
                       const ListedUpstream& upstream,
                       bool needs_confirmation) {
  const auto it = requests_.find(dispatch.id);
  assert(it != requests_.end());
  const BootTime now = BootClock::now();
  StartAttempt(it->second, upstream, /*is_hedge=*/false, needs_confirmation,
               now);
  ArmHedgeTimer(it->second, now);
}

void Forwarder::StartAttempt(ActiveRequest& request,
                             const ListedUpstream& upstream,
                             bool is_hedge,
                             bool needs_confirmation,
                             BootTime now) {
  const std::uint32_t number = ++request.attempt_count;
  const std::shared_ptr<HttpClient> client =
      PoolOf(upstream).Take(request.repeatable, request.former_clients, now);
  request.attempts.push_back(
      {number, upstream, client, now, is_hedge, needs_confirmation});
  ArmTimer(request, now);
  const Attempt& attempt = request.attempts.back();
  if (needs_confirmation) {
    ConfirmAttempt(request, attempt);
    return;
  }
  RecordSend(request, upstream);
  SendAttempt(request, attempt);
}

void Forwarder::RecordSend(ActiveRequest& request,
                           const ListedUpstream& upstream) {
  ++request.sends;
  auto& tried = request.dispatch.tried;
  if (std::ranges::find(tried, upstream.name) == tried.end())
    tried.push_back(upstream.name);
}

void Forwarder::SendAttempt(ActiveRequest& request, const Attempt& attempt) {
  const DispatchRequest& dispatch = request.dispatch;
  const std::uint32_t number = attempt.number;
  const nanoseconds left = std::max<nanoseconds>(
      dispatch.deadline - attempt.sent_at, milliseconds(1));
  HttpClient::CallOptions options;
  options.timeout = left + kResponseGrace * 2;
  options.connect_timeout = kConnectTimeout;
  options.head_request = request.received->message.method == "HEAD";
  options.close_delimited = CloseDelimited::kAccept;
  options.response_budget = &response_budget_;
  options.memory = memory_;
  options.body = {request.received, &request.received->message.body};
  options.may_send = [this, id = dispatch.id, number] {
    return MayStillSend(id, number);
  };
  options.match = [this, id = request.request_id,
                   upstream =
                       attempt.upstream.name](const HttpResponse& response) {
    const ResponseMatch match = protocol_.MatchResponse(response, id);
    // A late copy of the response to a health request.
    if (match == ResponseMatch::kUnidentified &&
        protocol_.MatchHealthResponse(response, upstream) ==
            ResponseMatch::kOwn &&
        protocol_.Classify(response, upstream) == ResponseKind::kUnrecognized)
      return ResponseMatch::kOther;
    return match;
  };
  // Nothing could tell a late copy of the response to a request without an id
  // from the next response.
  options.ends_when_unidentified = request.request_id.empty();
  attempt.client->Call(protocol_.FormatHeadForUpstream(
                           request.received->message, attempt.upstream, left),
                       std::move(options),
                       [this, id = dispatch.id, number](
                           HttpCallResult result, HttpResponse& response) {
                         OnAttemptEnded(id, number, result, response);
                       });
}

bool Forwarder::MayStillSend(std::uint64_t id, std::uint32_t number) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return false;
  ActiveRequest& request = it->second;
  const auto attempt =
      std::ranges::find(request.attempts, number, &Attempt::number);
  if (attempt == request.attempts.end())
    return false;
  const auto caller = request.caller.lock();
  const BootTime now = BootClock::now();
  if (!caller || caller->HasPeerClosed() || now >= request.dispatch.deadline ||
      QuarantineLeft(request, now) ||
      dispatcher_.HasBecomeCold(attempt->upstream, attempt->sent_at, now))
    return false;
  if (!attempt->is_hedge)
    return dispatcher_.MaySendTo(request.dispatch, attempt->upstream, now);
  return !request.attempts.front().client->IsReceiving() &&
         !IsCrashSuspect(request, now) &&
         dispatcher_.MaySendHedgeTo(request.dispatch, attempt->upstream, now);
}

AttemptResult Forwarder::ClassifyAttempt(HttpCallResult result,
                                         const HttpResponse& response,
                                         const std::string& upstream) const {
  switch (result) {
    case HttpCallResult::kRefused:
    case HttpCallResult::kNotConnected:
      return AttemptResult::kUnreachable;
    case HttpCallResult::kNotSent:
      return AttemptResult::kNotSent;
    case HttpCallResult::kConnectionLost:
    case HttpCallResult::kInvalidResponse:
      return AttemptResult::kLost;
    case HttpCallResult::kTimedOut:
      return AttemptResult::kTimedOut;
    case HttpCallResult::kAnswered:
      break;
  }
  switch (protocol_.Classify(response, upstream)) {
    case ResponseKind::kSuccess:
      return AttemptResult::kAnswered;
    case ResponseKind::kFailure:
      return AttemptResult::kErrorResponse;
    case ResponseKind::kNotRunAtCapacity:
      return AttemptResult::kShed;
    case ResponseKind::kNotRunWrongUpstream:
      return AttemptResult::kMisrouted;
    case ResponseKind::kNotRunReplaced:
      return AttemptResult::kReplaced;
    case ResponseKind::kUnrecognized:
      return AttemptResult::kLost;
  }
  return AttemptResult::kLost;
}

bool Forwarder::IsIdentified(const ActiveRequest& request,
                             const HttpResponse& response) const {
  return request.request_id.empty() ||
         protocol_.MatchResponse(response, request.request_id) ==
             ResponseMatch::kOwn;
}

void Forwarder::OnAttemptEnded(std::uint64_t id,
                               std::uint32_t number,
                               HttpCallResult call_result,
                               HttpResponse& response) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  ActiveRequest& request = it->second;
  const auto ended =
      std::ranges::find(request.attempts, number, &Attempt::number);
  if (ended == request.attempts.end())
    return;
  const Attempt attempt = std::move(*ended);
  request.attempts.erase(ended);
  const BootTime now = BootClock::now();
  const ListedUpstream& upstream = attempt.upstream;
  AttemptResult result = ClassifyAttempt(call_result, response, upstream.name);
  // Without an id, the rejection may be a late copy of that of another request.
  if (!request.repeatable && call_result == HttpCallResult::kAnswered &&
      ProvesNotRun(result) && !IsIdentified(request, response))
    result = AttemptResult::kLost;
  request.may_have_run |= !ProvesNotRun(result);
  const auto pool = pools_.find(upstream.name);
  if (pool != pools_.end() && pool->second.upstream.SameIncarnation(upstream) &&
      result != AttemptResult::kLost)
    pool->second.clients->Return(attempt.client);
  const bool may_crash_upstreams =
      ReportToCrashGuard(request, attempt, result, now);
  ReportToHedgePolicy(request, attempt, result, now);
  const nanoseconds elapsed = now - attempt.sent_at;
  metrics_.Count("entry_attempts_total",
                 "result=\"" + std::string(Name(result)) + '"');
  const DispatchRequest dispatch = request.dispatch;

  // Before a retry, which must not go to this upstream.
  if (call_result == HttpCallResult::kAnswered &&
      result != AttemptResult::kLost)
    ApplyNotice(dispatch.service, upstream,
                protocol_.ParseNotice(response, upstream.name), now);

  const bool is_final = result == AttemptResult::kAnswered ||
                        (result == AttemptResult::kErrorResponse &&
                         (!request.repeatable || response.status < 500));
  std::vector<Attempt> outpaced;
  if (!is_final && !request.attempts.empty()) {
    // The other attempt decides.
    request.former_clients.push_back(attempt.client);
    ArmTimer(request, now);
  } else if (!is_final && !may_crash_upstreams &&
             TryConsumeRetry(request, result, now)) {
    request.former_clients.push_back(attempt.client);
    Retry(request, upstream, result, now);
  } else if (is_final || result == AttemptResult::kErrorResponse) {
    outpaced = std::exchange(request.attempts, {});
    for (const Attempt& other : outpaced)
      ReportToHedgePolicy(request, other, AttemptResult::kOutpaced, now);
    Deliver(it, attempt, response);
  } else if (!request.may_have_run) {
    Fail(it,
         result == AttemptResult::kUnreachable ||
                 result == AttemptResult::kNotSent
             ? ErrorKind::kNotRunUnreachable
         : result == AttemptResult::kMisrouted ? ErrorKind::kNotRunMoved
                                               : ErrorKind::kNotRunOverloaded,
         dispatcher_.RetryAfter(dispatch, now));
  } else {
    Fail(it,
         result == AttemptResult::kTimedOut ? ErrorKind::kUnknownDeadline
         : call_result == HttpCallResult::kInvalidResponse
             ? ErrorKind::kUnknownAnswerDamaged
             : ErrorKind::kUnknownUpstreamLost,
         nanoseconds(0));
  }
  // The connection of the slower attempt is closed before anything else is
  // sent.
  AbortAttempts(outpaced, dispatch, AttemptResult::kOutpaced, now);
  dispatcher_.OnEnded(dispatch, upstream.name, result, elapsed, now);
  ScheduleTick();
}

void Forwarder::ApplyNotice(const std::string& service,
                            const ListedUpstream& upstream,
                            const UpstreamNotice& notice,
                            BootTime now) {
  if (notice.leaving &&
      dispatcher_.OnLeavingAnnounced(service, upstream, now)) {
    metrics_.Count("entry_leaving_announced_total",
                   "service=\"" + service + '"');
    EventLog::WriteLazily(kLeavingAnnounced, [&] {
      return std::vector<LogField>{{"upstream", upstream.name},
                                   {"service", service},
                                   {"listed_leaving", upstream.leaving}};
    });
  }
  if (!notice.pause)
    return;
  dispatcher_.OnPauseRequested(service, upstream, *notice.pause, now);
  metrics_.Count("entry_pauses_requested_total", "service=\"" + service + '"');
  EventLog::WriteLazily(kPauseRequested, [&] {
    return std::vector<LogField>{{"upstream", upstream.name},
                                 {"service", service},
                                 {"pause_ms", Milliseconds(*notice.pause)}};
  });
}

bool Forwarder::TryConsumeRetry(ActiveRequest& request,
                                AttemptResult result,
                                BootTime now) {
  if (!request.repeatable && request.may_have_run)
    return false;
  if (request.caller.expired() || request.sends >= kMaxSends)
    return false;
  const nanoseconds left = request.dispatch.deadline - now;
  if (left < kOwnerRetryDelay * 2)
    return false;
  // The owner of a key is the only candidate, so the number of upstreams tried
  // does not grow.
  const bool has_single_owner =
      request.dispatch.key.has_value() && configuration_ &&
      configuration_->PolicyOf(request.dispatch.service).owns_keys;
  if (!has_single_owner &&
      request.dispatch.tried.size() >= request.max_attempts)
    return false;
  if (has_single_owner && request.dispatch.tried.size() > request.max_attempts)
    return false;
  if (dispatcher_.IsRefusedForPause(request.dispatch, now))
    return false;
  // The attempt did not reach an upstream, so the next one needs no retry
  // budget.
  if (result == AttemptResult::kUnreachable ||
      result == AttemptResult::kNotSent)
    return true;
  return RetryBudgetOf(request.dispatch.service).TryConsumeRetry(now);
}

void Forwarder::Retry(ActiveRequest& request,
                      const ListedUpstream& upstream,
                      AttemptResult result,
                      BootTime now) {
  metrics_.Count("entry_resends_total",
                 "reason=\"" + std::string(Name(result)) + '"');
  EventLog::WriteLazily(kRequestRetried, [&] {
    return std::vector<LogField>{
        {"request", request.request_id},
        {"reason", Name(result)},
        {"upstream", upstream.name},
        {"sends", request.sends},
        {"after_ms", Milliseconds(now - request.dispatch.arrived)}};
  });
  DispatchRequest& dispatch = request.dispatch;
  dispatch.not_before = dispatch.key ? now + kOwnerRetryDelay : now;
  ArmTimer(request, now);
  dispatcher_.Submit(dispatch, now);
}

void Forwarder::AbortAttempts(const std::vector<Attempt>& attempts,
                              const DispatchRequest& dispatch,
                              AttemptResult result,
                              BootTime now) {
  for (const Attempt& attempt : attempts)
    attempt.client->Abort();
  for (const Attempt& attempt : attempts) {
    if (result == AttemptResult::kOutpaced) {
      metrics_.Count("entry_attempts_total",
                     "result=\"" + std::string(Name(result)) + '"');
    }
    dispatcher_.OnEnded(dispatch, attempt.upstream.name, result,
                        now - attempt.sent_at, now);
  }
}

}  // namespace pollenrudder
