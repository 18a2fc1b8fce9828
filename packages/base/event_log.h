// Structured log lines with numbered events.

#ifndef POLLENRUDDER_BASE_EVENT_LOG_H_
#define POLLENRUDDER_BASE_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/log_event.h"
#include "base/log_field.h"

namespace pollenrudder {

// Writes log lines of the form
//   2026-01-31T12:00:00.000Z INFO event=3001 name=request_routed key=value ...
// to standard output through easylogging++. Each event is limited to a rate per
// second; the first line after a flood carries dropped=<count>. Lines are
// formatted and written by a thread of their own; with FlushWarnings::kYes,
// warnings and errors are written before the call returns. All functions may be
// called from any thread.
class EventLog {
 public:
  // Lines of one event allowed per second before the rest are dropped.
  static constexpr std::uint32_t kDefaultLinesPerSecond = 2000;

  // Whether the writer of a warning waits for it to be written.
  enum class FlushWarnings { kNo, kYes };

  // Prepares the process-wide logger. Call once, before the first line.
  static void Initialize(
      std::uint32_t lines_per_second = kDefaultLinesPerSecond,
      FlushWarnings flush_warnings = FlushWarnings::kYes);

  static void Write(const LogEvent& event, const std::vector<LogField>& fields);

  // Writes the line with the fields that `fields` returns, which is called only
  // if the rate limit lets the line pass. For events of each request: building
  // fields that are then dropped costs more than the request's other work.
  static void WriteLazily(const LogEvent& event,
                          const std::function<std::vector<LogField>()>& fields);

  // Waits until all lines so far are written.
  static void Flush();

  // Formats the part of a line after the time, for golden files.
  static std::string Format(const LogEvent& event,
                            const std::vector<LogField>& fields);

  // The number of lines dropped by the rate limit since the start.
  static std::uint64_t dropped_lines();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_EVENT_LOG_H_
