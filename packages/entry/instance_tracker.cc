// InstanceTracker: a map by address.

#include "entry/instance_tracker.h"

#include <algorithm>

namespace pollenrudder {

bool InstanceTracker::OnLoadReport(const LoadReport& report,
                                   const std::string& address,
                                   BootTime now) {
  const auto record = [&](const std::string& name, const std::string& at,
                          double cores) -> Instance& {
    Instance& instance = by_address_[at];
    if (!IsReporting(instance, now))
      instance.first_report = now;
    instance.instance = name;
    instance.address = at;
    instance.zone = report.zone;
    instance.cores = cores;
    instance.last_report = now;
    return instance;
  };
  if (const auto& member = report.strongest_member)
    record(member->instance, member->address, member->cores);
  Instance& sender = record(report.instance, address, report.cores);
  const bool is_new = !IsReportingDirectly(sender, now);
  sender.last_direct_report = now;
  sender.instances = report.instances;
  return is_new;
}

std::vector<std::string> InstanceTracker::Addresses(BootTime now) const {
  std::vector<std::string> addresses;
  for (const auto& [address, instance] : by_address_) {
    if (IsReportingDirectly(instance, now))
      addresses.push_back(address);
  }
  return addresses;
}

std::uint32_t InstanceTracker::CountInstances(BootTime now) const {
  std::uint32_t count = 0;
  for (const auto& [address, instance] : by_address_) {
    if (IsReportingDirectly(instance, now))
      count += instance.instances;
  }
  return count;
}

const InstanceTracker::Instance* InstanceTracker::Find(
    std::string_view address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : &it->second;
}

std::optional<std::string> InstanceTracker::AddressOf(
    std::string_view instance) const {
  const auto it = std::ranges::find_if(by_address_, [&](const auto& known) {
    return known.second.instance == instance;
  });
  if (it == by_address_.end())
    return std::nullopt;
  return it->first;
}

const InstanceTracker::Instance* InstanceTracker::WithMostCores(
    BootTime now) const {
  const Instance* best = nullptr;
  for (const auto& [address, instance] : by_address_) {
    if (IsReporting(instance, now) &&
        (best == nullptr || instance.cores > best->cores))
      best = &instance;
  }
  return best;
}

std::map<std::string, InstanceTracker::Instance, std::less<>>
InstanceTracker::StrongestByZone(BootTime now) const {
  std::map<std::string, Instance, std::less<>> strongest;
  for (const auto& [address, instance] : by_address_) {
    if (!IsReporting(instance, now))
      continue;
    const auto [it, added] = strongest.try_emplace(instance.zone, instance);
    if (!added && instance.cores > it->second.cores)
      it->second = instance;
  }
  return strongest;
}

std::map<std::string, std::string, std::less<>> InstanceTracker::OnePerZone(
    std::uint64_t rotation,
    BootTime now) const {
  struct Candidates {
    double cores = 0;
    std::vector<std::string> addresses;
  };
  std::map<std::string, Candidates, std::less<>> by_zone;
  for (const auto& [address, instance] : by_address_) {
    if (!IsReporting(instance, now))
      continue;
    Candidates& candidates = by_zone[instance.zone];
    if (instance.cores > candidates.cores)
      candidates = {instance.cores, {}};
    if (instance.cores >= candidates.cores)
      candidates.addresses.push_back(address);
  }
  std::map<std::string, std::string, std::less<>> chosen;
  for (const auto& [zone, candidates] : by_zone)
    chosen[zone] = candidates.addresses[rotation % candidates.addresses.size()];
  return chosen;
}

}  // namespace pollenrudder
