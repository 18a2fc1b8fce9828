// Forwards the requests of callers to upstreams and returns the responses.

#ifndef POLLENRUDDER_ENTRY_FORWARDER_H_
#define POLLENRUDDER_ENTRY_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error_kind.h"
#include "base/memory_account.h"
#include "base/metrics.h"
#include "dispatch/dispatch_listener.h"
#include "dispatch/dispatcher.h"
#include "dispatch/hedge_policy.h"
#include "dispatch/retry_budget_share.h"
#include "entry/active_request.h"
#include "entry/http_client_pool.h"
#include "entry/received_request.h"
#include "entry/response_budget.h"
#include "entry/upstream_protocol.h"
#include "fleet/fleet.h"
#include "fleet/router_configuration.h"

namespace pollenrudder {

class CallerConnection;
class CrashGuard;

// Finds the route of each request, lets the Dispatcher choose the upstream, and
// decides after each attempt whether to respond, to retry or to fail.
//
// A request that is not repeatable is retried only after proof that it has not
// run. The router answers 503 only for requests that have not run.
//
// Call SetConfiguration() once a configuration is known, and SetFleet() and
// SetKeyTable() after each change; requests that arrive before the first
// configuration are refused.
class Forwarder : public DispatchListener {
 public:
  struct Options {
    Dispatcher::Options dispatch;
    // The retry budget of a service, for all instances together.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    std::chrono::nanoseconds retry_window = std::chrono::seconds(10);
    // The share of the requests of a service that may get a second send while
    // the first has no response; 0 if none may.
    double hedge_share = 0;
    // Memory of the responses that are being received.
    std::size_t response_bytes = 24 << 20;
  };

  // The arguments must outlive the forwarder.
  Forwarder(boost::asio::io_context& io,
            const UpstreamProtocol& protocol,
            Metrics& metrics,
            std::shared_ptr<MemoryAccount> memory,
            CrashGuard& crash_guard,
            Options options);
  ~Forwarder() override;

  // `instances` is the number of instances that share the upstreams.
  void SetConfiguration(
      std::shared_ptr<const RouterConfiguration> configuration,
      const Fleet& fleet,
      std::uint32_t instances);
  void SetFleet(const Fleet& fleet, std::uint32_t instances);
  void SetKeyTable(const std::string& service, const KeyTable* table);

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 std::uint64_t sequence,
                 std::shared_ptr<const ReceivedRequest> received);
  void OnCallerDisconnected(const std::shared_ptr<CallerConnection>& caller);

  // Returns the response that the router itself sends for `kind`.
  HttpResponse MakeErrorResponse(ErrorKind kind,
                                 std::string_view request_id,
                                 std::chrono::nanoseconds retry_after) const;
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad() {
    return dispatcher_.TakeLoad(BootClock::now());
  }
  // From now on, requests that cannot be expected to end before `time`, at
  // which this instance aborts what is in progress, are refused instead of
  // sent.
  void StopBy(BootTime time);
  // Aborts the requests that upstreams still process, so that the responses
  // queued behind them on a caller's connection can be sent.
  void AbortInFlight();
  // Closes connections to upstreams that have been idle for too long.
  void CloseIdleConnections();
  std::size_t active_count() const { return requests_.size(); }
  const RouterConfiguration* configuration() const {
    return configuration_.get();
  }

  // DispatchListener:
  bool DropIfObsolete(const DispatchRequest& request) override;
  void OnSend(const DispatchRequest& request,
              const ListedUpstream& upstream,
              bool needs_confirmation) override;
  void OnColdPeriod(const ListedUpstream& upstream,
                    std::string_view reason,
                    std::chrono::nanoseconds duration,
                    std::uint32_t instances) override;
  void OnRefuse(const DispatchRequest& request,
                ErrorKind kind,
                std::chrono::nanoseconds retry_after) override;

 private:
  using Requests = std::map<std::uint64_t, ActiveRequest>;

  // Waits this long after the deadline for a response that the upstream sends
  // at the deadline itself.
  static constexpr std::chrono::milliseconds kResponseGrace{60};
  // Timeout for opening a connection to an upstream.
  static constexpr std::chrono::milliseconds kConnectTimeout{1000};

