// Interface through which an instance controls the platform's readers.

#ifndef POLLENRUDDER_FLEET_FEED_CONTROL_H_
#define POLLENRUDDER_FLEET_FEED_CONTROL_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "fleet/configuration_document.h"

namespace pollenrudder {

// The counterpart of FleetObserver. While the relay is active, the readers of
// this instance pause, because calls to the store are billed and limited.
class FeedControl {
 public:
  virtual ~FeedControl() = default;

  // The position up to which the instance list has been read, with the epoch of
  // the list (see base/log_position.h). It grows with each change and with each
  // restoration from an earlier copy.
  virtual std::uint64_t list_position() const = 0;
  // Relayed changes have been applied up to `position`.
  virtual void AdvanceListPosition(std::uint64_t position) = 0;
  // Reads once, even while the relay is active.
  virtual void ReadListNow() = 0;
  virtual void ReadConfigurationNow() = 0;
  // Applies a configuration that another instance has read.
  virtual void ApplyConfiguration(ConfigurationDocument document) = 0;
  // Another instance has read that these availability zones, and no others, are
  // evacuated as of `position`.
  virtual void ApplyEvacuatedZones(
      std::uint64_t position,
      const std::set<std::string, std::less<>>& zones) = 0;
  // Pauses the readers while the relay is active.
  virtual void SetRelayActive(bool active) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FEED_CONTROL_H_
