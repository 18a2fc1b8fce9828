// EntryInstance: messages to and from the other instances.

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/log_position.h"
#include "entry/entry_events.h"
#include "entry/entry_instance.h"

namespace pollenrudder {
namespace {

// A relay of a zone that has lost the leader sends updates of its own after at
// most this part of the list interval. The instances that it feeds wait for
// them: if all read the list, they fill the link between the regions.
constexpr double kRelayTakeoverShare = 0.55;

}  // namespace

bool EntryInstance::SendsOwnUpdates() const {
  const GrantCoordinator& coordinator = grant_driver_.coordinator();
  if (coordinator.IsLeader())
    return coordinator.IsActive(BootClock::now());
  return grant_driver_.IsZoneRelay() && !update_relay_.IsRelayActive();
}

void EntryInstance::SendUpdate() {
  if (!SendsOwnUpdates())
    return;
  grant_driver_.SendToInstances(MakeUpdate());
  SendPresentQuarantine(grant_driver_.DirectInstances(),
                        InstanceChannel::Hop::kDirect);
}

void EntryInstance::SendPresentQuarantine(
    const InstanceChannel::Addresses& receivers,
    InstanceChannel::Hop hop) {
  const QuarantineMessage message =
      crash_guard_.MakeQuarantineMessage(BootClock::now());
  if (!message.entries.empty())
    channel_->Send(receivers, message, hop);
}

RelayedUpdate EntryInstance::MakeUpdate() {
  RelayedUpdate update = update_relay_.MakeUpdate(
      configuration_ ? configuration_->version : 0,
      grant_driver_.coordinator().last_change_offset());
  if (configuration_relay_.IsServing()) {
    update.configuration_sources = grant_driver_.instance_tracker().OnePerZone(
        update.configuration_version, BootClock::now());
    update.configuration_sources[settings_.zone] = settings_.report_address;
  }
  update.evacuations_position = evacuations_position_;
  update.evacuated_zones = evacuated_zones_;
  update.evacuations_age = contact_.EvacuationsAge(BootClock::now());
  grant_driver_.AddTopologyTo(update);
  if (update.instances > 0)
    contact_.OnInstancesCounted();
  return update;
}

void EntryInstance::OnLoadReport(const LoadReport& report,
                                 const std::string& sender) {
  const bool is_new = grant_driver_.OnLoadReport(report, sender);
  // A new instance reads the store itself until it receives an update from the
  // leader.
  if (!is_new)
    return;
  SendPresentQuarantine({sender}, InstanceChannel::Hop::kForwarded);
  if (SendsOwnUpdates()) {
    if (update_relay_.HasCurrentRead(BootClock::now()))
      channel_->Send({sender}, MakeUpdate(), grant_driver_.HopOfOwnUpdates());
  } else if (update_relay_.IsRelayActive()) {
    channel_->Send({sender}, LastUpdate(), InstanceChannel::Hop::kForwarded);
  }
}

void EntryInstance::OnTableUpdate(const TableUpdate& update,
                                  InstanceChannel::Hop hop) {
  grant_driver_.OnTableUpdate(update, hop);
}

void EntryInstance::OnUpdatesRequested(std::uint64_t next_offset,
                                       const std::string& sender) {
  grant_driver_.OnUpdatesRequested(next_offset, sender);
}

void EntryInstance::OnCrashMessage(const CrashMessage& message,
                                   InstanceChannel::Hop hop) {
  if (hop == InstanceChannel::Hop::kDirect && grant_driver_.IsZoneRelay()) {
    channel_->Send(grant_driver_.CrashReportReceivers(), message,
                   InstanceChannel::Hop::kForwarded);
  }
  crash_guard_.OnCrashMessage(message, BootClock::now());
}

void EntryInstance::OnQuarantineMessage(const QuarantineMessage& message,
                                        InstanceChannel::Hop hop) {
  const BootTime now = BootClock::now();
  if (hop == InstanceChannel::Hop::kDirect && grant_driver_.IsZoneRelay()) {
    channel_->Send(grant_driver_.instance_tracker().Addresses(now), message,
                   InstanceChannel::Hop::kForwarded);
  }
  crash_guard_.OnQuarantineMessage(message, now);
}

void EntryInstance::SendCrashMessage(const CrashMessage& message) {
  channel_->Send(grant_driver_.CrashReportReceivers(), message,
                 InstanceChannel::Hop::kDirect);
}

void EntryInstance::SendQuarantine(const QuarantineMessage& message) {
  channel_->Send(grant_driver_.DirectInstances(), message,
                 InstanceChannel::Hop::kDirect);
}

void EntryInstance::OnRelayedUpdate(const RelayedUpdate& update,
                                    InstanceChannel::Hop hop,
                                    const std::string& sender) {
  // Also at a leader: one that is cut off from the store may not know yet that
  // another has taken over.
  if (feeds_ != nullptr && update.evacuations_position > 0) {
    feeds_->ApplyEvacuatedZones(update.evacuations_position,
                                update.evacuated_zones);
  }
  // The leader reads the store itself.
  if (grant_driver_.coordinator().IsLeader())
    return;
  last_update_ = update;
  last_update_time_ = BootClock::now();
  if (feeds_ != nullptr && feeds_->list_position() > 0 &&
      LogEpochOf(update.list_to) > LogEpochOf(feeds_->list_position())) {
    fleet_.OnListAvailable(BootClock::now());
    configuration_relay_.ServeAgain();
  }
  grant_driver_.OnRelayedUpdate(update, hop, sender);
  if (hop == InstanceChannel::Hop::kDirect)
    grant_driver_.SendToInstances(update);
  update_relay_.OnRelayedUpdate(
      update, configuration_ ? configuration_->version : 0,
      hop == InstanceChannel::Hop::kForwarded
          ? std::chrono::duration_cast<std::chrono::nanoseconds>(
                settings_.list_interval * kRelayTakeoverShare)
          : std::chrono::nanoseconds(0));
  UpdateContact(update);
  grant_driver_.OnLogEnd(update.grant_log_offset);
}

RelayedUpdate EntryInstance::LastUpdate() const {
  RelayedUpdate update = last_update_;
  const auto kept = BootClock::now() - last_update_time_;
  if (update.list_age)
    *update.list_age += kept;
  if (update.evacuations_age)
    *update.evacuations_age += kept;
  return update;
}

void EntryInstance::UpdateContact(const RelayedUpdate& update) {
  if (feeds_ == nullptr)
    return;
  if (update.instances > 0)
    contact_.OnInstancesCounted();
  const BootTime now = BootClock::now();
  // An update that begins after the list of this instance leaves a gap.
  if (update.list_age && update.list_to <= feeds_->list_position())
    contact_.OnListRead(now - *update.list_age);
  if (update.evacuations_age &&
      update.evacuations_position <= evacuations_position_)
    contact_.OnEvacuationsRead(now - *update.evacuations_age);
}

void EntryInstance::OnRelayedChanges(const std::vector<FleetChange>& changes) {
  ApplyChanges(changes);
}

void EntryInstance::OnNewerConfiguration(const RelayedUpdate& update) {
  const std::string source = ConfigurationSource(update);
  if (source.empty())
    feeds_->ReadConfigurationNow();
  else
    configuration_relay_.Fetch(update.configuration_version, source);
}

std::string EntryInstance::ConfigurationSource(
    const RelayedUpdate& update) const {
  const auto& sources = update.configuration_sources;
  const auto own = sources.find(settings_.zone);
  if (own == sources.end())
    return {};
  if (own->second != settings_.report_address)
    return own->second;
  if (list_available_)
    return {};
  // The leader names itself as the source of its zone, and has the version.
  const std::string leader = grant_driver_.LeaderAddress();
  std::string other;
  for (const auto& [zone, source] : sources) {
    if (source == leader)
      return source;
    if (other.empty() && source != settings_.report_address)
      other = source;
  }
  return other;
}

void EntryInstance::OnConfigurationFetched(
    const ConfigurationDocument& document) {
  feeds_->ApplyConfiguration(document);
}

void EntryInstance::OnConfigurationFetchFailed() {
  feeds_->ReadConfigurationNow();
}

void EntryInstance::OnUpdateLate() {
  grant_driver_.ReportToLeader();
}

void EntryInstance::OnRelayChanged(bool active) {
  EventLog::Write(active ? kRelayStarted : kRelayStopped, {});
  grant_driver_.SetRelayActive(active);
}

}  // namespace pollenrudder
