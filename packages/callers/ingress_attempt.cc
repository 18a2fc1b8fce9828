// IngressRequest: attempts at an upstream, their results and retries.

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>

#include "base/event_log.h"
#include "callers/error_response.h"
#include "callers/forwarded_request.h"
#include "callers/ingress_request.h"
#include "callers/issued_ids_response.h"
#include "routing/routing_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// A leader responds by the deadline. If no response has arrived after this
// additional time, the response or the leader is assumed lost.
constexpr milliseconds kForwardResponseGrace{50};
// The retry delay of a request that was not run is uniformly distributed in
// (0, min(kInitialRetryDelay << attempts, kMaxRetryDelay)]. The maximum is
// short compared with the duration of a shard move, so that the delay adds
// little to the latency of a request that waits for a move.
constexpr milliseconds kInitialRetryDelay{5};
constexpr milliseconds kMaxRetryDelay{100};
constexpr std::uint32_t kMaxDoublings = 5;

// Returns whether a later attempt may succeed.
bool IsWorthRetrying(ErrorKind error) {
  switch (error) {
    case ErrorKind::kNotRunNoOwner:
    case ErrorKind::kNotRunMoved:
    case ErrorKind::kNotRunNoLease:
    case ErrorKind::kNotRunUnreachable:
    case ErrorKind::kNotRunShuttingDown:
    case ErrorKind::kNotRunFenced:
      return true;
    default:
      return false;
  }
}

}  // namespace

void IngressRequest::StartAttempt() {
  ingress_.view().Refresh();
  ingress_.RemoveTimedRequest(shared_from_this());
  const RoutedService* const service =
      ingress_.view().table()->FindService(service_);
  if (!service) {
    OnError(ErrorKind::kUnknownService);
    return;
  }
  ++attempts_;
  selected_by_load_ = false;
  const RoutedUpstream* const upstream = ChooseUpstream(*service);
  if (!upstream || upstream->leader.empty()) {
    selected_by_load_ = false;
    OnResult(ErrorKind::kNotRunNoOwner, {});
    return;
  }
  upstream_ = upstream->name;
  attempt_started_ = BootClock::now();
  EventLog::WriteLazily(kRequestRouted, [&] {
    return std::vector<LogField>{
        {"service", service_},
        {"shard", shard_ ? std::to_string(*shard_) : "-"},
        {"upstream", upstream_},
        {"epoch", EpochOf(*service, *upstream)},
        {"leader", upstream->leader},
        {"table", ingress_.view().table()->offset},
        {"attempt", attempts_}};
  });
  if (selected_by_load_)
    service_state_->chooser.OnSent(upstream_, attempt_started_);
  if (upstream->leader == ingress_.context().instance)
    SendLocally(*service, *upstream);
  else
    Forward(*upstream);
}

const RoutedUpstream* IngressRequest::ChooseUpstream(
    const RoutedService& service) {
  if (request_id_)
    return ingress_.view().FindUpstream(request_id_->upstream);
  const RoutingTable& table = *ingress_.view().table();
  if (shard_) {
    const std::uint32_t owner = *shard_ < service.shard_owners.size()
                                    ? service.shard_owners[*shard_]
                                    : RoutedService::kNoUpstream;
    return owner == RoutedService::kNoUpstream ? nullptr
                                               : &table.upstreams[owner];
  }
  const std::string* const name =
      service_state_->chooser.Choose(BootClock::now(), tried_upstreams_);
  if (!name)
    return nullptr;
  selected_by_load_ = true;
  return ingress_.view().FindUpstream(*name);
}

LogOffset IngressRequest::EpochOf(const RoutedService& service,
                                  const RoutedUpstream& upstream) const {
  if (!shard_ || *shard_ >= service.shard_offsets.size())
    return upstream.leader_fence;
  return std::max(service.shard_offsets[*shard_], upstream.leader_fence);
}

