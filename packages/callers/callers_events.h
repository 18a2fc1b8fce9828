// Log events of the callers package.

#ifndef POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
#define POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// A request ended without an answer; `error` is its kind.
inline constexpr LogEvent kRequestFailed{7001, "request_failed",
                                         LogLevel::kInfo};
// Another instance sent a request that is not in the forwarding protocol.
inline constexpr LogEvent kForwardRefused{7002, "forward_refused",
                                          LogLevel::kWarning};
// A connection was closed because too many are open.
inline constexpr LogEvent kConnectionRefused{7003, "connection_refused",
                                             LogLevel::kWarning};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
