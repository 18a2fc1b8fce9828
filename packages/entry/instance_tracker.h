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
    // "ip:port" to which updates are sent.
    std::string address;
    std::string zone;
    // The processor time that the instance may use, in cores.
    double cores = 1;
    // The first and the last report without a gap of kReportTimeout between.
    BootTime first_report{};
    BootTime last_report{};
    // When the instance itself last reported, rather than the relay of its
    // zone.
    BootTime last_direct_report{};
    // The number of instances whose load its report contained.
    std::uint32_t instances = 1;
  };

  // `address` is the "ip:port" from which the report came. Returns whether the
  // instance itself had not reported within kReportTimeout.
  bool OnLoadReport(const LoadReport& report,
                    const std::string& address,
                    BootTime now);

  // Returns the addresses of the instances that report themselves.
  std::vector<std::string> Addresses(BootTime now) const;
  // Returns the number of instances that report themselves or through one of
  // them.
  std::uint32_t CountInstances(BootTime now) const;
  // Returns the instance at `address`, or nullptr.
  const Instance* Find(std::string_view address) const;
  // Returns the address of `instance`, even if it no longer reports.
  std::optional<std::string> AddressOf(std::string_view instance) const;
  // Returns the instance with the most cores, or nullptr if none reports.
  const Instance* WithMostCores(BootTime now) const;
  // Returns the instance with the most cores of each zone.
  std::map<std::string, Instance, std::less<>> StrongestByZone(
      BootTime now) const;
  // Returns the address of one instance for each zone. `rotation` spreads the
  // choice over the instances with the most cores of a zone.
  std::map<std::string, std::string, std::less<>> OnePerZone(
      std::uint64_t rotation,
      BootTime now) const;

 private:
  static bool IsReporting(const Instance& instance, BootTime now) {
    return now < instance.last_report + kReportTimeout;
  }
  static bool IsReportingDirectly(const Instance& instance, BootTime now) {
    return now < instance.last_direct_report + kReportTimeout;
  }

  std::map<std::string, Instance, std::less<>> by_address_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_INSTANCE_TRACKER_H_
