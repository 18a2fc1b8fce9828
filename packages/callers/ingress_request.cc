// IngressRequest: validation and completion. The attempts are in
// ingress_attempt.cc.

#include "callers/ingress_request.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "base/event_log.h"
#include "callers/callers_events.h"
#include "callers/error_response.h"
#include "callers/key_extractor.h"
#include "routing/shard_of.h"

namespace pollenrudder {
namespace {

constexpr std::uint64_t kMaxIssuedIds = 1000;

std::optional<std::string> HeaderOrQuery(const HttpRequest& request,
                                         std::string_view header,
                                         std::string_view parameter) {
  if (const auto value = FindHeader(request.control_lines, header))
    return std::string(*value);
  return FindQueryParameter(request.target, parameter);
}

}  // namespace

IngressRequest::IngressRequest(Ingress& ingress,
                               std::shared_ptr<CallerExchange> exchange)
    : ingress_(ingress),
      exchange_(std::move(exchange)),
      started_(BootClock::now()) {}

IngressRequest::~IngressRequest() {
  if (team_slot_)
    team_slot_->fetch_sub(1);
}

void IngressRequest::Start() {
  ingress_.view().Refresh();
  const bool issues_ids = PathOf(http().target) == Ingress::kRequestIdsPath;
  auto error = issues_ids ? ParseIssueRequest() : FindService();
  if (!error)
    error = ParseDeadline();
  if (!error && !issues_ids)
    error = ParseRequestId();
  if (!error)
    error = AcquireTeamSlot();
  if (error) {
    OnError(*error);
    return;
  }
  exchange_->set_on_cancel([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->OnCallerDisconnected();
  });
  service_state_->budget.RecordRequest(started_);
  StartAttempt();
}

std::optional<ErrorKind> IngressRequest::FindService() {
  const RoutingTable* const table = ingress_.view().table();
  if (!table)
    return ErrorKind::kNotRunNoOwner;
  const std::string_view path = PathOf(http().target);
  if (HasDotSegments(path))
    return ErrorKind::kMalformedRequest;
  const RoutedService* const service = table->FindServiceByPath(path);
  if (!service)
    return ErrorKind::kUnknownService;
  service_ = service->settings.name;
  service_state_ = &ingress_.view().ServiceOf(service_);
  repeatable_ = service->settings.IsRepeatable(http().method);
  if (service->settings.is_sharded) {
    const auto key = ExtractKey(service->settings, http());
    if (!key)
      return ErrorKind::kMissingKey;
    shard_ = ShardOf(*key, service->settings.shards);
  }
  return std::nullopt;
}

std::optional<ErrorKind> IngressRequest::ParseIssueRequest() {
  const RoutingTable* const table = ingress_.view().table();
  if (!table)
    return ErrorKind::kNotRunNoOwner;
  if (http().method != "POST")
    return ErrorKind::kMalformedRequest;
  const auto name = HeaderOrQuery(http(), "Pollenrudder-Service", "service");
  const RoutedService* const service =
      name ? table->FindService(*name) : nullptr;
  if (!service)
    return ErrorKind::kUnknownService;
  service_ = *name;
  service_state_ = &ingress_.view().ServiceOf(service_);
  repeatable_ = true;
  if (service->settings.is_sharded) {
    const auto key = HeaderOrQuery(http(), "Pollenrudder-Key", "key");
    if (!key || key->empty())
      return ErrorKind::kMissingKey;
    shard_ = ShardOf(*key, service->settings.shards);
  }
  const auto count = HeaderOrQuery(http(), "Pollenrudder-Count", "count");
  const auto number = count ? ParseNumber(*count) : 1;
  if (!number || *number == 0 || *number > kMaxIssuedIds)
    return ErrorKind::kMalformedRequest;
  ids_to_issue_ = static_cast<std::uint32_t>(*number);
  return std::nullopt;
}

std::optional<ErrorKind> IngressRequest::ParseDeadline() {
  const RoutedService* const service =
      ingress_.view().table()->FindService(service_);
  auto remaining = service->settings.deadline;
  if (const auto text =
          FindHeader(http().control_lines, "Pollenrudder-Deadline")) {
    const auto milliseconds = ParseNumber(*text);
    if (!milliseconds)
      return ErrorKind::kMalformedRequest;
    const auto max_ms = static_cast<std::uint64_t>(remaining.count());
    remaining = std::chrono::milliseconds(std::min(*milliseconds, max_ms));
  }
  deadline_ = started_ + remaining;
  return std::nullopt;
}

std::optional<ErrorKind> IngressRequest::ParseRequestId() {
  const auto text = FindHeader(http().control_lines, "Pollenrudder-Request-Id");
  if (!text)
    return std::nullopt;
  auto id = RequestId::Parse(*text);
  if (!id || id.value().service != service_ ||
      id.value().shard != shard_.value_or(0))
    return ErrorKind::kInvalidRequestId;
  request_id_text_ = *text;
  request_id_ = std::move(id.value());
  return std::nullopt;
}

std::optional<ErrorKind> IngressRequest::AcquireTeamSlot() {
  const RoutedService* const service =
      ingress_.view().table()->FindService(service_);
  const auto& in_flight = service_state_->team_in_flight;
  if (in_flight->fetch_add(1) >= service->team_max_in_flight) {
    in_flight->fetch_sub(1);
    return ErrorKind::kNotRunOverloaded;
  }
  team_slot_ = in_flight;
  return std::nullopt;
}

std::uint64_t IngressRequest::Flow() const {
  return std::hash<std::string>()(service_) ^
         std::hash<std::string>()(
             exchange_->remote_endpoint.address().to_string());
}

void IngressRequest::OnError(ErrorKind error) {
  EventLog::WriteLazily(kRequestFailed, [&] {
    return std::vector<LogField>{{"service", service_},
                                 {"upstream", upstream_},
                                 {"error", DescribeError(error).name},
                                 {"attempts", attempts_}};
  });
  const std::string& id =
      request_id_text_.empty() ? executed_id_ : request_id_text_;
  Respond(CreateErrorResponse(error, id), DescribeError(error).outcome);
}

void IngressRequest::OnCallerDisconnected() {
  if (state_ == State::kEnded)
    return;
  CancelAttempt();
  End();
}

void IngressRequest::CancelAttempt() {
  if (state_ == State::kLocal && ids_to_issue_ == 0)
    ingress_.context().sender.Cancel(ticket_, upstream_);
  if (state_ == State::kForwarded)
    ingress_.forward_pools().Cancel(forward_address_, forward_number_);
  if (selected_by_load_ &&
      (state_ == State::kLocal || state_ == State::kForwarded)) {
    const BootTime now = BootClock::now();
    service_state_->chooser.OnFinished(upstream_, SendResult::kCanceled,
                                       now - attempt_started_, now);
  }
}

void IngressRequest::Respond(const HttpResponse& response, Outcome outcome) {
  if (service_state_)
    service_state_->RecordOutcome(outcome, BootClock::now() - started_);
  End();
  exchange_->Respond(response);
}

void IngressRequest::End() {
  state_ = State::kEnded;
  ingress_.RemoveTimedRequest(shared_from_this());
  if (const auto slot = std::exchange(team_slot_, nullptr))
    slot->fetch_sub(1);
}

}  // namespace pollenrudder
