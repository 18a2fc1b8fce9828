// One entry instance: the process that callers connect to.

#ifndef POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_
#define POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/memory_account.h"
#include "base/metrics.h"
#include "base/result.h"
#include "entry/caller_connection.h"
#include "entry/caller_connection_handler.h"
#include "entry/configuration_relay.h"
#include "entry/crash_guard.h"
#include "entry/entry_settings.h"
#include "entry/forwarder.h"
#include "entry/grant_driver.h"
#include "entry/http_server.h"
#include "entry/instance_channel.h"
#include "entry/socket_acceptor.h"
#include "entry/update_relay.h"
#include "entry/upstream_protocol.h"
#include "fleet/feed_control.h"
#include "fleet/fleet.h"
#include "fleet/fleet_contact.h"
#include "fleet/fleet_observer.h"
#include "grants/grant_log.h"

namespace pollenrudder {

// Accepts callers, forwards their requests to upstreams, takes part in the
// granting of keys, and answers probes, all on one event loop. The platform's
// readers report configuration and upstreams through FleetObserver.
//
//   auto instance = EntryInstance::Start(io, settings, protocol, log);
//   io.run();
//
// Leave() starts a planned stop: the instance is no longer ready, completes the
// requests that it has received, and stops the event loop when none is left.
class EntryInstance : public FleetObserver,
                      private CallerConnectionHandler,
                      private GrantDriver::Observer,
                      private InstanceChannel::Listener,
                      private UpdateRelay::Observer,
                      private ConfigurationRelay::Observer,
                      private CrashGuard::Sender {
 public:
  // The arguments must outlive the instance.
  static Result<std::unique_ptr<EntryInstance>> Start(
      boost::asio::io_context& io,
      const EntrySettings& settings,
      const UpstreamProtocol& protocol,
      GrantLog& log);
  ~EntryInstance() override;

  // Sets the platform's readers. `feeds` must outlive the event loop.
  void SetFeeds(FeedControl& feeds) {
    feeds_ = &feeds;
    update_relay_.SetFeeds(feeds);
  }
  void Leave();
  // Returns whether callers should be sent to this instance.
  bool IsReady() const {
    return forwarder_.configuration() != nullptr && !leaving_;
  }

  // FleetObserver:
  void OnConfiguration(
      std::shared_ptr<const RouterConfiguration> configuration,
      std::shared_ptr<const ConfigurationDocument> document) override;
  void OnFleetChanges(std::uint64_t from,
                      std::uint64_t to,
                      const std::vector<FleetChange>& changes) override;
  void OnFleetSnapshot(std::uint64_t previous_position,
                       std::uint64_t position,
                       const std::vector<ListedUpstream>& entries) override;
  void OnEvacuatedZones(
      std::uint64_t position,
      const std::set<std::string, std::less<>>& zones) override;
  void OnEvacuationsRead(BootTime as_of) override;
  void OnListUnavailable() override;
  void OnListAvailable() override;

 private:
  EntryInstance(boost::asio::io_context& io,
                const EntrySettings& settings,
                const UpstreamProtocol& protocol,
                GrantLog& log);

  Result<void> Listen();
  void OnCallerAccepted(boost::asio::ip::tcp::socket socket);
  // Applies the changes and returns those that matter for routing.
  std::vector<FleetChange> ApplyChanges(
      const std::vector<FleetChange>& changes);
  void ApplyFleet();
  // Reports the size of the largest body that is accepted.
  void ReportBodyLimit();
  void SendUpdate();
  // Sends the present quarantine, if there is any, for instances that started
  // since or missed a message.
  void SendPresentQuarantine(const InstanceChannel::Addresses& receivers,
                             InstanceChannel::Hop hop);
  // Whether this instance sends the changes that it reads to others: as the
  // leader whose term is confirmed, or as the relay of its zone while it gets
  // no updates itself. A leader that lost contact may have been replaced; those
  // that it reaches must not rely on its updates.
  bool SendsOwnUpdates() const;
  RelayedUpdate MakeUpdate();
  // Returns the instance, as "ip:port", from which the version of `update` is
  // fetched; empty if the store is to be read. The source of a zone reads the
  // store. Without it, it fetches the version from another zone, since all
  // instances of its own wait for it.
  std::string ConfigurationSource(const RelayedUpdate& update) const;
  // Records that `update`, which has been applied, shows recent knowledge.
  void UpdateContact(const RelayedUpdate& update);
  // Reports a loss or return of the contact to the list and the evacuations.
  void ReportContact();
  // Returns the update that was received last, as of now.
  RelayedUpdate LastUpdate() const;
  void ScheduleHousekeeping();
  void ScheduleRemovals();
  void CheckLeaveProgress();
  HttpResponse HandleProbe(std::string_view path) const;

  // CallerConnectionHandler:
  CallerLimits CurrentLimits() const override;
  const std::shared_ptr<MemoryAccount>& memory() const override {
    return memory_;
  }
  void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                 std::uint64_t sequence,
                 std::shared_ptr<const ReceivedRequest> request) override;
  void OnCallerDisconnected(
      const std::shared_ptr<CallerConnection>& connection) override;
  void OnConnectionClosed(
      const std::shared_ptr<CallerConnection>& connection) override;
  void OnBadRequest(ErrorKind kind) override;
  void OnMemoryAction(MemoryAction action, std::size_t bytes) override;
  HttpResponse MakeErrorResponse(ErrorKind kind) const override;

