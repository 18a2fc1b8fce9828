// Runs a GrantCoordinator against the shared log and the upstreams.

#ifndef POLLENRUDDER_ENTRY_GRANT_DRIVER_H_
#define POLLENRUDDER_ENTRY_GRANT_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/metrics.h"
#include "entry/http_client.h"
#include "entry/instance_channel.h"
#include "entry/instance_tracker.h"
#include "entry/load_aggregator.h"
#include "entry/update_history.h"
#include "entry/upstream_protocol.h"
#include "entry/zone_relays.h"
#include "fleet/fleet.h"
#include "fleet/router_configuration.h"
#include "grants/grant_coordinator.h"
#include "grants/grant_log.h"

namespace pollenrudder {

// Performs the I/O of a GrantCoordinator: reads and appends to the log, joins
// the group of instances, calls upstreams, and sends load reports and table
// updates to the other instances. The Observer is notified of changed key
// tables and of the number of instances.
//
// Start() begins the work; Stop() ends it for a planned stop and transfers the
// grant leadership if this instance is the leader.
class GrantDriver {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnKeysChanged(const GrantCoordinator& coordinator) = 0;
    virtual void OnInstanceCount(std::uint32_t instances) = 0;
    virtual std::map<std::string, ServiceLoad, std::less<>> TakeLoad() = 0;
  };

  // `self` describes this instance in its load reports. The arguments other
  // than `self` and `options` must outlive the driver.
  GrantDriver(boost::asio::io_context& io,
              const GrantCoordinator::Options& options,
              const LoadReport& self,
              GrantLog& log,
              const UpstreamProtocol& protocol,
              Metrics& metrics,
              Observer& observer);
  ~GrantDriver();

  // `channel` must outlive the driver.
  void Start(InstanceChannel& channel);
  // `sender` is the "ip:port" of the sending instance. Returns whether that
  // instance had not reported within InstanceTracker::kReportTimeout.
  bool OnLoadReport(const LoadReport& report, const std::string& sender);
  void OnTableUpdate(const TableUpdate& update, InstanceChannel::Hop hop);
  void OnUpdatesRequested(std::uint64_t next_offset, const std::string& sender);
  // Adopts the number of instances and the relays of the zones from `update`.
  // `sender` is the "ip:port" of the sending instance.
  void OnRelayedUpdate(const RelayedUpdate& update,
                       InstanceChannel::Hop hop,
                       const std::string& sender);
  // Adds the number of instances and the relays of the zones, which the leader
  // chooses here.
  void AddTopologyTo(RelayedUpdate& update);
  // Whether this instance forwards updates in its availability zone.
  bool IsZoneRelay() const {
    return zone_relays_.RelayOf(self_.zone) == address_;
  }
  // Relays forward what the leader sends, but not what another relay sends.
  InstanceChannel::Hop HopOfOwnUpdates() const {
    return coordinator_.IsLeader() ? InstanceChannel::Hop::kDirect
                                   : InstanceChannel::Hop::kForwarded;
  }
  // Returns the "ip:port" of the leader, or an empty string if it is not known.
  std::string LeaderAddress() const;
  // Announces this instance to the leader, past the relay of its zone.
  void ReportToLeader();
  void OnFleet(const Fleet& fleet, const RouterConfiguration& configuration);
  // While the relay is active, the log is read only when an update shows that
  // it has grown.
  void SetRelayActive(bool active);
  // The store can be reached again after an outage.
  void OnStoreAvailable();
  // Another instance reports that the log ends at `offset`.
  void OnLogEnd(std::uint64_t offset);
  // Returns the instances to which this one sends what it observes of crashes:
  // all others, or, if the zones have relays, the relay of its own zone, and
  // from there the other relays and the leader.
  InstanceChannel::Addresses CrashReportReceivers() const;
  // Returns the instances that this one reaches directly.
  InstanceChannel::Addresses DirectInstances() const;
  // Sends `update` to the receivers of updates.
  void SendToInstances(const RelayedUpdate& update);
  // The instances that report to this one.
  const InstanceTracker& instance_tracker() const { return instance_tracker_; }
  // Resigns, if this instance is the leader, and leaves the group of instances.
  void Stop();
  bool IsStopped() const { return coordinator_.IsStopped(); }
  const GrantCoordinator& coordinator() const { return coordinator_; }

