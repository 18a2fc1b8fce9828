// Case 7: sound callers read an answer of 540 KB each and keep their
// connections open.

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
constexpr int kCallers = 350;
// The smallest machines of the sheet.
constexpr int kMemoryMb = 160;
// The largest answers of the sheets (`firmware-pulls`).
constexpr std::size_t kAnswerBytes = 540'000;
constexpr milliseconds kDeadline{6000};
// The callers rest for less than four fifths of idle-timeout-s.
constexpr std::chrono::seconds kRestTime{3};
constexpr milliseconds kRestartDelay{1000};
constexpr rlim_t kDescriptors = 2000;

struct Wave {
  int answered = 0;
  std::size_t peak = 0;
  bool exceeded = false;
};

// Each caller sends one request, reads the whole answer, and keeps its
// connection if `keeps`. The wave ends early if the daemon exceeds its memory.
Wave PlayWave(Record& record, Daemon& daemon, bool keeps) {
  const std::size_t limit = static_cast<std::size_t>(daemon.options().memory_mb)
                            << 20;
  Wave wave;
  std::vector<Socket> kept;
  const auto observe = [&] {
    wave.peak = std::max(wave.peak, daemon.ResidentBytes());
    wave.exceeded = wave.peak > limit;
  };
  for (int number = 0; number < kCallers && !wave.exceeded; ++number) {
    Socket socket = Socket::ConnectTo(daemon.caller_port());
    const std::string id = daemon.options().name + "-" + std::to_string(number);
    std::string buffer;
    std::optional<Message> response;
    if (socket.valid() &&
        socket.SendAll(FormatRequest("firmware", id, kDeadline)))
      response = ReadMessage(socket, buffer, kDeadline);
    record.Write("answer  " + id + ": " +
                 (response
                      ? response->SecondWord() + ", " +
                            std::to_string(response->body.size()) + " bytes"
                      : "none"));
    if (response && response->SecondWord() == "200")
      ++wave.answered;
    if (keeps)
      kept.push_back(std::move(socket));
    observe();
  }
  const auto end = std::chrono::steady_clock::now() + kRestTime;
  while (std::chrono::steady_clock::now() < end && !wave.exceeded) {
    observe();
    std::this_thread::sleep_for(milliseconds(50));
  }
  record.Write(std::to_string(wave.answered) + " answers, " +
               std::to_string(kept.size()) + " connections kept at " +
               daemon.options().name + ": " + std::to_string(wave.peak >> 20) +
               " MB resident at most, " +
               std::to_string(daemon.options().memory_mb) + " allowed");
  // "A process that exceeds memory-mb is killed."
  if (wave.exceeded) {
    record.Write(daemon.options().name + " is killed, as the platform does");
    daemon.Kill();
  }
  return wave;
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
        Upstream::Options{.name = "i-firmware" + std::to_string(number),
                          .service = "firmware",
                          .work = milliseconds(1),
                          .body_bytes = kAnswerBytes},
        record));
  }
  if (!deployment.Start({{"firmware", "download"}}, kDaemons, kMemoryMb))
    return kCouldNotRun;
  int machines_that_failed = 0;
  int answered = 0;
  for (const auto& daemon : deployment.daemons()) {
    int ends = 0;
    for (int number = 0; number < kWaves; ++number) {
      const Wave wave = PlayWave(record, *daemon, trouble);
      answered += wave.answered;
      if (!wave.exceeded)
        continue;
      ++ends;
      std::this_thread::sleep_for(kRestartDelay);
      daemon->Start();
      if (!deployment.WaitUntilServing(*daemon))
        return kCouldNotRun;
    }
    record.Write(daemon->options().name + " ended " + std::to_string(ends) +
                 " times");
    if (ends >= kWaves)
      ++machines_that_failed;
  }
  if (answered == 0)
    return kCouldNotRun;
  return machines_that_failed >= 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::RunCase(argument_count, arguments, review::Play);
}
