// One entry instance: callers on one side, upstreams on the other.

#ifndef POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_
#define POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/metrics.h"
#include "base/result.h"
#include "entry/caller_link.h"
#include "entry/caller_link_owner.h"
#include "entry/entry_settings.h"
#include "entry/forwarder.h"
#include "entry/http_server.h"
#include "entry/instance_channel.h"
#include "entry/key_duty_driver.h"
#include "entry/news_relay.h"
#include "entry/plan_relay.h"
#include "entry/socket_acceptor.h"
#include "entry/upstream_protocol.h"
#include "fleet/feed_control.h"
#include "fleet/fleet.h"
#include "fleet/fleet_observer.h"
#include "grants/duty_log.h"

namespace pollenrudder {

// Everything that one process does, on one event loop: it accepts callers,
// forwards their requests, takes part in the granting of keys, and answers
// probes. The platform's readers feed it through FleetObserver.
//
//   auto instance = EntryInstance::Start(io, settings, protocol, log);
//   io.run();
//
// Leave() starts a planned stop: the instance is no longer ready, answers what
// it has been asked, and ends the event loop when nothing is left.
class EntryInstance : public FleetObserver,
                      private CallerLinkOwner,
                      private KeyDutyDriver::Observer,
                      private InstanceChannel::Listener,
                      private NewsRelay::Observer,
                      private PlanRelay::Observer {
 public:
  // The arguments must outlive the instance.
  static Result<std::unique_ptr<EntryInstance>> Start(
      boost::asio::io_context& io,
      const EntrySettings& settings,
      const UpstreamProtocol& protocol,
      DutyLog& log);
  ~EntryInstance() override;

  // The platform's readers; `feeds` must outlive the instance's event loop.
  void SetFeeds(FeedControl& feeds) {
    feeds_ = &feeds;
    relay_.SetFeeds(feeds);
  }
  void Leave();
  // Whether callers are to be sent here.
  bool IsReady() const { return forwarder_.plan() != nullptr && !leaving_; }

  // FleetObserver:
  void OnPlan(std::shared_ptr<const RoutePlan> plan,
              std::shared_ptr<const PlanDocument> document) override;
  void OnFleetChanges(std::uint64_t from,
                      std::uint64_t to,
                      const std::vector<FleetChange>& changes) override;
  void OnFleetListing(std::uint64_t position,
                      const std::vector<ListedUpstream>& entries) override;
  void OnListLost() override;
  void OnListReturned() override;

 private:
  EntryInstance(boost::asio::io_context& io,
                const EntrySettings& settings,
                const UpstreamProtocol& protocol,
                DutyLog& log);

  Result<void> Listen();
  // Applies the changes and returns those that matter for routing.
  std::vector<FleetChange> ApplyChanges(
      const std::vector<FleetChange>& changes);
  void OnFleetNews();
  void SendNews();
  RelayedNews MakeNews() const;
  void ScheduleHousekeeping();
  void ScheduleRemovals();
  void CheckLeft();
  HttpResponse AnswerProbe(std::string_view path) const;

  // CallerLinkOwner:
  CallerLimits LimitsInForce() const override;
  void OnRequest(const std::shared_ptr<CallerLink>& link,
                 std::uint64_t place,
                 HttpRequest request) override;
  void OnCallerLeft(const std::shared_ptr<CallerLink>& link) override;
  void OnLinkClosed(const std::shared_ptr<CallerLink>& link) override;
  void OnBadRequest(ErrorKind kind) override;
  HttpResponse OwnAnswer(ErrorKind kind) const override;

  // KeyDutyDriver::Observer:
  void OnKeysChanged(const GrantDuty& duty) override;
  void OnInstanceCount(std::uint32_t instances) override;
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad() override;

  // InstanceChannel::Listener:
  void OnReport(const LoadReport& report, const std::string& sender) override;
  void OnUpdate(const TableUpdate& update) override;
  void OnNews(const RelayedNews& news) override;

  // NewsRelay::Observer:
  void OnRelayedChanges(const std::vector<FleetChange>& changes) override;
  void OnNewerPlan(const RelayedNews& news) override;
  void OnRelayed(bool relayed) override;

  // PlanRelay::Observer:
  void OnFetchedPlan(const PlanDocument& document) override;
  void OnPlanNotFetched() override;

  boost::asio::io_context& io_;
  const EntrySettings settings_;
  const std::unique_ptr<Metrics> metrics_;
  Fleet fleet_;
  // Until the store tells; too many keeps budgets and limits small.
  std::uint32_t instances_ = 12;
  Forwarder forwarder_;
  KeyDutyDriver duty_;
  std::shared_ptr<const RoutePlan> plan_;
  std::unique_ptr<SocketAcceptor> acceptor_;
  std::unique_ptr<HttpServer> probe_;
  std::unique_ptr<HttpServer> metrics_server_;
  // What other instances of the zone ask for.
  std::unique_ptr<HttpServer> plan_server_;
  std::unique_ptr<InstanceChannel> channel_;
  NewsRelay relay_;
  PlanRelay plan_relay_;
  FeedControl* feeds_ = nullptr;
  std::unordered_set<std::shared_ptr<CallerLink>> links_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer removal_timer_;
  boost::asio::steady_timer leave_timer_;
  bool leaving_ = false;
  BootTime leave_began_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_