 private:
  // The calls to one upstream. Grants are sent one after the other over one
  // connection. Each release has a connection of its own, because its response
  // arrives late.
  struct GrantQueue {
    std::string address;
    std::shared_ptr<HttpClient> client;
    std::deque<KeyCall> calls;
    bool in_progress = false;
  };

  void Join();
  void ScheduleJoin();
  void ReadNewest();
  void ScheduleRead();
  void ReadLog();
  // Reads the log if that is needed and the relay cannot help.
  void ReadLogIfNeeded();
  void SendUpdate(const TableUpdate& update);
  void Poll();
  void SchedulePoll();
  // Polls after a pause that grows with the size of the tables.
  void PollSoon();
  void ScheduleLoadReport();
  // Returns how many instances report to the receiver of this one's reports.
  std::uint32_t CountReporters() const;
  void SendLoadReport(const LoadReport& report);
  // Returns the "ip:port" to which load reports are sent, or an empty string if
  // it is not known.
  std::string ReportReceiver() const;
  // Returns the instances that report to this one. For a new leader, also the
  // relays of the former one: they report to that one until they learn of this
  // one, and cannot learn of it from the log without the store.
  InstanceChannel::Addresses UpdateReceivers() const;
  // Returns whether a relay becomes the preferred leader, so that this instance
  // need not join the group.
  bool LeavesMembershipToRelays() const;
  void SetInstanceCount(std::uint32_t instances);
  // Transfers the grant leadership to an instance with far more cores.
  void ConsiderTransfer();
  // Reads the log until it names the instance that takes over.
  void AwaitSuccessor();
  void Start(const KeyCall& call);
  void SendNextGrant(const std::string& upstream);
  void Send(const std::shared_ptr<HttpClient>& client,
            const KeyCall& call,
            const std::function<void()>& on_done);
  void PublishChanges();

  boost::asio::io_context& io_;
  GrantCoordinator coordinator_;
  const LoadReport self_;
  // "ip:port" of this instance for reports and updates.
  const std::string address_;
  const GrantDurations durations_;
  GrantLog& log_;
  const UpstreamProtocol& protocol_;
  Metrics& metrics_;
  Observer& observer_;
  InstanceChannel* channel_ = nullptr;
  boost::asio::steady_timer join_timer_;
  boost::asio::steady_timer read_timer_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer poll_soon_timer_;
  boost::asio::steady_timer load_timer_;
  boost::asio::steady_timer successor_timer_;
  std::map<std::string, GrantQueue, std::less<>> grant_queues_;
  std::map<std::uint64_t, std::shared_ptr<HttpClient>> release_clients_;
  InstanceTracker instance_tracker_;
  ZoneRelays zone_relays_;
  // The relays of the former leader, other than this instance.
  InstanceChannel::Addresses former_relays_;
  // All instances according to the leader, if that serves them itself.
  InstanceChannel::Addresses peers_;
  // The leader that sent the last update; empty if none arrived since the relay
  // stopped or the term changed. An instance without the store has no other way
  // to learn the leader's address.
  std::string update_sender_;
  std::optional<std::uint64_t> known_term_offset_;
  // The load of the instances that report to this one while it is a relay.
  LoadAggregator aggregator_;
  // What this instance sent to those that report to it.
  UpdateHistory sent_updates_;
  // Until then, missed updates are expected from the relay.
  BootTime updates_requested_until_{};
  std::uint64_t published_tables_version_ = 0;
  std::uint64_t log_epoch_ = 0;
  std::uint32_t instances_ = 1;
  // The leader counts the instances; the store's group has only some of them.
  bool instances_counted_ = false;
  bool was_leader_ = false;
  bool was_active_ = false;
  // The resignation that this instance appended last, if any.
  TableUpdate resignation_;
  // When this instance became the leader.
  BootTime leader_started_at_{};
  bool reading_log_ = false;
  bool polls_soon_ = false;
  bool relay_active_ = false;
  BootTime relay_stopped_at_{};
  BootTime last_report_{};
  bool stopping_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_GRANT_DRIVER_H_
