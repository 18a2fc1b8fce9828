// Runs the daemon in document mode: reads the settings, and starts a planned
// leave on SIGTERM or SIGINT.

#include "pollenrudderd/document_mode.h"

#include <malloc.h>
#include <pthread.h>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

#include "base/event_log.h"
#include "document/daemon_settings.h"
#include "http/http_parser.h"
#include "pollenrudderd/daemon.h"

namespace pollenrudder {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
// Limit per event. A log line costs about as much CPU time as a request, so
// lines must be much rarer than requests.
constexpr std::uint32_t kMaxLogLinesPerSecond = 200;

// Returns the settings, or prints all errors to standard error.
std::optional<DaemonSettings> ReadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  const DaemonSettings::Checked checked = DaemonSettings::Parse(text);
  for (const DocumentError& error : checked.errors) {
    std::cerr << path << ':' << error.line << ':' << error.column << ": "
              << error.message << '\n';
  }
  if (!checked.valid())
    return std::nullopt;
  return checked.settings;
}

// Returns the signals that start a leave. They are blocked in all threads; the
// main thread waits for them. A second signal cancels the leave.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int RunDaemon(const DaemonSettings& settings) {
  const sigset_t signals = BlockSignals();
  // A block that the memory account counts by its written part must not leave
  // written pages in the heap when it is released.
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(HttpRequestParser::kMappedBytes));
  EventLog::Initialize(kMaxLogLinesPerSecond);
  auto daemon = Daemon::Start(settings);
  if (!daemon) {
    std::cerr << "pollenrudderd: " << daemon.error().message << '\n';
    return kExitFailure;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  std::atomic<bool> canceled = false;
  std::atomic<bool> finished = false;
  std::thread second_signal_watcher([&] {
    constexpr timespec kPollInterval{0, 50'000'000};
    while (!finished && !canceled)
      canceled = sigtimedwait(&signals, nullptr, &kPollInterval) > 0;
  });
  daemon.value()->Leave(canceled);
  finished = true;
  second_signal_watcher.join();
  return kExitOk;
}

}  // namespace

int RunInDocumentMode(const std::string& settings_path, bool check_only) {
  const auto settings = ReadSettings(settings_path);
  if (!settings)
    return kExitFailure;
  if (check_only)
    return kExitOk;
  return RunDaemon(*settings);
}

}  // namespace pollenrudder
