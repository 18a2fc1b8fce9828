// Case 9: a planned stop while callers with pipelined requests receive large
// answers over links of 10 Mbit/s.

#include <signal.h>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kCallers = 6;
// Each caller sends a request at this interval, but has this many unanswered at
// most.
constexpr milliseconds kInterval{500};
constexpr std::size_t kMaxUnanswered = 4;
// The largest answers of the sheets (`firmware-pulls`).
constexpr std::size_t kAnswerBytes = 540'000;
// The work of `load-history`.
constexpr milliseconds kWork{880};
// What a link of 10 Mbit/s carries.
constexpr double kBytesPerSecond = 1'250'000;
constexpr std::size_t kReadBytes = 12'500;
constexpr int kReceiveBuffer = 64 << 10;
constexpr milliseconds kDeadline{15'000};
constexpr std::chrono::seconds kTimeBeforeStop{3};
// The grace period, and a second more.
constexpr std::chrono::seconds kTimeAfterStop{7};

// Sends safe requests on one connection, also before earlier ones are answered,
// until it knows that the router ends it, and reads the answers as fast as its
// link carries them.
class PipeliningCaller {
 public:
  PipeliningCaller(Record& record, int port, int number)
      : record_(record),
        name_("c" + std::to_string(number)),
        socket_(Socket::ConnectTo(port, kReceiveBuffer)) {}

  void Run(Clock::time_point end) {
    auto next_request = Clock::now();
    while (Clock::now() < end) {
      if (!closing_ && waiting_.size() < kMaxUnanswered &&
          Clock::now() >= next_request) {
        SendNext();
        next_request += kInterval;
      }
      const auto next_read =
          Clock::now() +
          std::chrono::duration_cast<Clock::duration>(
              std::chrono::duration<double>(kReadBytes / kBytesPerSecond));
      const auto bytes = socket_.Receive(kReadBytes, milliseconds(10));
      if (!bytes && socket_.timed_out())
        continue;
      if (!bytes || bytes->empty()) {
        record_.Write("end     of the connection of " + name_ +
                      (bytes ? "" : ", by a reset"));
        ended_ = true;
        break;
      }
      buffer_ += *bytes;
      TakeAnswers();
      std::this_thread::sleep_until(next_read);
    }
  }

  // The requests without a complete answer, in order.
  const std::deque<std::string>& waiting() const { return waiting_; }
  // Bytes of the answer to the first of these.
  std::size_t received_bytes() const { return buffer_.size(); }
  bool ended() const { return ended_; }
  int answered() const { return answered_; }

 private:
  void SendNext() {
    const std::string id = name_ + "-" + std::to_string(++sent_);
    record_.Write("send    " + id);
    socket_.SendAll(FormatRequest("lookup", id, kDeadline));
    waiting_.push_back(id);
  }

  void TakeAnswers() {
    while (true) {
      const std::size_t head = buffer_.find("\r\n\r\n");
      if (head == std::string::npos)
        return;
      const std::size_t field = buffer_.find("Content-Length: ");
      const std::size_t length =
          std::strtoull(buffer_.c_str() + field + 16, nullptr, 10);
      // Nothing is sent behind an answer that is known to be the last.
      if (!closing_ && buffer_.find("Connection: close") < head) {
        closing_ = true;
        record_.Write("last    answer of " + name_ + " begins: to " +
                      waiting_.front());
      }
      if (buffer_.size() < head + 4 + length)
        return;
      record_.Write("answer  " + waiting_.front() + ": " +
                    buffer_.substr(9, 3) + ", complete");
      buffer_.erase(0, head + 4 + length);
      waiting_.pop_front();
      ++answered_;
    }
  }

  Record& record_;
  const std::string name_;
  const Socket socket_;
  std::string buffer_;
  std::deque<std::string> waiting_;
  int sent_ = 0;
  int answered_ = 0;
  bool closing_ = false;
  bool ended_ = false;
};

int Play(Record& record, bool trouble) {
  Deployment deployment(record);
  for (int number = 1; number <= 4; ++number) {
    deployment.AddUpstream(std::make_unique<Upstream>(
        Upstream::Options{.name = "i-lookup" + std::to_string(number),
                          .service = "lookup",
                          .work = kWork,
                          .body_bytes = kAnswerBytes},
        record));
  }
  if (!deployment.Start({{"lookup", "download"}}, 2))
    return kCouldNotRun;
  Daemon& stopped = *deployment.daemons().front();
  const auto end = Clock::now() + kTimeBeforeStop + kTimeAfterStop;
  std::vector<std::unique_ptr<PipeliningCaller>> callers;
  std::vector<std::thread> threads;
  for (int number = 1; number <= kCallers; ++number) {
    callers.push_back(std::make_unique<PipeliningCaller>(
        record, stopped.caller_port(), number));
    threads.emplace_back(
        [caller = callers.back().get(), end] { caller->Run(end); });
  }
  std::this_thread::sleep_for(kTimeBeforeStop);
  if (trouble) {
    record.Write("SIGTERM to " + stopped.options().name);
    stopped.Signal(SIGTERM);
  }
  for (std::thread& thread : threads)
    thread.join();
  std::map<std::string, bool> was_run;
  for (const Upstream::Run& run : deployment.runs())
    was_run[run.id] = true;
  int cut = 0;
  int answered = 0;
  for (const auto& caller : callers) {
    answered += caller->answered();
    // Requests sent behind the last answer and not passed on don't count.
    for (const std::string& id : caller->waiting()) {
      if (!caller->ended() || !was_run.contains(id))
        continue;
      ++cut;
      record.Write("cut     " + id + ": a server ran it, " +
                   (id == caller->waiting().front()
                        ? std::to_string(caller->received_bytes())
                        : std::string("0")) +
                   " bytes of its answer came");
    }
  }
  record.Write(std::to_string(answered) + " complete answers, " +
               std::to_string(cut) + " cut");
  if (answered == 0)
    return kCouldNotRun;
  return cut > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::RunCase(argument_count, arguments, review::Play);
}
