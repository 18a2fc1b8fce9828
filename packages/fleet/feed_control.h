// How the platform's readers are steered.

#ifndef POLLENRUDDER_FLEET_FEED_CONTROL_H_
#define POLLENRUDDER_FLEET_FEED_CONTROL_H_

#include <cstdint>

#include "fleet/configuration_document.h"

namespace pollenrudder {

// The other side of FleetObserver. While another instance relays its news, the
// readers of this one rest: calls to the store are billed and limited.
class FeedControl {
 public:
  virtual ~FeedControl() = default;

  // How far the list has been read; grows with each change.
  virtual std::uint64_t list_position() const = 0;
  // Relayed changes have been applied up to this position.
  virtual void AdvanceListPosition(std::uint64_t position) = 0;
  // Reads what has changed, once.
  virtual void ReadListNow() = 0;
  virtual void ReadConfigurationNow() = 0;
  // Takes a configuration that another instance has read.
  virtual void ApplyConfiguration(ConfigurationDocument document) = 0;
  // Whether news are relayed; if not, the readers work by themselves.
  virtual void SetRelayActive(bool relayed) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FEED_CONTROL_H_
