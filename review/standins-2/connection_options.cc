// Case 10: callers send requests whose legal head has a Connection field with
// many options, stop just short of the end of the body, and stay open.

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int kDaemons = 2;
// A process that ends three times in the day counts.
constexpr int kWaves = 3;
constexpr int kCallers = 600;
// The smallest machines of the sheet.
constexpr int kMemoryMb = 160;
// The head stays below max-header-bytes, 16,384.
constexpr std::size_t kFieldBytes = 15'900;
constexpr std::size_t kBodyBytes = 1000;
constexpr std::size_t kSentBodyBytes = 900;
constexpr std::chrono::milliseconds kWaveTime{2500};
constexpr std::chrono::milliseconds kRestartDelay{1000};
constexpr rlim_t kDescriptors = 2000;

// Returns different names, separated by commas, that fill `bytes`.
std::string ManyOptions(std::size_t bytes) {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz";
  std::string options;
  for (std::size_t number = 0; options.size() + 4 <= bytes; ++number) {
    if (!options.empty())
      options += ',';
    for (std::size_t rest = number, digit = 0; digit < 3; ++digit, rest /= 26)
      options += kLetters[rest % 26];
  }
  return options;
}

std::string UnfinishedRequest(bool trouble) {
  return "POST /booking/x HTTP/1.1\r\nHost: a.example\r\n"
         "X-Pollenrudder-Request-Id: crowd\r\n" +
         std::string(trouble ? "Connection: " : "X-Field: ") +
         ManyOptions(kFieldBytes) +
         "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
         std::string(kSentBodyBytes, 'b');
}

// Sends ordinary requests until `stopped`, and counts what becomes of them.
void CallOrdinarily(Record& record,
                    const Daemon& daemon,
                    const std::atomic<bool>& stopped) {
  int number = 0;
  while (!stopped) {
    const std::string id =
        daemon.options().name + "-" + std::to_string(++number);
    const Socket socket = Socket::ConnectTo(daemon.caller_port());
    std::string buffer;
    std::optional<Message> response;
    if (socket.valid() &&
        socket.SendAll(FormatRequest("booking", id, milliseconds(2000), "b")))
      response = ReadMessage(socket, buffer, milliseconds(2500));
    record.Write("ordinary request " + id + ": " +
                 (response         ? response->SecondWord()
                  : socket.valid() ? "no answer"
                                   : "no connection"));
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Returns whether the daemon was killed because it exceeded its memory.
bool PlayWave(Record& record, Daemon& daemon, const std::string& request) {
  std::vector<Socket> crowd;
  for (int number = 0; number < kCallers; ++number) {
    Socket socket = Socket::ConnectTo(daemon.caller_port());
    if (socket.valid())
      socket.SendAll(request);
    crowd.push_back(std::move(socket));
  }
  const std::size_t limit = static_cast<std::size_t>(daemon.options().memory_mb)
                            << 20;
  std::size_t peak = 0;
  bool exceeded = false;
  const auto end = std::chrono::steady_clock::now() + kWaveTime;
  while (std::chrono::steady_clock::now() < end && !exceeded) {
    if (!daemon.IsRunning()) {
      record.Write(daemon.options().name + " has ended by itself");
      return true;
    }
    peak = std::max(peak, daemon.ResidentBytes());
    exceeded = peak > limit;
    std::this_thread::sleep_for(milliseconds(10));
  }
  record.Write(std::to_string(crowd.size()) + " requests of " +
               std::to_string(request.size()) + " bytes to " +
               daemon.options().name + ": " + std::to_string(peak >> 20) +
               " MB resident at most, " +
               std::to_string(daemon.options().memory_mb) + " allowed");
  // "A process that exceeds memory-mb is killed."
  if (exceeded) {
    record.Write(daemon.options().name + " is killed, as the platform does");
    daemon.Kill();
  }
  return exceeded;
}

int Play(Record& record, bool trouble) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < kDescriptors)
    return kCouldNotRun;
  limit.rlim_cur = std::max(limit.rlim_cur, kDescriptors);
  setrlimit(RLIMIT_NOFILE, &limit);
  Deployment deployment(record);
  for (int number = 1; number <= 3; ++number) {
    deployment.AddUpstream(std::make_unique<Upstream>(
        Upstream::Options{.name = "i-booking" + std::to_string(number),
                          .service = "booking"},
        record));
  }
  if (!deployment.Start({{"booking", "unsafe"}}, kDaemons, kMemoryMb))
    return kCouldNotRun;
  const std::string request = UnfinishedRequest(trouble);
  std::atomic<bool> stopped = false;
  std::vector<std::thread> ordinary;
  for (const auto& daemon : deployment.daemons()) {
    ordinary.emplace_back([&record, &stopped, &daemon = *daemon] {
      CallOrdinarily(record, daemon, stopped);
    });
  }
  int machines_that_failed = 0;
  bool started_again = true;
  for (const auto& daemon : deployment.daemons()) {
    int ends = 0;
    for (int wave = 0; wave < kWaves && started_again; ++wave) {
      if (!PlayWave(record, *daemon, request))
        continue;
      ++ends;
      std::this_thread::sleep_for(kRestartDelay);
      daemon->Start();
      started_again = deployment.WaitUntilServing(*daemon);
    }
    record.Write(daemon->options().name + " ended " + std::to_string(ends) +
                 " times");
    if (ends >= kWaves)
      ++machines_that_failed;
  }
  stopped = true;
  for (std::thread& caller : ordinary)
    caller.join();
  if (!started_again)
    return kCouldNotRun;
  return machines_that_failed >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::RunCase(argument_count, arguments, review::Play);
}
