// EventLog over easylogging++, with a rate limit per event.

#include "base/event_log.h"

#include <easylogging++.h>

#include <atomic>
#include <map>
#include <mutex>

#include "base/boot_clock.h"

INITIALIZE_EASYLOGGINGPP

namespace pollenrudder {
namespace {

constexpr std::chrono::seconds kRateWindow{1};

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarning:
      return "WARNING";
    case LogLevel::kError:
      return "ERROR";
  }
  return "ERROR";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty())
    return true;
  for (const char character : value) {
    if (character <= ' ' || character == '"' || character == '=' ||
        character == '\\' || character == 0x7f)
      return true;
  }
  return false;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char character : value) {
    if (character == '"' || character == '\\')
      line += '\\';
    const bool printable = character >= ' ' && character != 0x7f;
    line += printable || static_cast<unsigned char>(character) >= 0x80
                ? character
                : '?';
  }
  line += '"';
}

// Counts the lines of each event in the current window.
class RateLimiter {
 public:
  void set_lines_per_second(std::uint32_t lines) { lines_per_second_ = lines; }

  // Returns whether a line may be written; sets `dropped` to the number of
  // lines suppressed since the last one written.
  bool Admit(int event_number, BootTime now, std::uint64_t& dropped) {
    const std::lock_guard lock(mutex_);
    Window& window = windows_[event_number];
    if (now - window.start >= kRateWindow) {
      window.start = now;
      window.lines = 0;
    }
    if (window.lines >= lines_per_second_) {
      ++window.dropped;
      ++total_dropped_;
      return false;
    }
    ++window.lines;
    dropped = window.dropped;
    window.dropped = 0;
    return true;
  }

  std::uint64_t total_dropped() const { return total_dropped_; }

 private:
  struct Window {
    BootTime start;
    std::uint32_t lines = 0;
    std::uint64_t dropped = 0;
  };

  std::mutex mutex_;
  std::map<int, Window> windows_;
  std::atomic<std::uint64_t> total_dropped_ = 0;
  std::atomic<std::uint32_t> lines_per_second_ =
      EventLog::kDefaultLinesPerSecond;
};

RateLimiter& Limiter() {
  static RateLimiter limiter;
  return limiter;
}

}  // namespace

void EventLog::Initialize(std::uint32_t lines_per_second) {
  Limiter().set_lines_per_second(lines_per_second);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configurations);
}

void EventLog::Write(const LogEvent& event,
                     const std::vector<LogField>& fields) {
  std::uint64_t dropped = 0;
  if (!Limiter().Admit(event.number, BootClock::now(), dropped))
    return;
  std::string line(LevelName(event.level));
  line += ' ';
  line += Format(event, fields);
  if (dropped > 0)
    line += " dropped=" + std::to_string(dropped);
  LOG(INFO) << line;
}

std::string EventLog::Format(const LogEvent& event,
                             const std::vector<LogField>& fields) {
  std::string line = "event=" + std::to_string(event.number) + " name=";
  line += event.name;
  for (const LogField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    AppendValue(line, field.value);
  }
  return line;
}

std::uint64_t EventLog::dropped_lines() {
  return Limiter().total_dropped();
}

}  // namespace pollenrudder
