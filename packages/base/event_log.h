// Writes structured log lines of numbered events.

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
// to standard output through easylogging++. The lines of each event are limited
// to a rate per second; the first line after dropped ones has the field
// dropped=<count>. A separate thread formats and writes the lines; with
// FlushWarnings::kYes, warnings and errors are written before the call returns.
// All functions may be called from any thread.
class EventLog {
 public:
  // Lines of one event per second; further lines are dropped.
  static constexpr std::uint32_t kDefaultLinesPerSecond = 2000;

  // Whether Write() of a warning or error waits until it is written.
  enum class FlushWarnings { kNo, kYes };

  // Configures the logger of the process. Call before the first Write().
  static void Initialize(
      std::uint32_t lines_per_second = kDefaultLinesPerSecond,
      FlushWarnings flush_warnings = FlushWarnings::kYes);

  static void Write(const LogEvent& event, const std::vector<LogField>& fields);

  // Writes a line with the fields that `fields` returns. Calls `fields` only if
  // the rate limit admits the line. Use it for events that occur for each
  // request: building fields for dropped lines costs more than the rest of the
  // work for a request.
  static void WriteLazily(const LogEvent& event,
                          const std::function<std::vector<LogField>()>& fields);

  // Waits until all lines added so far are written.
  static void Flush();

  // Formats the part of a line after the time and the level, for golden files.
  static std::string Format(const LogEvent& event,
                            const std::vector<LogField>& fields);

  // Returns the number of lines dropped by the rate limit since the start.
  static std::uint64_t dropped_lines();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_EVENT_LOG_H_
