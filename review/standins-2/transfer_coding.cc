// Case 8: callers hide a request in the body of another one, whose
// Transfer-Encoding doesn't end with "chunked".

#include <set>

#include "deployment.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int kRequests = 10;
constexpr milliseconds kAnswerTimeout{1500};

std::string Head(const std::string& id, const std::string& coding) {
  return "POST /booking/x HTTP/1.1\r\nHost: a.example\r\n"
         "X-Pollenrudder-Request-Id: " +
         id +
         "\r\nX-Pollenrudder-Request-Deadline: 2500\r\n"
         "Transfer-Encoding: " +
         coding + "\r\n\r\n";
}

std::string InChunks(const std::string& body) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  return size + body + "\r\n0\r\n\r\n";
}

// Sends `bytes` on a connection of its own and records the answers.
void Send(Record& record,
          int port,
          const std::string& id,
          const std::string& coding,
          const std::string& bytes) {
  const Socket socket = Socket::ConnectTo(port);
  if (!socket.valid())
    return;
  record.Write("send    " + id + ", Transfer-Encoding: " + coding + ", " +
               std::to_string(bytes.size()) + " bytes in all");
  socket.SendAll(bytes);
  std::string buffer;
  while (const auto response = ReadMessage(socket, buffer, kAnswerTimeout)) {
    record.Write("answer  on the connection of " + id + ": " +
                 response->SecondWord() + ", id " +
                 response->Field("x-pollenrudder-request-id"));
  }
}

int Play(Record& record, bool trouble) {
  Deployment deployment(record);
  for (int number = 1; number <= 3; ++number) {
    deployment.AddUpstream(std::make_unique<Upstream>(
        Upstream::Options{.name = "i-booking" + std::to_string(number),
                          .service = "booking"},
        record));
  }
  if (!deployment.Start({{"booking", "unsafe"}}, 2))
    return kCouldNotRun;
  std::map<std::string, std::string> sent_bodies;
  for (int number = 0; number < kRequests; ++number) {
    const int port = deployment.daemons()[number % 2]->caller_port();
    const std::string id = "outer-" + std::to_string(number);
    const std::string body =
        FormatRequest("booking", "inner-" + std::to_string(number),
                      milliseconds(2500), "a hidden booking");
    sent_bodies[id] = body;
    if (!trouble) {
      Send(record, port, id, "chunked", Head(id, "chunked") + InChunks(body));
      continue;
    }
    if (number % 4 < 2)
      Send(record, port, id, "gzip", Head(id, "gzip") + body);
    else
      Send(record, port, id, "chunked, gzip",
           Head(id, "chunked, gzip") + InChunks(body));
  }
  int hidden = 0;
  int changed = 0;
  int unchanged = 0;
  for (const Upstream::Run& run : deployment.runs()) {
    if (run.id.starts_with("inner-"))
      ++hidden;
    const auto sent = sent_bodies.find(run.id);
    if (sent != sent_bodies.end())
      ++(run.body == sent->second ? unchanged : changed);
  }
  record.Write(std::to_string(hidden) + " hidden requests ran; " +
               std::to_string(changed) +
               " requests ran with another body than was sent, " +
               std::to_string(unchanged) + " with their own");
  if (!trouble && unchanged != kRequests)
    return kCouldNotRun;
  return hidden > 0 || changed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argument_count, char** arguments) {
  return review::RunCase(argument_count, arguments, review::Play);
}
