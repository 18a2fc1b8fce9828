// Interface through which the platform reports configuration and upstreams.

#ifndef POLLENRUDDER_FLEET_FLEET_OBSERVER_H_
#define POLLENRUDDER_FLEET_FLEET_OBSERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "fleet/configuration_document.h"
#include "fleet/fleet_change.h"
#include "fleet/listed_upstream.h"
#include "fleet/router_configuration.h"

namespace pollenrudder {

// Called on the event loop by the platform's readers. Its counterpart is
// FeedControl.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;

  // `document` is the encoded form of `configuration`. The version may be older
  // than one reported before; the observer then ignores it.
  virtual void OnConfiguration(
      std::shared_ptr<const RouterConfiguration> configuration,
      std::shared_ptr<const ConfigurationDocument> document) = 0;
  // The changes of the instance list between two positions; empty if there were
  // none.
  virtual void OnFleetChanges(std::uint64_t from,
                              std::uint64_t to,
                              const std::vector<FleetChange>& changes) = 0;
  // The whole instance list at `position`. Reported before were the changes up
  // to `previous_position`, which is 0 for the first list.
  virtual void OnFleetSnapshot(std::uint64_t previous_position,
                               std::uint64_t position,
                               const std::vector<ListedUpstream>& entries) = 0;
  // The availability zones that the operator evacuates, as of `position` in the
  // operator's topic, which contains the epoch of the store. May be older than
  // what another instance has read; the observer then ignores it.
  virtual void OnEvacuatedZones(
      std::uint64_t position,
      const std::set<std::string, std::less<>>& zones) = 0;
  // This instance has read the operator's topic as of `as_of`, and reported all
  // changes.
  virtual void OnEvacuationsRead(BootTime as_of) = 0;
  // The instance list cannot be read, or can be read again.
  virtual void OnListUnavailable() = 0;
  virtual void OnListAvailable() = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_OBSERVER_H_
