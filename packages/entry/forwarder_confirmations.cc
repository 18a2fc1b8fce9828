// Forwarder: asks upstreams that may have become cold whether they are.

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "entry/forwarder.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// A busy upstream responds to health requests when a slot is free.
constexpr milliseconds kConfirmationTimeout{1000};
constexpr std::uint64_t kMaxHealthBodyBytes = 1 << 16;

}  // namespace

void Forwarder::ConfirmAttempt(const ActiveRequest& request,
                               const Attempt& attempt) {
  const std::uint64_t id = request.dispatch.id;
  const std::uint32_t number = attempt.number;
  HttpClient::CallOptions options;
  options.timeout = kConfirmationTimeout;
  options.connect_timeout = kConnectTimeout;
  options.body_limit = kMaxHealthBodyBytes;
  options.memory = memory_;
  options.may_send = [this, id, number] { return MayStillSend(id, number); };
  options.match = [this,
                   name = attempt.upstream.name](const HttpResponse& response) {
    return protocol_.MatchHealthResponse(response, name);
  };
  attempt.client->Call(
      protocol_.FormatHealthRequest(
          configuration_->PolicyOf(attempt.upstream.service).health_path,
          attempt.upstream),
      std::move(options),
      [this, id, number](HttpCallResult result, HttpResponse& response) {
        OnConfirmationEnded(id, number, result, response);
      });
}

void Forwarder::OnConfirmationEnded(std::uint64_t id,
                                    std::uint32_t number,
                                    HttpCallResult result,
                                    HttpResponse& response) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  ActiveRequest& request = it->second;
  const auto attempt =
      std::ranges::find(request.attempts, number, &Attempt::number);
  if (attempt == request.attempts.end())
    return;
  const BootTime now = BootClock::now();
  if (result == HttpCallResult::kRefused ||
      result == HttpCallResult::kNotConnected) {
    RecordSend(request, attempt->upstream);
    OnAttemptEnded(id, number, result, response);
    return;
  }
  // A process that was suspended reads an old response.
  const BootTime asked_at =
      std::max(attempt->sent_at, attempt->client->connected_at());
  if (now - asked_at > kConfirmationTimeout)
    result = HttpCallResult::kTimedOut;
  // The upstream closed an idle connection; that states nothing.
  const bool was_idle = result == HttpCallResult::kConnectionLost &&
                        attempt->client->connected_at() < attempt->sent_at;
  HttpResponse no_response;
  if (result == HttpCallResult::kNotSent || was_idle ||
      !ApplyConfirmation(attempt->upstream, result, response, now)) {
    OnAttemptEnded(id, number, HttpCallResult::kNotSent, no_response);
    return;
  }
  attempt->sent_at = now;
  if (!MayStillSend(id, number)) {
    OnAttemptEnded(id, number, HttpCallResult::kNotSent, no_response);
    return;
  }
  attempt->is_confirming = false;
  if (!attempt->client->IsReusable()) {
    attempt->client =
        PoolOf(attempt->upstream)
            .Take(request.repeatable, request.former_clients, now);
  }
  RecordSend(request, attempt->upstream);
  SendAttempt(request, *attempt);
}

bool Forwarder::ApplyConfirmation(const ListedUpstream& upstream,
                                  HttpCallResult result,
                                  const HttpResponse& response,
                                  BootTime now) {
  std::optional<std::chrono::nanoseconds> remaining;
  if (result == HttpCallResult::kAnswered) {
    ApplyNotice(upstream.service, upstream,
                protocol_.ParseNotice(response, upstream.name), now);
    remaining = protocol_.ParseColdRemaining(response, upstream.name);
  }
  metrics_.Count("entry_confirmations_total",
                 std::string("result=\"") +
                     (!remaining               ? "none"
                      : remaining->count() > 0 ? "cold"
                                               : "warm") +
                     '"');
  if (!remaining) {
    dispatcher_.OnNotConfirmed(upstream, now);
    return false;
  }
  if (remaining->count() > 0) {
    dispatcher_.OnColdStated(upstream, *remaining, now);
    return false;
  }
  return true;
}

}  // namespace pollenrudder