void IngressRequest::SendLocally(const RoutedService& service,
                                 const RoutedUpstream& upstream) {
  state_ = State::kLocal;
  UpstreamSender& sender = ingress_.context().sender;
  if (ids_to_issue_ > 0) {
    sender.Issue(upstream_, shard_, ids_to_issue_,
                 [self = shared_from_this(), attempt = attempts_,
                  &io = ingress_.io()](IssuedIds ids) {
                   boost::asio::post(io, [self, attempt, ids = std::move(ids)] {
                     self->OnLocalIds(attempt, ids);
                   });
                 });
    return;
  }
  UpstreamRequest request;
  request.service = service_;
  request.upstream = upstream_;
  request.shard = shard_;
  request.epoch = EpochOf(service, upstream);
  request.request_id = request_id_text_;
  request.flow = Flow();
  request.deadline = deadline_;
  request.http =
      std::shared_ptr<const HttpRequest>(exchange_, &exchange_->request);
  ticket_ = sender.Submit(
      std::move(request), [self = shared_from_this(), attempt = attempts_,
                           &io = ingress_.io()](UpstreamResult result) {
        boost::asio::post(
            io, [self, attempt, result = std::move(result)]() mutable {
              self->OnLocalResponse(attempt, std::move(result));
            });
      });
}

void IngressRequest::OnLocalResponse(std::uint32_t attempt,
                                     UpstreamResult result) {
  if (state_ != State::kLocal || attempt != attempts_)
    return;
  executed_id_ = std::move(result.request_id);
  OnResult(result.error, std::move(result.response));
}

void IngressRequest::OnLocalIds(std::uint32_t attempt, const IssuedIds& ids) {
  if (state_ != State::kLocal || attempt != attempts_)
    return;
  OnResult(ids.error, CreateIssuedIdsResponse(ids.ids));
}

void IngressRequest::Forward(const RoutedUpstream& upstream) {
  state_ = State::kForwarded;
  cross_region_ = ingress_.view().IsLeaderInOtherRegion(upstream);
  ingress_.forwarded_requests().Add();
  ForwardedRequest forwarded;
  forwarded.service = service_;
  forwarded.shard = shard_.value_or(0);
  forwarded.epoch =
      EpochOf(*ingress_.view().table()->FindService(service_), upstream);
  forwarded.upstream = upstream_;
  forwarded.remaining_time = std::max(
      std::chrono::duration_cast<milliseconds>(deadline_ - attempt_started_),
      milliseconds(0));
  forwarded.request_id = request_id_text_;
  forwarded.flow = Flow();
  forwarded.ids_to_issue = ids_to_issue_;
  std::string text = FormatRequest(http(), forwarded.ToControlLines());
  if (cross_region_)
    ingress_.cross_region_bytes().Add(text.size());
  forward_address_ = upstream.leader_address;
  forward_number_ = ingress_.forward_pools().Send(
      forward_address_, std::move(text), http().method == "HEAD",
      [self = shared_from_this()](HttpClientConnection::ExchangeResult result) {
        self->OnForwardEnded(std::move(result));
      });
  ingress_.AddTimedRequest(shared_from_this());
}

void IngressRequest::OnForwardEnded(
    HttpClientConnection::ExchangeResult result) {
  if (state_ != State::kForwarded)
    return;
  switch (result.end) {
    case HttpClientConnection::ExchangeOutcome::kAnswered:
      OnForwardResponse(std::move(result.response));
      return;
    case HttpClientConnection::ExchangeOutcome::kNotWritten:
      OnResult(ErrorKind::kNotRunUnreachable, {});
      return;
    case HttpClientConnection::ExchangeOutcome::kLost:
      OnResult(ErrorKind::kUnknownUpstreamLost, {});
      return;
    case HttpClientConnection::ExchangeOutcome::kInvalidResponse:
      OnResult(ErrorKind::kUnknownAnswerDamaged, {});
      return;
  }
}