  // GrantDriver::Observer:
  void OnKeysChanged(const GrantCoordinator& coordinator) override;
  void OnInstanceCount(std::uint32_t instances) override;
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad() override;

  // InstanceChannel::Listener:
  void OnLoadReport(const LoadReport& report,
                    const std::string& sender) override;
  void OnTableUpdate(const TableUpdate& update,
                     InstanceChannel::Hop hop) override;
  void OnRelayedUpdate(const RelayedUpdate& update,
                       InstanceChannel::Hop hop,
                       const std::string& sender) override;
  void OnUpdatesRequested(std::uint64_t next_offset,
                          const std::string& sender) override;

  void OnCrashMessage(const CrashMessage& message,
                      InstanceChannel::Hop hop) override;
  void OnQuarantineMessage(const QuarantineMessage& message,
                           InstanceChannel::Hop hop) override;

  // UpdateRelay::Observer:
  void OnRelayedChanges(const std::vector<FleetChange>& changes) override;
  void OnNewerConfiguration(const RelayedUpdate& update) override;
  void OnUpdateLate() override;
  void OnRelayChanged(bool active) override;

  // ConfigurationRelay::Observer:
  void OnConfigurationFetched(const ConfigurationDocument& document) override;
  void OnConfigurationFetchFailed() override;

  // CrashGuard::Sender:
  void SendCrashMessage(const CrashMessage& message) override;
  void SendQuarantine(const QuarantineMessage& message) override;

  boost::asio::io_context& io_;
  const EntrySettings settings_;
  const std::unique_ptr<Metrics> metrics_;
  const std::shared_ptr<MemoryAccount> memory_;
  Fleet fleet_;
  FleetContact contact_;
  // Whether the last check found that there is contact.
  bool has_contact_ = false;
  // Used until the store reports the number. A high value keeps retry budgets
  // and connection limits small.
  std::uint32_t instances_ = 12;
  CrashGuard crash_guard_;
  Forwarder forwarder_;
  GrantDriver grant_driver_;
  std::shared_ptr<const RouterConfiguration> configuration_;
  std::unique_ptr<SocketAcceptor> acceptor_;
  std::unique_ptr<HttpServer> probe_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  // Serves the configuration to other instances of the availability zone.
  std::unique_ptr<HttpServer> configuration_server_;
  std::unique_ptr<InstanceChannel> channel_;
  UpdateRelay update_relay_;
  // The update that was received last, for instances that begin to report.
  RelayedUpdate last_update_;
  BootTime last_update_time_{};
  ConfigurationRelay configuration_relay_;
  FeedControl* feeds_ = nullptr;
  std::set<std::string, std::less<>> evacuated_zones_;
  // The position in the operator's topic as of which they are known.
  std::uint64_t evacuations_position_ = 0;
  // Whether the last read of the list succeeded.
  bool list_available_ = true;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
  boost::asio::steady_timer housekeeping_timer_;
  boost::asio::steady_timer removal_timer_;
  boost::asio::steady_timer leave_timer_;
  bool leaving_ = false;
  BootTime leave_started_at_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ENTRY_INSTANCE_H_
