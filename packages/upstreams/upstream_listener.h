// Interface for the events of UpstreamSender.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_LISTENER_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_LISTENER_H_

#include "ownership/controller_input.h"

namespace pollenrudder {

// Implemented by the daemon, which forwards the events to Controller. Called on
// the upstream I/O thread.
class UpstreamListener {
 public:
  virtual ~UpstreamListener() = default;

  virtual void OnUpstreamObserved(UpstreamObserved event) = 0;
  virtual void OnFingerprintConfirmed(FingerprintConfirmed event) = 0;
  virtual void OnDrainFinished(DrainFinished event) = 0;
  virtual void OnLoadReported(LoadReported event) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_LISTENER_H_
