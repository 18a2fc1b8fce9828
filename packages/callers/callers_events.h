// Log events of the callers package.

#ifndef POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
#define POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// The ingress chose the upstream and the leader of a request.
inline constexpr LogEvent kRequestRouted{7001, "request_routed",
                                         LogLevel::kInfo};
// A request ended without an answer; `error` is its kind.
inline constexpr LogEvent kRequestFailed{7002, "request_failed",
                                         LogLevel::kInfo};
// A request is sent again after it was not run, or by the retry budget.
inline constexpr LogEvent kRequestRetried{7003, "request_retried",
                                          LogLevel::kInfo};
// A request could not be read and was refused.
inline constexpr LogEvent kRequestRefused{7004, "request_refused",
                                          LogLevel::kInfo};
// Another instance sent a request that is not in the forwarding protocol.
inline constexpr LogEvent kForwardRefused{7005, "forward_refused",
                                          LogLevel::kWarning};
// A connection was closed because too many are open.
inline constexpr LogEvent kConnectionRefused{7006, "connection_refused",
                                             LogLevel::kWarning};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
