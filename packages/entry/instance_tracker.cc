// InstanceTracker: a map by address.

#include "entry/instance_tracker.h"

#include <algorithm>

namespace pollenrudder {

bool InstanceTracker::OnLoadReport(const LoadReport& report,
                                   const std::string& address,
                                   BootTime now) {
  Instance& instance = by_address_[address];
  const bool is_new = !IsReporting(instance, now);
  instance = {report.instance, report.zone, report.cores,
              is_new ? now : instance.first_report, now};
  return is_new;
}

std::vector<std::string> InstanceTracker::Addresses(BootTime now) const {
  std::vector<std::string> addresses;
  for (const auto& [address, instance] : by_address_) {
    if (IsReporting(instance, now))
      addresses.push_back(address);
  }
  return addresses;
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
