// One request of a caller on its way to an upstream.

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

// Goes through attempts until an answer, an error that can't be retried, or
// the deadline. A request that was not run is always sent again, by the newest
// table; one with an unknown outcome only if it is repeatable and the retry
// budget allows it. Held by shared pointer, since answers may be pending. Used
// on one thread.
class IngressRequest : public std::enable_shared_from_this<IngressRequest> {
 public:
  IngressRequest(Ingress& ingress, std::shared_ptr<CallerExchange> exchange);
  ~IngressRequest();
  IngressRequest(const IngressRequest&) = delete;
  IngressRequest& operator=(const IngressRequest&) = delete;

  void Start();
  // Called every few milliseconds while the request is watched.
  void CheckTimers(BootTime now);

 private:
  enum class State { kStarting, kWaiting, kLocal, kForwarded, kEnded };

  const HttpRequest& http() const { return exchange_->request; }

  // Read the request; each returns the error to refuse it with.
  std::optional<ErrorKind> FindService();
  std::optional<ErrorKind> ParseIssueRequest();
  std::optional<ErrorKind> ParseDeadline();
  std::optional<ErrorKind> ParseRequestId();
  std::optional<ErrorKind> AcquireTeamSlot();

  void StartAttempt();
  // Returns the upstream to send to, or null.
  const RoutedUpstream* ChooseUpstream(const RoutedService& service);
  void SendLocally(const RoutedService& service,
                   const RoutedUpstream& upstream);
  void Forward(const RoutedUpstream& upstream);
  LogOffset EpochOf(const RoutedService& service,
                    const RoutedUpstream& upstream) const;
  std::uint64_t Flow() const;

  void OnLocalResponse(std::uint32_t attempt, UpstreamAnswer answer);
  void OnLocalIds(std::uint32_t attempt, const IssuedIds& ids);
  void OnForwardEnded(HttpClientConnection::ExchangeResult result);
  void OnForwardResponse(HttpResponse response);
  void OnResult(std::optional<ErrorKind> error, HttpResponse response);
  void RecordResult(std::optional<ErrorKind> error);
  void OnError(ErrorKind error);
  // The delay before the next attempt, or nothing if there is none.
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
  // Set once the service is known; ingress threads never drop a service.
  IngressService* service_state_ = nullptr;
  TeamLimits::InFlightCount team_slot_;
  std::optional<std::uint32_t> shard_;
  // Set if the caller sent an issued id.
  std::optional<RequestId> request_id_;
  std::string request_id_text_;
  // Request ids to issue, instead of sending the request; 0 for a request.
  std::uint32_t ids_to_issue_ = 0;
  bool repeatable_ = false;
  BootTime deadline_;

  std::uint32_t attempts_ = 0;
  // Attempts that were paid for by the retry budget.
  std::uint32_t budget_retries_ = 0;
  // The upstreams of earlier attempts.
  std::vector<std::string> tried_upstreams_;
  std::string upstream_;
  BootTime attempt_started_;
  bool selected_by_load_ = false;
  bool cross_region_ = false;
  std::uint64_t ticket_ = 0;
  std::string forward_address_;
  std::uint64_t forward_number_ = 0;
  BootTime retry_at_;
  ErrorKind last_error_ = ErrorKind::kInternal;
  // The id the request ran with, for the caller's own logs.
  std::string executed_id_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_REQUEST_H_
