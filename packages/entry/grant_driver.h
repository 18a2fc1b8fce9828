// Runs a GrantCoordinator against the shared log and the upstreams.

#ifndef POLLENRUDDER_ENTRY_GRANT_DRIVER_H_
#define POLLENRUDDER_ENTRY_GRANT_DRIVER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/metrics.h"
#include "entry/http_client.h"
#include "entry/instance_channel.h"
#include "entry/instance_tracker.h"
#include "entry/upstream_protocol.h"
#include "fleet/fleet.h"
#include "fleet/router_configuration.h"
#include "grants/grant_coordinator.h"
#include "grants/grant_log.h"

namespace pollenrudder {

// Does the I/O of the granting duty: reads and appends to the log, calls
// upstreams, and passes on load reports. The owner hears of changed tables and
// of the number of instances.
class GrantDriver {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnKeysChanged(const GrantCoordinator& duty) = 0;
    virtual void OnInstanceCount(std::uint32_t instances) = 0;
    virtual std::map<std::string, ServiceLoad, std::less<>> TakeLoad() = 0;
  };

  // `self` describes this instance in its reports. The other arguments but
  // `options` must outlive the driver.
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
  // `sender` is the "ip:port" of the instance that sent it. Returns whether it
  // has not reported lately.
  bool OnLoadReport(const LoadReport& report, const std::string& sender);
  void OnTableUpdate(const TableUpdate& update);
  void OnFleet(const Fleet& fleet, const RouterConfiguration& plan);
  // While the holder's news arrive, the log is read only when they say so.
  void SetRelayActive(bool relayed);
  // The log goes as far as `offset`, as another instance says.
  void OnLogEnd(std::uint64_t offset);
  // To the instances that report, if this one is the holder.
  void SendToInstances(const RelayedUpdate& news);
  // The instances that report to this one, if it is the holder.
  const InstanceTracker& instance_tracker() const { return reporters_; }
  // Hands the duty to another instance.
  void Stop();
  bool IsStopped() const { return duty_.IsStopped(); }
  const GrantCoordinator& duty() const { return duty_; }

 private:
  // The calls to one upstream. Grants go one after the other over one link;
  // releases, which are answered late, over links of their own.
  struct Channel {
    std::string address;
    std::shared_ptr<HttpClient> link;
    std::deque<KeyCall> waiting;
    bool busy = false;
  };

  void Join();
  void ReadNewest();
  void ScheduleRead();
  void ReadNow();
  void Poll();
  void SchedulePoll();
  void SendLoad();
  void SendReport(const LoadReport& report);
  // Resigns in favour of an instance with far more processor time.
  void ConsiderPassingOn();
  // Reads the log until it names the instance that takes over.
  void WatchForSuccessor();
  void Start(const KeyCall& call);
  void SendNextGrant(const std::string& upstream);
  void Send(const std::shared_ptr<HttpClient>& link,
            const KeyCall& call,
            const std::function<void()>& then);
  void OnChange();

  boost::asio::io_context& io_;
  GrantCoordinator duty_;
  const LoadReport self_;
  const GrantDurations times_;
  GrantLog& log_;
  const UpstreamProtocol& protocol_;
  Metrics& metrics_;
  Observer& observer_;
  InstanceChannel* channel_ = nullptr;
  boost::asio::steady_timer join_timer_;
  boost::asio::steady_timer read_timer_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer load_timer_;
  boost::asio::steady_timer successor_timer_;
  std::map<std::string, Channel, std::less<>> channels_;
  std::map<std::uint64_t, std::shared_ptr<HttpClient>> releases_;
  InstanceTracker reporters_;
  std::uint64_t seen_version_ = 0;
  std::uint32_t instances_ = 1;
  bool was_holder_ = false;
  bool was_active_ = false;
  // What this instance resigned with, if it did.
  TableUpdate resignation_;
  // When this instance became the holder.
  BootTime holder_since_{};
  bool reading_now_ = false;
  bool relayed_ = false;
  // Load reports without any load that were left out in a row.
  int empty_reports_ = 0;
  bool stopping_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_GRANT_DRIVER_H_
