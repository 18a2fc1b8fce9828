// Upstream: a thread for each connection.

#include "upstream.h"

#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::chrono::seconds kIdleTimeout{10};

std::string Rejection(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields +
         "Content-Length: 0\r\n\r\n";
}

}  // namespace

Upstream::Upstream(Options options, Record& record)
    : options_(std::move(options)),
      record_(record),
      listener_(Socket::ListenOn()) {}

void Upstream::Start() {
  std::thread([this] {
    while (true) {
      Socket socket = listener_.Accept();
      if (!socket.valid())
        continue;
      std::thread([this, accepted = std::move(socket)]() mutable {
        Serve(std::move(accepted));
      }).detach();
    }
  }).detach();
}

std::string Upstream::address() const {
  return "127.0.0.1:" + std::to_string(listener_.LocalPort());
}

std::string Upstream::Entry(int sequence) const {
  return R"({"service":")" + options_.service + R"(","address":")" + address() +
         R"(","zone":"cayambe","version":"v1","slots":)" +
         std::to_string(options_.slots) +
         R"(,"state":"ready","cold-remaining-s":0,"born":1700000000000,)" +
         R"("sequence":)" + std::to_string(sequence) + "}";
}

std::vector<Upstream::Run> Upstream::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::string Upstream::BodyFor(const std::string& id) const {
  std::string body = "answer to " + id + "\n";
  if (body.size() < options_.body_bytes)
    body.resize(options_.body_bytes, '.');
  return body;
}

std::string Upstream::FormatAnswer(const std::string& id,
                                   bool has_length) const {
  const std::string body = BodyFor(id);
  std::string answer =
      "HTTP/1.1 200 OK\r\nX-Pollenrudder-Request-Id: " + id +
      "\r\nX-Pollenrudder-Server-Stamp: " + options_.name + "." + id +
      "\r\nX-Pollenrudder-Instance-Id: " + options_.name + "\r\n";
  if (has_length)
    answer += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return answer + "\r\n" + body;
}

bool Upstream::BeforeRun(Connection& /*connection*/) {
  return true;
}

void Upstream::Serve(Socket socket) {
  Connection connection{std::move(socket), {}};
  std::string buffer;
  while (const auto request =
             ReadMessage(connection.socket, buffer, kIdleTimeout)) {
    if (!Respond(connection, *request))
      return;
  }
}

bool Upstream::Respond(Connection& connection, const Message& request) {
  const Socket& socket = connection.socket;
  const std::string own_name =
      "X-Pollenrudder-Instance-Id: " + options_.name + "\r\n";
  if (request.SecondWord() == "/health")
    return socket.SendAll(Rejection(200, own_name));
  const std::string id = request.Field("x-pollenrudder-request-id");
  const std::string not_run =
      "X-Pollenrudder-Not-Executed: 1\r\n" +
      (id.empty() ? std::string()
                  : "X-Pollenrudder-Request-Id: " + id + "\r\n");
  const std::string expected = request.Field("x-pollenrudder-expect-instance");
  if (!expected.empty() && expected != options_.name)
    return socket.SendAll(Rejection(421, own_name + not_run));
  if (id.empty())
    return socket.SendAll(Rejection(400, not_run));
  if (!BeforeRun(connection))
    return false;
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots) {
    if (waiting_ >= options_.queue) {
      lock.unlock();
      return socket.SendAll(Rejection(503, not_run));
    }
    ++waiting_;
    slot_freed_.wait(lock, [this] { return running_ < options_.slots; });
    --waiting_;
  }
  ++running_;
  const std::string method =
      request.start_line.substr(0, request.start_line.find(' '));
  runs_.push_back({id, method, request.SecondWord(), request.body});
  lock.unlock();
  record_.Write("run     " + id + " at " + options_.name + ": " + method + ' ' +
                request.SecondWord() + ", body of " +
                std::to_string(request.body.size()) + " bytes");
  std::this_thread::sleep_for(options_.work);
  lock.lock();
  --running_;
  lock.unlock();
  slot_freed_.notify_one();
  connection.previous_id = id;
  return socket.SendAll(FormatAnswer(id, /*has_length=*/true));
}

}  // namespace review
