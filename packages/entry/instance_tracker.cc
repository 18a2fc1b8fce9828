// Reporters: a map by address.

#include "entry/instance_tracker.h"

#include <algorithm>

namespace pollenrudder {

bool InstanceTracker::OnLoadReport(const LoadReport& report,
                                   const std::string& address,
                                   BootTime now) {
  Instance& reporter = by_address_[address];
  const bool is_new = !IsAlive(reporter, now);
  reporter = {report.instance, report.zone, report.cores,
              is_new ? now : reporter.first_report, now};
  return is_new;
}

std::vector<std::string> InstanceTracker::Addresses(BootTime now) const {
  std::vector<std::string> addresses;
  for (const auto& [address, reporter] : by_address_) {
    if (IsAlive(reporter, now))
      addresses.push_back(address);
  }
  return addresses;
}

std::optional<std::string> InstanceTracker::AddressOf(
    std::string_view instance) const {
  const auto at = std::ranges::find_if(by_address_, [&](const auto& known) {
    return known.second.instance == instance;
  });
  if (at == by_address_.end())
    return std::nullopt;
  return at->first;
}

const InstanceTracker::Instance* InstanceTracker::WithMostCores(
    BootTime now) const {
  const Instance* strongest = nullptr;
  for (const auto& [address, reporter] : by_address_) {
    if (IsAlive(reporter, now) &&
        (strongest == nullptr || reporter.cores > strongest->cores))
      strongest = &reporter;
  }
  return strongest;
}

std::map<std::string, std::string, std::less<>> InstanceTracker::OnePerZone(
    std::uint64_t turn,
    BootTime now) const {
  struct WithMostCores {
    double cores = 0;
    std::vector<std::string> addresses;
  };
  std::map<std::string, WithMostCores, std::less<>> by_zone;
  for (const auto& [address, reporter] : by_address_) {
    if (!IsAlive(reporter, now))
      continue;
    WithMostCores& strongest = by_zone[reporter.zone];
    if (reporter.cores > strongest.cores)
      strongest = {reporter.cores, {}};
    if (reporter.cores >= strongest.cores)
      strongest.addresses.push_back(address);
  }
  std::map<std::string, std::string, std::less<>> chosen;
  for (const auto& [zone, strongest] : by_zone)
    chosen[zone] = strongest.addresses[turn % strongest.addresses.size()];
  return chosen;
}

}  // namespace pollenrudder
