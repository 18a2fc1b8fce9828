// Tracks the instances that send load reports to the grant leader.

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

// The leader uses it to choose the receivers of updates, its successor and, for
// each availability zone, the instance from which the others of the zone fetch
// a configuration. An instance that has not reported for kReportTimeout is
// ignored.
class InstanceTracker {
 public:
  static constexpr std::chrono::seconds kReportTimeout{5};

  struct Instance {
    std::string instance;
    std::string zone;
    // The processor time that the instance may use, in cores.
    double cores = 1;
    // The first and the last report without a gap of kReportTimeout between.
    BootTime first_report{};
    BootTime last_report{};
  };

  // `address` is the "ip:port" from which the report came. Returns whether the
  // instance had not reported within kReportTimeout.
  bool OnLoadReport(const LoadReport& report,
                    const std::string& address,
                    BootTime now);

  // Returns the addresses of the instances that report.
  std::vector<std::string> Addresses(BootTime now) const;
  // Returns the address of `instance`, even if it no longer reports.
  std::optional<std::string> AddressOf(std::string_view instance) const;
  // Returns the instance with the most cores, or nullptr if none reports.
  const Instance* WithMostCores(BootTime now) const;
  // Returns the address of one instance for each zone. `rotation` spreads the
  // choice over the instances with the most cores of a zone.
  std::map<std::string, std::string, std::less<>> OnePerZone(
      std::uint64_t rotation,
      BootTime now) const;

 private:
  static bool IsReporting(const Instance& instance, BootTime now) {
    return now < instance.last_report + kReportTimeout;
  }

  std::map<std::string, Instance, std::less<>> by_address_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_INSTANCE_TRACKER_H_
