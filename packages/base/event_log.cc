// EventLog, implemented with easylogging++ and a rate limit per event.

#include "base/event_log.h"

#include <easylogging++.h>

#include <atomic>
#include <cassert>
#include <csignal>
#include <cstddef>
#include <optional>
#include <thread>
#include <utility>

#include "base/boot_clock.h"
#include "base/bounded_ring.h"

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

// Counts the lines of each event in the current window. Uses no locks, because
// all threads call it for the events of each request.
class RateLimiter {
 public:
  void set_lines_per_second(std::uint32_t lines) { lines_per_second_ = lines; }

  // Returns whether a line may be written. If so, sets `dropped` to the number
  // of lines dropped since the last one that was written.
  bool Admit(int event_number, BootTime now, std::uint64_t& dropped) {
    Window& window = WindowOf(event_number);
    const BootTime::rep time = now.time_since_epoch().count();
    BootTime::rep start = window.start.load();
    if (time - start >= BootTime::duration(kRateWindow).count() &&
        window.start.compare_exchange_strong(start, time))
      window.lines = 0;
    // Read before incrementing, so that dropped lines do not write to the cache
    // line of the counter.
    if (window.lines.load() >= lines_per_second_ ||
        window.lines.fetch_add(1) >= lines_per_second_) {
      window.dropped.fetch_add(1);
      total_dropped_.fetch_add(1);
      return false;
    }
    dropped = window.dropped.exchange(0);
    return true;
  }

  std::uint64_t total_dropped() const { return total_dropped_; }

 private:
  // All event numbers are below this.
  static constexpr int kEventNumbers = 10000;

  struct Window {
    std::atomic<BootTime::rep> start = 0;
    std::atomic<std::uint32_t> lines = 0;
    std::atomic<std::uint64_t> dropped = 0;
  };

  Window& WindowOf(int event_number) {
    assert(event_number >= 0 && event_number < kEventNumbers);
    return windows_[static_cast<std::size_t>(event_number)];
  }

  std::vector<Window> windows_ = std::vector<Window>(kEventNumbers);
  std::atomic<std::uint64_t> total_dropped_ = 0;
  std::atomic<std::uint32_t> lines_per_second_ =
      EventLog::kDefaultLinesPerSecond;
};

RateLimiter& Limiter() {
  static RateLimiter limiter;
  return limiter;
}

struct Line {
  LogEvent event;
  std::vector<LogField> fields;
  std::uint64_t dropped = 0;
};

void WriteLine(const Line& line) {
  std::string text(LevelName(line.event.level));
  text += ' ';
  text += EventLog::Format(line.event, line.fields);
  if (line.dropped > 0)
    text += " dropped=" + std::to_string(line.dropped);
  LOG(INFO) << text;
}

// Formats and writes lines on a separate thread. The rate limit bounds their
// number; if the ring is full nevertheless, the calling thread writes the line.
class LineWriter {
 public:
  LineWriter() : thread_([this] { Run(); }) {}
  ~LineWriter() {
    stopped_ = true;
    thread_.join();
  }
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  void Add(Line line) {
    added_.fetch_add(1);
    if (ring_.Push(std::move(line)))
      return;
    // Push() does not move the value if the ring is full.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    WriteLine(line);
    written_.fetch_add(1);
  }

  void Flush() {
    const std::uint64_t target = added_.load();
    while (written_.load() < target)
      std::this_thread::sleep_for(kFlushPollInterval);
  }

 private:
  static constexpr std::size_t kCapacity = 8192;
  static constexpr std::chrono::milliseconds kIdlePollInterval{200};
  static constexpr std::chrono::milliseconds kFlushPollInterval{1};

  void Run() {
    // The main thread decides how the process reacts to these.
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
      sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    while (true) {
      const bool stopping = stopped_;
      std::optional<Line> line = ring_.PopFor(kIdlePollInterval);
      if (line) {
        WriteLine(*line);
        written_.fetch_add(1);
      } else if (stopping) {
        return;
      }
    }
  }

  BoundedRing<Line> ring_{kCapacity};
  std::atomic<std::uint64_t> added_ = 0;
  std::atomic<std::uint64_t> written_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

std::atomic<bool>& FlushesWarnings() {
  static std::atomic<bool> waits = true;
  return waits;
}

LineWriter& Writer() {
  static LineWriter writer;
  return writer;
}

}  // namespace

void EventLog::Initialize(std::uint32_t lines_per_second,
                          FlushWarnings flush_warnings) {
  FlushesWarnings() = flush_warnings == FlushWarnings::kYes;
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
  WriteLazily(event, [&fields] { return fields; });
}

void EventLog::WriteLazily(
    const LogEvent& event,
    const std::function<std::vector<LogField>()>& fields) {
  std::uint64_t dropped = 0;
  if (!Limiter().Admit(event.number, BootClock::now(), dropped))
    return;
  Writer().Add(Line{event, fields(), dropped});
  if (event.level != LogLevel::kInfo && FlushesWarnings())
    Flush();
}

void EventLog::Flush() {
  Writer().Flush();
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
