// The log events of the logstore package.

#ifndef POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_
#define POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// The log service stopped responding to reads.
inline constexpr LogEvent kLogUnavailable{4001, "log_unavailable",
                                          LogLevel::kWarning};
// The log service responds to reads again.
inline constexpr LogEvent kLogAvailable{4002, "log_available", LogLevel::kInfo};
// An append got no valid response: the log may or may not contain the record.
inline constexpr LogEvent kAppendUnconfirmed{4003, "append_unconfirmed",
                                             LogLevel::kWarning};
// The log is now read through another same-zone peer, or directly.
inline constexpr LogEvent kLogSourceChanged{4004, "log_source_changed",
                                            LogLevel::kInfo};
// The instance list stopped responding, or sent a malformed response.
inline constexpr LogEvent kInstanceListUnavailable{
    4005, "instance_list_unavailable", LogLevel::kWarning};
// The instance list responds again.
inline constexpr LogEvent kInstanceListAvailable{
    4006, "instance_list_available", LogLevel::kInfo};
// Entries of the instance list are malformed; their instances stay as last
// listed.
inline constexpr LogEvent kInstanceListEntriesMalformed{
    4007, "instance_list_entries_malformed", LogLevel::kWarning};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_EVENTS_H_
