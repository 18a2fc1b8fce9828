// GrantDriver: load reports, the relays of the zones, and updates for the
// instances that report to this one.

#include <algorithm>
#include <utility>

#include "entry/grant_driver.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// While the relay is active, empty load reports are sent only at this interval,
// which keeps the sender a receiver of updates.
constexpr std::chrono::seconds kEmptyReportInterval{1};
// The interval of load reports for up to kReportersAtBaseInterval instances
// that report to the same one. It grows with their number, so that the load of
// the receiver does not.
constexpr milliseconds kLoadReportInterval{150};
constexpr std::uint32_t kReportersAtBaseInterval = 16;

}  // namespace

bool GrantDriver::OnLoadReport(const LoadReport& report,
                               const std::string& sender) {
  const BootTime now = BootClock::now();
  const bool is_new = instance_tracker_.OnLoadReport(report, sender, now);
  if (coordinator_.IsLeader())
    coordinator_.OnLoadReport(report, now);
  else if (IsZoneRelay())
    aggregator_.Add(report, now);
  // An instance that reports to the leader although its zone has a relay has
  // lost that relay or does not know it yet.
  const std::string relay = zone_relays_.RelayOf(report.zone);
  const bool bypasses_relay = coordinator_.IsLeader() && !relay.empty() &&
                              relay != sender && relay != address_;
  return is_new || bypasses_relay;
}

void GrantDriver::OnRelayedUpdate(const RelayedUpdate& update,
                                  InstanceChannel::Hop hop,
                                  const std::string& sender) {
  if (hop == InstanceChannel::Hop::kDirect)
    update_sender_ = sender;
  zone_relays_.Adopt(update.zone_relays);
  peers_ = update.peers;
  coordinator_.set_collects_updates(IsZoneRelay());
  if (update.instances == 0)
    return;
  instances_counted_ = true;
  SetInstanceCount(update.instances);
}

void GrantDriver::AddTopologyTo(RelayedUpdate& update) {
  if (coordinator_.IsLeader()) {
    const BootTime now = BootClock::now();
    std::uint32_t instances = instance_tracker_.CountInstances(now) + 1;
    // Not all instances have reported to a new leader yet.
    if (now < leader_started_at_ + InstanceTracker::kReportTimeout)
      instances = std::max(instances, instances_);
    instances_counted_ = true;
    SetInstanceCount(instances);
    zone_relays_.Choose(instance_tracker_, instances, now);
  }
  update.instances = instances_counted_ ? instances_ : 0;
  update.zone_relays = zone_relays_.addresses();
  if (!update.zone_relays.empty() || !coordinator_.IsLeader())
    return;
  update.peers = UpdateReceivers();
  update.peers.push_back(address_);
}

void GrantDriver::SetInstanceCount(std::uint32_t instances) {
  if (instances == instances_)
    return;
  instances_ = instances;
  observer_.OnInstanceCount(instances_);
}

InstanceChannel::Addresses GrantDriver::UpdateReceivers() const {
  const BootTime now = BootClock::now();
  InstanceChannel::Addresses receivers = instance_tracker_.Addresses(now);
  if (!coordinator_.IsLeader() ||
      now >= leader_started_at_ + InstanceTracker::kReportTimeout)
    return receivers;
  for (const std::string& relay : former_relays_) {
    if (std::ranges::find(receivers, relay) == receivers.end())
      receivers.push_back(relay);
  }
  return receivers;
}

InstanceChannel::Addresses GrantDriver::CrashReportReceivers() const {
  InstanceChannel::Addresses receivers;
  if (coordinator_.IsLeader()) {
    receivers = UpdateReceivers();
  } else if (IsZoneRelay()) {
    for (const auto& [zone, relay] : zone_relays_.addresses())
      receivers.push_back(relay);
    receivers.push_back(LeaderAddress());
  } else if (!peers_.empty()) {
    receivers = peers_;
  } else {
    receivers.push_back(ReportReceiver());
  }
  // The leader may be a relay, too.
  std::sort(receivers.begin(), receivers.end());
  receivers.erase(std::unique(receivers.begin(), receivers.end()),
                  receivers.end());
  std::erase(receivers, address_);
  std::erase(receivers, std::string());
  return receivers;
}

InstanceChannel::Addresses GrantDriver::DirectInstances() const {
  InstanceChannel::Addresses instances = CrashReportReceivers();
  for (const std::string& receiver : UpdateReceivers()) {
    if (std::ranges::find(instances, receiver) == instances.end())
      instances.push_back(receiver);
  }
  return instances;
}

void GrantDriver::SendToInstances(const RelayedUpdate& update) {
  channel_->Send(UpdateReceivers(), update, HopOfOwnUpdates());
}

void GrantDriver::SendUpdate(const TableUpdate& update) {
  sent_updates_.Add(update);
  channel_->Send(UpdateReceivers(), update, HopOfOwnUpdates());
}

void GrantDriver::OnUpdatesRequested(std::uint64_t next_offset,
                                     const std::string& sender) {
  for (const TableUpdate& update : sent_updates_.From(next_offset))
    channel_->Send({sender}, update, InstanceChannel::Hop::kForwarded);
}

std::uint32_t GrantDriver::CountReporters() const {
  const auto zones =
      static_cast<std::uint32_t>(zone_relays_.addresses().size());
  if (zones == 0 || !relay_active_)
    return instances_;
  return IsZoneRelay() ? zones : instances_ / zones;
}

void GrantDriver::ScheduleLoadReport() {
  const auto interval_factor =
      std::max(1U, CountReporters() / kReportersAtBaseInterval);
  load_timer_.expires_after(kLoadReportInterval * interval_factor);
  load_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    ScheduleLoadReport();
    const BootTime now = BootClock::now();
    LoadReport report = self_;
    report.services = observer_.TakeLoad();
    if (coordinator_.IsLeader()) {
      coordinator_.OnLoadReport(report, now);
      return;
    }
    if (IsZoneRelay()) {
      aggregator_.AddTo(report.services, now);
      report.instances = instance_tracker_.CountInstances(now) + 1;
      if (const auto* strongest = instance_tracker_.WithMostCores(now)) {
        report.strongest_member = {strongest->instance, strongest->address,
                                   strongest->cores};
      }
    }
    // Without the relay, the first report makes the leader send updates.
    if (report.services.empty() && relay_active_ &&
        now < last_report_ + kEmptyReportInterval)
      return;
    last_report_ = now;
    SendLoadReport(report);
  });
}

std::string GrantDriver::LeaderAddress() const {
  if (!update_sender_.empty())
    return update_sender_;
  const auto& term = coordinator_.term();
  return term && !term->resigned ? term->report_address : std::string();
}

std::string GrantDriver::ReportReceiver() const {
  const std::string relay =
      relay_active_ ? zone_relays_.RelayOf(self_.zone) : std::string();
  return relay.empty() || relay == address_ ? LeaderAddress() : relay;
}

void GrantDriver::SendLoadReport(const LoadReport& report) {
  const std::string receiver = ReportReceiver();
  if (!coordinator_.IsLeader() && !receiver.empty())
    channel_->Send({receiver}, report);
}

void GrantDriver::ReportToLeader() {
  const std::string leader = LeaderAddress();
  if (!coordinator_.IsLeader() && !leader.empty())
    channel_->Send({leader}, self_);
}

}  // namespace pollenrudder
