// State machine of one request of a caller.

#ifndef POLLENRUDDER_CALLERS_INGRESS_REQUEST_H_
#define POLLENRUDDER_CALLERS_INGRESS_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "callers/caller_exchange.h"
#include "callers/ingress.h"
#include "routing/request_id.h"
#include "upstreams/http_client_connection.h"
#include "upstreams/upstream_request.h"

namespace pollenrudder {

// Sends the request in one or more attempts until a response arrives, an error
// is not retryable, or the deadline passes. Each attempt uses the newest
// routing table. A request that was not run is retried if a later attempt may
// succeed. A request with an unknown outcome is retried only if it is
// repeatable and the retry budget permits. Requests for request ids take the
// same path and end at the leader. Owned by shared pointers, which pending
// callbacks also hold. Used on one thread.
class IngressRequest : public std::enable_shared_from_this<IngressRequest> {
 public:
  IngressRequest(Ingress& ingress, std::shared_ptr<CallerExchange> exchange);
  ~IngressRequest();
  IngressRequest(const IngressRequest&) = delete;
  IngressRequest& operator=(const IngressRequest&) = delete;

  void Start();
  // Starts a due retry or ends a forwarded request after its deadline. Called
  // periodically between AddTimedRequest() and RemoveTimedRequest() of Ingress.
  void CheckTimers(BootTime now);

 private:
  enum class State { kStarting, kWaiting, kLocal, kForwarded, kEnded };

  const HttpRequest& http() const { return exchange_->request; }

  // Validate the request and set the members that follow from it. Each returns
  // the error to reject the request with, or nothing.
  std::optional<ErrorKind> FindService();
  std::optional<ErrorKind> ParseIssueRequest();
  std::optional<ErrorKind> ParseDeadline();
  std::optional<ErrorKind> ParseRequestId();
  std::optional<ErrorKind> AcquireTeamSlot();

  void StartAttempt();
  // Returns the upstream of the next attempt, or null if there is none.
  const RoutedUpstream* ChooseUpstream(const RoutedService& service);
  void SendLocally(const RoutedService& service,
                   const RoutedUpstream& upstream);
  void Forward(const RoutedUpstream& upstream);
  LogOffset EpochOf(const RoutedService& service,
                    const RoutedUpstream& upstream) const;
  // Identifies the service and the caller's address for fair queueing.
  std::uint64_t Flow() const;

  void OnLocalResponse(std::uint32_t attempt, UpstreamResult result);
  void OnLocalIds(std::uint32_t attempt, const IssuedIds& ids);
  void OnForwardEnded(HttpClientConnection::ExchangeResult result);
  void OnForwardResponse(HttpResponse response);
  void OnResult(std::optional<ErrorKind> error, HttpResponse response);
  void RecordResult(std::optional<ErrorKind> error);
  void OnError(ErrorKind error);
  // Returns the delay before the next attempt, or nothing if `error` is final.
  std::optional<std::chrono::nanoseconds> RetryDelay(ErrorKind error,
                                                     BootTime now);
  void OnCallerDisconnected();
  void CancelAttempt();
  void Respond(const HttpResponse& response, Outcome outcome);
  void End();

  Ingress& ingress_;
  const std::shared_ptr<CallerExchange> exchange_;
  const BootTime started_;
  State state_ = State::kStarting;

  std::string service_;
  // Set once the service is known. Remains valid, since IngressView never
  // removes a service.
  IngressService* service_state_ = nullptr;
  TeamLimits::InFlightCount team_slot_;
  std::optional<std::uint32_t> shard_;
  // Set if the caller sent an issued request id.
  std::optional<RequestId> request_id_;
  std::string request_id_text_;
  // The number of request ids to issue. 0 if the request is to be sent to an
  // upstream.
  std::uint32_t ids_to_issue_ = 0;
  bool repeatable_ = false;
  BootTime deadline_;

  std::uint32_t attempts_ = 0;
  // Retries that were charged to the retry budget.
  std::uint32_t budget_retries_ = 0;
  // Upstreams of earlier attempts that the chooser selected.
  std::vector<std::string> tried_upstreams_;
  std::string upstream_;
  BootTime attempt_started_;
  // True if the chooser selected the upstream of the current attempt, and is to
  // be informed of the result.
  bool selected_by_load_ = false;
  // True if the current attempt was forwarded to another region.
  bool cross_region_ = false;
  std::uint64_t ticket_ = 0;
  std::string forward_address_;
  std::uint64_t forward_number_ = 0;
  BootTime retry_at_;
  ErrorKind last_error_ = ErrorKind::kInternal;
  // The request id with which the request ran, returned for the caller's logs.
  std::string executed_id_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_REQUEST_H_
