// Callbacks through which Dispatcher reports its decisions.

#ifndef POLLENRUDDER_DISPATCH_DISPATCH_LISTENER_H_
#define POLLENRUDDER_DISPATCH_DISPATCH_LISTENER_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/error_kind.h"
#include "dispatch/dispatch_request.h"
#include "fleet/listed_upstream.h"

namespace pollenrudder {

// Called from within the functions of Dispatcher. The callbacks may call its
// const functions only.
class DispatchListener {
 public:
  virtual ~DispatchListener() = default;

  // Called right before a send. Returns true if the request must not be sent
  // any more, for example because the caller has gone. The listener has ended
  // it then, and the dispatcher drops it without any further callback.
  virtual bool DropIfObsolete(const DispatchRequest& request) = 0;
  // If `needs_confirmation`, `upstream` may be cold, and has to state that it
  // is not before it gets the request. The request is not sent otherwise.
  virtual void OnSend(const DispatchRequest& request,
                      const ListedUpstream& upstream,
                      bool needs_confirmation) = 0;
  // A cold period of `upstream` has begun, in which the requests to it are
  // divided among `instances` instances. `reason` is a fixed word for logs and
  // metrics.
  virtual void OnColdPeriod(const ListedUpstream& upstream,
                            std::string_view reason,
                            std::chrono::nanoseconds duration,
                            std::uint32_t instances) = 0;
  // `kind` is one of the kNotRun kinds. `retry_after` is the time after which
  // capacity is likely to be available.
  virtual void OnRefuse(const DispatchRequest& request,
                        ErrorKind kind,
                        std::chrono::nanoseconds retry_after) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCH_LISTENER_H_
