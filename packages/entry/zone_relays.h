// Chooses the instances through which the grant leader reaches the others.

#ifndef POLLENRUDDER_ENTRY_ZONE_RELAYS_H_
#define POLLENRUDDER_ENTRY_ZONE_RELAYS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/boot_clock.h"
#include "entry/instance_tracker.h"
#include "grants/load_report.h"

namespace pollenrudder {

// With few instances, the leader sends its updates to each of them. With more,
// it sends them to one relay in each availability zone, which forwards them to
// the instances that report to it and reports the load of all. The work of the
// leader, the traffic between regions and the number of instances that read the
// store then grow with the number of zones.
//
// A relay keeps its role as long as it reports, unless an instance with far
// more cores is there.
class ZoneRelays {
 public:
  // By availability zone: the "ip:port" of its relay.
  using Addresses = std::map<std::string, std::string, std::less<>>;

  // Up to this number of instances, the leader serves all of them directly.
  static constexpr std::uint32_t kMaxDirectInstances = 32;

  // `self` describes the leader, which is reachable at `self_address`.
  ZoneRelays(const LoadReport& self, std::string self_address);

  // Returns the relays, or nothing for few instances. `instances` includes the
  // leader.
  const Addresses& Choose(const InstanceTracker& tracker,
                          std::uint32_t instances,
                          BootTime now);
  // Takes over the choice of another leader.
  void Adopt(const Addresses& addresses) { addresses_ = addresses; }

  const Addresses& addresses() const { return addresses_; }
  // Returns the relay of `zone`, or an empty string if there is none.
  std::string RelayOf(std::string_view zone) const;

 private:
  const LoadReport self_;
  const std::string self_address_;
  Addresses addresses_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ZONE_RELAYS_H_
