// Log events of pollenrudderd in document mode.

#ifndef POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_
#define POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// The daemon serves requests; the fields are its identity and bound addresses.
inline constexpr LogEvent kDaemonStarted{1001, "daemon_started",
                                         LogLevel::kInfo};
// SIGTERM or SIGINT was received; the daemon hands over its terms.
inline constexpr LogEvent kDaemonLeaveStarted{1002, "daemon_leave_started",
                                              LogLevel::kInfo};
// All terms are handed over; the daemon finishes the requests of its callers.
inline constexpr LogEvent kHandoverFinished{1003, "handover_finished",
                                            LogLevel::kInfo};
// Some terms were not handed over before the timeout or a second signal; their
// leases expire.
inline constexpr LogEvent kHandoverTimedOut{1004, "handover_timed_out",
                                            LogLevel::kWarning};
// The daemon has finished its planned leave and exits.
inline constexpr LogEvent kDaemonStopped{1005, "daemon_stopped",
                                         LogLevel::kInfo};
// The log could not be read; the state was loaded from an instance of the same
// availability zone.
inline constexpr LogEvent kSnapshotLoaded{1006, "snapshot_loaded",
                                          LogLevel::kInfo};
// The state of an instance of the same availability zone could not be loaded.
inline constexpr LogEvent kSnapshotFailed{1007, "snapshot_failed",
                                          LogLevel::kWarning};
// The input queue of the control thread was full; an event was dropped.
inline constexpr LogEvent kInputDropped{1008, "input_dropped",
                                        LogLevel::kError};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_