  RetryBudgetShare& RetryBudgetOf(const std::string& service);
  HttpClientPool& PoolOf(const ListedUpstream& upstream);
  void StartAttempt(ActiveRequest& request,
                    const ListedUpstream& upstream,
                    bool is_hedge,
                    bool needs_confirmation,
                    BootTime now);
  // Asks the upstream of the attempt whether it is cold, and sends the request
  // if it is not.
  void ConfirmAttempt(const ActiveRequest& request, const Attempt& attempt);
  void OnConfirmationEnded(std::uint64_t id,
                           std::uint32_t number,
                           HttpCallResult result,
                           HttpResponse& response);
  // Tells the dispatcher what the response of a health request states. Returns
  // whether the upstream is not cold.
  bool ApplyConfirmation(const ListedUpstream& upstream,
                         HttpCallResult result,
                         const HttpResponse& response,
                         BootTime now);
  static void RecordSend(ActiveRequest& request,
                         const ListedUpstream& upstream);
  void SendAttempt(ActiveRequest& request, const Attempt& attempt);
  // `number` is Attempt::number.
  void OnAttemptEnded(std::uint64_t id,
                      std::uint32_t number,
                      HttpCallResult result,
                      HttpResponse& response);
  AttemptResult ClassifyAttempt(HttpCallResult result,
                                const HttpResponse& response,
                                const std::string& upstream) const;
  // Returns whether the response names the request, if that has an id.
  bool IsIdentified(const ActiveRequest& request,
                    const HttpResponse& response) const;
  // Passes what a response states about its upstream on to the dispatcher.
  void ApplyNotice(const std::string& service,
                   const ListedUpstream& upstream,
                   const UpstreamNotice& notice,
                   BootTime now);
  // Returns whether the request may be retried after `result`; consumes the
  // retry budget for it.
  bool TryConsumeRetry(ActiveRequest& request,
                       AttemptResult result,
                       BootTime now);
  // `upstream` is the one of the last attempt.
  void Retry(ActiveRequest& request,
             const ListedUpstream& upstream,
             AttemptResult result,
             BootTime now);
  // Closes the connections of `attempts`, which belong to the request of
  // `dispatch`, and reports `result` to the dispatcher.
  void AbortAttempts(const std::vector<Attempt>& attempts,
                     const DispatchRequest& dispatch,
                     AttemptResult result,
                     BootTime now);
  // Returns whether the request can be expected to end before this instance
  // aborts it.
  bool CanEndBeforeStop(const ActiveRequest& request, BootTime now) const;
  // Checks again, once the connection to the upstream is open, whether the
  // request may be sent there.
  bool MayStillSend(std::uint64_t id, std::uint32_t number);

  // Returns null if hedging is off.
  HedgePolicy* HedgePolicyOf(const std::string& service);
  // Returns whether requests like this one may get a second send: those that
  // are repeatable and have no single upstream that owns their key.
  bool IsHedgeable(const ActiveRequest& request) const;
  // Starts the delay of the second send, after the first.
  void ArmHedgeTimer(ActiveRequest& request, BootTime now);
  // Sends the request to another upstream if that is still useful and allowed.
  void TryHedge(std::uint64_t id);
  // Tells the hedge policy how an attempt ended.
  void ReportToHedgePolicy(const ActiveRequest& request,
                           const Attempt& attempt,
                           AttemptResult result,
                           BootTime now);

  // Returns for how much longer the request is refused because upstreams crash
  // under it.
  std::optional<std::chrono::nanoseconds> QuarantineLeft(ActiveRequest& request,
                                                         BootTime now) const;
  // Returns whether an upstream has crashed under the request.
  bool IsCrashSuspect(ActiveRequest& request, BootTime now) const;
  // As QuarantineLeft(), also because it is held back as a suspect.
  std::optional<std::chrono::nanoseconds> CrashRefusalLeft(
      ActiveRequest& request,
      BootTime now);
  // The request is about to be sent.
  void RecordCrashTrial(ActiveRequest& request, BootTime now);
  // Tells the crash guard how the attempt ended. Returns whether the request
  // was a suspect when its connection was lost.
  bool ReportToCrashGuard(ActiveRequest& request,
                          const Attempt& attempt,
                          AttemptResult result,
                          BootTime now);
  // Counts and logs a request whose caller disconnected.
  void RecordAbandoned(const ActiveRequest& request, BootTime now);
  void ArmTimer(ActiveRequest& request, BootTime now);
  void OnTimer(std::uint64_t id);
  // `attempt` is the one that was answered.
  void Deliver(Requests::iterator it,
               const Attempt& attempt,
               const HttpResponse& response);
  void Fail(Requests::iterator it,
            ErrorKind kind,
            std::chrono::nanoseconds retry_after);
  void ScheduleTick();

  boost::asio::io_context& io_;
  const UpstreamProtocol& protocol_;
  Metrics& metrics_;
  const std::shared_ptr<MemoryAccount> memory_;
  CrashGuard& crash_guard_;
  const Options options_;
  std::uint32_t instances_ = 1;
  std::shared_ptr<const RouterConfiguration> configuration_;
  Dispatcher dispatcher_;
  Requests requests_;
  std::uint64_t next_id_ = 1;
  std::map<std::string, RetryBudgetShare, std::less<>> retry_budgets_;
  std::map<std::string, HedgePolicy, std::less<>> hedge_policies_;
  // By upstream name; each pool belongs to the incarnation that is listed.
  struct Pool {
    ListedUpstream upstream;
    std::unique_ptr<HttpClientPool> clients;
  };
  std::map<std::string, Pool, std::less<>> pools_;
  ResponseBudget response_budget_;
  const BootTime started_;
  BootTime stops_at_ = BootTime::max();
  boost::asio::steady_timer tick_timer_;
  bool tick_pending_ = false;
  std::mt19937_64 random_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_FORWARDER_H_
