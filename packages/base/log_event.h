// The type of a numbered log event. Each package lists its events in
// <package>/<package>_events.h; docs/events.md lists them all.

#ifndef POLLENRUDDER_BASE_LOG_EVENT_H_
#define POLLENRUDDER_BASE_LOG_EVENT_H_

#include <string_view>

namespace pollenrudder {

enum class LogLevel { kInfo, kWarning, kError };

// A kind of log line. Numbers never change their meaning and are not reused.
// Ranges: 1000 daemon, 2000 ownership, 3000 routing, 4000 logstore and
// platform, 5000 peers, 6000 upstreams, 7000 callers, 8000 operators and
// document, 9000 entry.
struct LogEvent {
  int number;
  std::string_view name;
  LogLevel level;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_LOG_EVENT_H_