void IngressRequest::OnForwardResponse(HttpResponse response) {
  if (cross_region_) {
    ingress_.cross_region_bytes().Add(response.header_lines.size() +
                                      response.control_lines.size() +
                                      response.body.size());
  }
  const std::string_view lines = response.control_lines;
  executed_id_ = FindHeader(lines, "Pollenrudder-Request-Id").value_or("");
  if (FindHeader(lines, "Pollenrudder-Outcome") ==
      OutcomeName(Outcome::kAnswered)) {
    OnResult(std::nullopt, std::move(response));
    return;
  }
  // A response without a known outcome does not conform to the protocol.
  const auto kind =
      ErrorKindFromName(FindHeader(lines, "Pollenrudder-Error").value_or(""));
  OnResult(kind.value_or(ErrorKind::kUnknownAnswerDamaged), {});
}

void IngressRequest::OnResult(std::optional<ErrorKind> error,
                              HttpResponse response) {
  if (selected_by_load_)
    RecordResult(error);
  if (!error) {
    SetAnsweredHeaders(response, executed_id_);
    Respond(response, Outcome::kAnswered);
    return;
  }
  const BootTime now = BootClock::now();
  const auto delay = RetryDelay(*error, now);
  if (!delay) {
    OnError(*error);
    return;
  }
  service_state_->retries.Add();
  EventLog::WriteLazily(kRequestRetried, [&] {
    return std::vector<LogField>{{"service", service_},
                                 {"upstream", upstream_},
                                 {"error", DescribeError(*error).name},
                                 {"attempt", attempts_}};
  });
  if (selected_by_load_)
    tried_upstreams_.push_back(upstream_);
  last_error_ = *error;
  state_ = State::kWaiting;
  retry_at_ = now + *delay;
  ingress_.AddTimedRequest(shared_from_this());
}

void IngressRequest::RecordResult(std::optional<ErrorKind> error) {
  const BootTime now = BootClock::now();
  SendResult result = SendResult::kAnswered;
  if (error) {
    result = DescribeError(*error).outcome == Outcome::kNotRun &&
                     *error != ErrorKind::kNotRunUnreachable
                 ? SendResult::kRefused
                 : SendResult::kFailed;
  }
  service_state_->chooser.OnFinished(upstream_, result, now - attempt_started_,
                                     now);
}

std::optional<std::chrono::nanoseconds> IngressRequest::RetryDelay(
    ErrorKind error,
    BootTime now) {
  // After an overload, only an attempt at another upstream can help. Attempts
  // at the same one would only add load.
  const bool other_upstream =
      error == ErrorKind::kNotRunOverloaded && selected_by_load_;
  const bool unknown = DescribeError(error).outcome == Outcome::kUnknown &&
                       repeatable_ && !request_id_ &&
                       error != ErrorKind::kUnknownDeadline;
  if (other_upstream || unknown) {
    const auto delay =
        service_state_->budget.TakeRetry(++budget_retries_, now, deadline_);
    if (!delay) {
      EventLog::WriteLazily(kRetryBudgetSpent, [&] {
        return std::vector<LogField>{{"service", service_},
                                     {"error", DescribeError(error).name}};
      });
    }
    return delay;
  }
  if (!IsWorthRetrying(error))
    return std::nullopt;
  const auto max_delay = std::min<milliseconds>(
      kInitialRetryDelay * (1u << std::min(attempts_, kMaxDoublings)),
      kMaxRetryDelay);
  const std::chrono::nanoseconds delay = ingress_.RandomDelay(max_delay);
  if (now + delay >= deadline_)
    return std::nullopt;
  return delay;
}

void IngressRequest::CheckTimers(BootTime now) {
  const auto self = shared_from_this();
  if (state_ == State::kWaiting && now >= retry_at_) {
    StartAttempt();
    return;
  }
  if (state_ == State::kForwarded && now >= deadline_ + kForwardResponseGrace) {
    CancelAttempt();
    selected_by_load_ = false;
    state_ = State::kWaiting;
    OnError(ErrorKind::kUnknownDeadline);
  }
}

}  // namespace pollenrudder
