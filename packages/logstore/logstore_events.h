// The log events of the platform package.

#ifndef POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_
#define POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// The log service stopped answering reads.
inline constexpr LogEvent kLogUnavailable{4001, "log_unavailable",
                                          LogLevel::kWarning};
// The log service answers reads again.
inline constexpr LogEvent kLogAvailable{4002, "log_available", LogLevel::kInfo};
// An append got no valid answer: the record may or may not be on the log.
inline constexpr LogEvent kAppendUnconfirmed{4003, "append_unconfirmed",
                                             LogLevel::kWarning};
// The log is read through another zone peer, or directly.
inline constexpr LogEvent kLogSourceChanged{4004, "log_source_changed",
                                            LogLevel::kInfo};
// The instance list stopped answering, or sent an answer that can't be read.
inline constexpr LogEvent kInstanceListUnavailable{
    4005, "instance_list_unavailable", LogLevel::kWarning};
// The instance list answers again.
inline constexpr LogEvent kInstanceListAvailable{
    4006, "instance_list_available", LogLevel::kInfo};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_
