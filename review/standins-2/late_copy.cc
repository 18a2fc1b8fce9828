// Case 6: an upstream sends a late second copy of an answer, without a length,
// and closes the connection.

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "deployment.h"

namespace review {
namespace {

using std::chrono::milliseconds;

// The dose of the site file's `garble` "extra late": 0.6 of the servers, 0.03
// of their answers, for 5 s.
constexpr int kAnswersPerCopy = 34;
constexpr std::chrono::seconds kTroubleTime{5};
constexpr std::chrono::seconds kLoadTime{7};
constexpr int kUpstreams = 5;
constexpr int kFaultyUpstreams = 3;
constexpr int kCallers = 4;

// Sends a copy of every 34th answer again, at the point where the next answer
// of the connection is expected.
class CopyingUpstream : public Upstream {
 public:
  using Upstream::Upstream;

  void set_faulty(bool faulty) { faulty_ = faulty; }
  int copies() const { return copies_; }

 private:
  bool BeforeRun(Connection& connection) override {
    if (!faulty_ || connection.previous_id.empty() ||
        ++answers_ % kAnswersPerCopy != 0)
      return true;
    ++copies_;
    record().Write("copy    of the answer to " + connection.previous_id +
                   " from " + options().name +
                   ", without a length, then the end of the connection");
    connection.socket.SendAll(
        FormatAnswer(connection.previous_id, /*has_length=*/false));
    connection.socket.FinishSending();
    // The router closes its side.
    (void)connection.socket.Receive(1, std::chrono::seconds(1));
    return false;
  }

  std::atomic<bool> faulty_ = false;
  std::atomic<int> answers_ = 0;
  std::atomic<int> copies_ = 0;
};

// Sends requests one after the other and counts answers of other requests.
void CallInTurn(Record& record,
                int port,
                int number,
                std::atomic<int>& foreign,
                std::atomic<int>& own) {
  const auto end = std::chrono::steady_clock::now() + kLoadTime;
  Socket socket;
  std::string buffer;
  for (int count = 0; std::chrono::steady_clock::now() < end; ++count) {
    const bool books = count % 2 == 1;
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(count);
    if (!socket.valid()) {
      socket = Socket::ConnectTo(port);
      buffer.clear();
    }
    record.Write("send    " + id + (books ? " (unsafe)" : " (safe)"));
    std::optional<Message> response;
    if (socket.SendAll(FormatRequest(books ? "booking" : "lookup", id,
                                     milliseconds(2500),
                                     books ? "book " + id : "")))
      response = ReadMessage(socket, buffer, milliseconds(3000));
    if (!response) {
      record.Write("lost    " + id);
      socket.Close();
      continue;
    }
    const std::string status = response->SecondWord();
    const bool is_success = status.starts_with('2');
    const bool is_own = response->body.starts_with("answer to " + id + "\n") &&
                        response->Field("x-pollenrudder-request-id") == id;
    record.Write("answer  " + id + ": " + status + ", id " +
                 response->Field("x-pollenrudder-request-id") + ", \"" +
                 response->body.substr(0, response->body.find('\n')) + "\"" +
                 (is_success && !is_own ? "  <- of another request" : ""));
    if (is_success)
      ++(is_own ? own : foreign);
  }
}

int Play(Record& record, bool trouble) {
  Deployment deployment(record);
  std::vector<CopyingUpstream*> faulty;
  for (const std::string service : {"lookup", "booking"}) {
    for (int number = 1; number <= kUpstreams; ++number) {
      auto upstream = std::make_unique<CopyingUpstream>(
          Upstream::Options{.name = "i-" + service + std::to_string(number),
                            .service = service,
                            .work = milliseconds(10),
                            .slots = 2,
                            .queue = 8},
          record);
      if (number <= kFaultyUpstreams)
        faulty.push_back(upstream.get());
      deployment.AddUpstream(std::move(upstream));
    }
  }
  if (!deployment.Start({{"lookup", "safe"}, {"booking", "unsafe"}}, 2))
    return kCouldNotRun;
  std::atomic<int> foreign = 0;
  std::atomic<int> own = 0;
  std::vector<std::thread> callers;
  for (int number = 0; number < kCallers; ++number) {
    const int port = deployment.daemons()[number % 2]->caller_port();
    callers.emplace_back(
        [&, port, number] { CallInTurn(record, port, number, foreign, own); });
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (CopyingUpstream* upstream : faulty)
    upstream->set_faulty(trouble);
  std::this_thread::sleep_for(kTroubleTime);
  for (CopyingUpstream* upstream : faulty)
    upstream->set_faulty(false);
  for (std::thread& caller : callers)
    caller.join();
  int copies = 0;
  for (const CopyingUpstream* upstream : faulty)
    copies += upstream->copies();
  record.Write(std::to_string(copies) + " copies; " + std::to_string(own) +
               " successes with the own answer, " + std::to_string(foreign) +
               " with that of another request");
  if (own == 0 || (trouble && copies == 0))
    return kCouldNotRun;
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::RunCase(argument_count, arguments, review::Play);
}
