// Takes requests from callers to upstreams and answers back.

#ifndef POLLENRUDDER_ENTRY_FORWARDER_H_
#define POLLENRUDDER_ENTRY_FORWARDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error_kind.h"
#include "base/metrics.h"
#include "dispatch/dispatch_listener.h"
#include "dispatch/dispatcher.h"
#include "dispatch/retry_allowance.h"
#include "entry/active_request.h"
#include "entry/link_pool.h"
#include "entry/upstream_protocol.h"
#include "fleet/fleet.h"
#include "fleet/route_plan.h"

namespace pollenrudder {

class CallerLink;

// Finds the route of each request, has the Dispatcher choose the upstream, and
// decides after each attempt whether to answer, to send again or to fail.
//
// A request that must not run twice is sent again only after proof that it has
// not run. A refusal (503) is given only for requests that have not run.
class Forwarder : public DispatchListener {
 public:
  struct Options {
    Dispatcher::Options dispatch;
    // For all instances together.
    double retry_ratio = 0.2;
    double retry_slack = 50;
    std::chrono::nanoseconds retry_window = std::chrono::seconds(10);
  };

  // The arguments must outlive the forwarder.
  Forwarder(boost::asio::io_context& io,
            const UpstreamProtocol& protocol,
            Metrics& metrics,
            Options options);
  ~Forwarder() override;

  // `instances` is the number of instances that share the upstreams.
  void SetPlan(std::shared_ptr<const RoutePlan> plan,
               const Fleet& fleet,
               std::uint32_t instances);
  void SetFleet(const Fleet& fleet, std::uint32_t instances);
  void SetKeys(const std::string& service, const KeyTable* table);

  void OnRequest(const std::shared_ptr<CallerLink>& caller,
                 std::uint64_t place,
                 HttpRequest message);
  void OnCallerLeft(const std::shared_ptr<CallerLink>& caller);

  // The router's own answer for a failure.
  HttpResponse OwnAnswer(ErrorKind kind,
                         std::string_view request_id,
                         std::chrono::nanoseconds retry_after) const;
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad() {
    return dispatcher_.TakeLoad(BootClock::now());
  }
  // Refuses the requests that have not been sent, since this instance ends.
  void RefuseWaiting();
  // Ends the requests that upstreams still work on, so that answers which wait
  // behind them on a caller's connection can be sent.
  void EndInFlight();
  // Closes connections to upstreams that have been idle for long.
  void CloseIdleLinks();
  std::size_t active_count() const { return requests_.size(); }
  const RoutePlan* plan() const { return plan_.get(); }

  // DispatchListener:
  void OnSend(const DispatchRequest& request,
              const ListedUpstream& upstream) override;
  void OnRefuse(const DispatchRequest& request,
                ErrorKind kind,
                std::chrono::nanoseconds retry_after) override;

 private:
  using Requests = std::map<std::uint64_t, ActiveRequest>;

  RetryAllowance& AllowanceOf(const std::string& service);
  LinkPool& PoolOf(const ListedUpstream& upstream);
  void OnAttemptEnded(std::uint64_t id,
                      LinkResult result,
                      HttpResponse& response);
  AttemptResult Judge(LinkResult result,
                      const HttpResponse& response,
                      const std::string& upstream) const;
  // Whether the request may be sent once more after `result`; takes the
  // allowance for it.
  bool TakeResend(ActiveRequest& request, AttemptResult result, BootTime now);
  void Resend(ActiveRequest& request, AttemptResult result, BootTime now);
  // Ends the attempt under way from this side.
  void EndAttempt(ActiveRequest& request, AttemptResult result, BootTime now);
  void ArmTimer(ActiveRequest& request, BootTime now);
  void OnTimer(std::uint64_t id);
  void Deliver(Requests::iterator at, const HttpResponse& response);
  void Fail(Requests::iterator at,
            ErrorKind kind,
            std::chrono::nanoseconds retry_after);
  void ScheduleTick();

  boost::asio::io_context& io_;
  const UpstreamProtocol& protocol_;
  Metrics& metrics_;
  const Options options_;
  std::uint32_t instances_ = 1;
  std::shared_ptr<const RoutePlan> plan_;
  Dispatcher dispatcher_;
  Requests requests_;
  std::uint64_t next_id_ = 1;
  std::map<std::string, RetryAllowance, std::less<>> allowances_;
  // By name of the upstream; an entry is of the life that is listed.
  struct Pool {
    ListedUpstream upstream;
    std::unique_ptr<LinkPool> links;
  };
  std::map<std::string, Pool, std::less<>> pools_;
  const BootTime started_;
  boost::asio::steady_timer tick_timer_;
  bool tick_pending_ = false;
  std::mt19937_64 random_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_FORWARDER_H_
