// The instances that report to the holder of the granting duty.

#ifndef POLLENRUDDER_ENTRY_INSTANCE_TRACKER_H_
#define POLLENRUDDER_ENTRY_INSTANCE_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Knows the other instances by their load reports: who gets news and updates,
// who is strong enough to take over, who passes configurations on in a zone.
// One that has not reported for kReportTimeout does not count.
class InstanceTracker {
 public:
  static constexpr std::chrono::seconds kReportTimeout{5};

  struct Instance {
    std::string instance;
    std::string zone;
    // The processor time that it may use.
    double cores = 1;
    // The first and the last report without a gap of kReportTimeout between.
    BootTime first_report{};
    BootTime last_report{};
  };

  // `address` is the "ip:port" from which the report came. Returns whether it
  // has not reported lately.
  bool OnLoadReport(const LoadReport& report,
                    const std::string& address,
                    BootTime now);

  // The addresses of those that report.
  std::vector<std::string> Addresses(BootTime now) const;
  // The address of `instance`, also if it does not report any more.
  std::optional<std::string> AddressOf(std::string_view instance) const;
  // The one with the most processor time; nullptr without any.
  const Instance* WithMostCores(BootTime now) const;
  // The address of one for each availability zone. `turn` spreads the choice
  // over the strongest ones of a zone.
  std::map<std::string, std::string, std::less<>> OnePerZone(
      std::uint64_t turn,
      BootTime now) const;

 private:
  static bool IsAlive(const Instance& reporter, BootTime now) {
    return now < reporter.last_report + kReportTimeout;
  }

  std::map<std::string, Instance, std::less<>> by_address_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_INSTANCE_TRACKER_H_
