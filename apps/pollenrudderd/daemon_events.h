// Log events of the daemon.

#ifndef POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_
#define POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// The daemon serves; the fields are its identity and its bound addresses.
inline constexpr LogEvent kDaemonStarted{1001, "daemon_started",
                                         LogLevel::kInfo};
// SIGTERM or SIGINT: the daemon hands over what it leads.
inline constexpr LogEvent kDaemonLeaveStarted{1002, "daemon_leave_started",
                                              LogLevel::kInfo};
// All terms are handed over; callers are served until their requests end.
inline constexpr LogEvent kHandoverFinished{1003, "handover_finished",
                                            LogLevel::kInfo};
// The terms could not be handed over in time; their leases lapse.
inline constexpr LogEvent kHandoverTimedOut{1004, "handover_timed_out",
                                            LogLevel::kWarning};
// The daemon ends.
inline constexpr LogEvent kDaemonStopped{1005, "daemon_stopped",
                                         LogLevel::kInfo};
// A state was taken from a zone peer, since the log could not be read.
inline constexpr LogEvent kSnapshotLoaded{1006, "snapshot_loaded",
                                          LogLevel::kInfo};
// A zone peer's state could not be taken.
inline constexpr LogEvent kSnapshotFailed{1007, "snapshot_failed",
                                          LogLevel::kWarning};
// An event for the control thread found no room and was dropped.
inline constexpr LogEvent kInputDropped{1008, "input_dropped",
                                        LogLevel::kError};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_DAEMON_EVENTS_H_
