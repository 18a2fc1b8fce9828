// Log events of the callers package.

#ifndef POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
#define POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// A request ended without a response from an upstream; `error` is the reason.
inline constexpr LogEvent kRequestFailed{7001, "request_failed",
                                         LogLevel::kInfo};
// Another instance sent a request with missing or malformed forwarding headers.
inline constexpr LogEvent kForwardRefused{7002, "forward_refused",
                                          LogLevel::kWarning};
// The connection limit was reached: the connection that has been inactive for
// longest was closed, or the new one if all have a request in progress.
inline constexpr LogEvent kConnectionRefused{7003, "connection_refused",
                                             LogLevel::kWarning};
// The memory of a connection without progress was taken; it is closed.
inline constexpr LogEvent kSessionReclaimed{7004, "session_reclaimed",
                                            LogLevel::kWarning};
// A connection is closed for lack of memory for its response.
inline constexpr LogEvent kResponseDropped{7005, "response_dropped",
                                           LogLevel::kWarning};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLERS_EVENTS_H_
