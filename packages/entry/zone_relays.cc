// ZoneRelays: keeps the present relays where that is possible.

#include "entry/zone_relays.h"

#include <utility>

namespace pollenrudder {
namespace {

// A relay that has not reported for this long is replaced.
constexpr std::chrono::milliseconds kRelayTimeout{1200};
// An instance with this many times the cores of a relay replaces it.
constexpr double kReplacementCoresRatio = 2;

}  // namespace

ZoneRelays::ZoneRelays(const LoadReport& self, std::string self_address)
    : self_(self), self_address_(std::move(self_address)) {}

const ZoneRelays::Addresses& ZoneRelays::Choose(const InstanceTracker& tracker,
                                                std::uint32_t instances,
                                                BootTime now) {
  if (instances <= kMaxDirectInstances) {
    addresses_.clear();
    return addresses_;
  }
  Addresses chosen;
  for (const auto& [zone, strongest] : tracker.StrongestByZone(now)) {
    const std::string current = RelayOf(zone);
    const InstanceTracker::Instance* known = tracker.Find(current);
    const bool keeps = known != nullptr && known->zone == zone &&
                       now < known->last_report + kRelayTimeout &&
                       strongest.cores < kReplacementCoresRatio * known->cores;
    chosen[zone] = keeps ? current : strongest.address;
  }
  // The leader has other work, so it is the relay of its own zone only if no
  // other instance there is as strong.
  const auto own = chosen.find(self_.zone);
  const InstanceTracker::Instance* other =
      own == chosen.end() ? nullptr : tracker.Find(own->second);
  if (other == nullptr || other->cores < self_.cores)
    chosen[self_.zone] = self_address_;
  addresses_ = std::move(chosen);
  return addresses_;
}

std::string ZoneRelays::RelayOf(std::string_view zone) const {
  const auto it = addresses_.find(zone);
  return it == addresses_.end() ? std::string() : it->second;
}

}  // namespace pollenrudder
