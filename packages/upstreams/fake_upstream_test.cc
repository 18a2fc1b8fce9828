// Implementation of FakeUpstream and Gate.

#include "upstreams/fake_upstream_test.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"
#include "http/http_message.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::seconds kTimeout{10};

// Reads one request; returns an empty string once the connection has ended.
std::string ReadRequest(tcp::socket& socket, std::string& buffer) {
  error_code error;
  const std::size_t head =
      asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
  if (error)
    return {};
  const auto length =
      ParseNumber(FindHeader(buffer, "Content-Length").value_or("0"));
  const std::size_t size = head + static_cast<std::size_t>(length.value_or(0));
  while (buffer.size() < size && !error) {
    std::string more(size - buffer.size(), '\0');
    const std::size_t count = socket.read_some(asio::buffer(more), error);
    buffer.append(more, 0, count);
  }
  std::string request = buffer.substr(0, size);
  buffer.erase(0, size);
  return request;
}

}  // namespace

FakeUpstream::FakeUpstream(Script script)
    : script_(std::move(script)),
      acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      address_(SocketAddressText(acceptor_.local_endpoint())),
      accept_thread_([this] { AcceptLoop(); }) {}

FakeUpstream::~FakeUpstream() {
  Crash();
  accept_thread_.join();
  for (std::thread& thread : threads_)
    thread.join();
}

void FakeUpstream::Freeze() {
  const std::lock_guard lock(mutex_);
  frozen_ = true;
}

void FakeUpstream::Crash() {
  const std::lock_guard lock(mutex_);
  if (std::exchange(stopped_, true))
    return;
  stopping_.notify_all();
  error_code ignored;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  for (Socket& socket : sockets_) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
}

std::vector<std::string> FakeUpstream::requests() {
  const std::lock_guard lock(mutex_);
  return requests_;
}

std::vector<int> FakeUpstream::request_connections() {
  const std::lock_guard lock(mutex_);
  return request_connections_;
}

std::vector<std::string> FakeUpstream::grants() {
  const std::lock_guard lock(mutex_);
  return grants_;
}

std::vector<int> FakeUpstream::grant_connections() {
  const std::lock_guard lock(mutex_);
  return grant_connections_;
}

int FakeUpstream::max_in_flight() {
  const std::lock_guard lock(mutex_);
  return max_in_flight_;
}

int FakeUpstream::max_connections() {
  const std::lock_guard lock(mutex_);
  return max_connections_;
}

std::string FakeUpstream::Header(const std::string& request,
                                 const std::string& name) {
  return std::string(FindHeader(request, name).value_or(""));
}

std::string FakeUpstream::MakeResponse(const std::string& request,
                                       const std::string& body) {
  return "HTTP/1.1 200 OK\r\nPollenrudder-Request-Id: " +
         Header(request, "Pollenrudder-Request-Id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

void FakeUpstream::AcceptLoop() {
  while (true) {
    error_code error;
    Socket socket = acceptor_.accept(error);
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      acceptor_.close(error);
      return;
    }
    if (error)
      continue;
    max_connections_ = std::max(max_connections_, ++connections_);
    Socket& accepted = sockets_.emplace_back(std::move(socket));
    const int number = static_cast<int>(sockets_.size());
    threads_.emplace_back(
        [this, &accepted, number] { Serve(accepted, number); });
  }
}

void FakeUpstream::Serve(Socket& socket, int connection) {
  std::string buffer;
  error_code error;
  while (true) {
    const std::string request = ReadRequest(socket, buffer);
    if (request.empty())
      break;
    const Reply reply = Handle(request, connection);
    {
      std::unique_lock lock(mutex_);
      stopping_.wait(lock, [this] { return !frozen_ || stopped_; });
    }
    asio::write(socket, asio::buffer(reply.bytes), error);
    if (reply.reset)
      socket.set_option(asio::socket_base::linger(true, 0), error);
    if (reply.close || reply.reset)
      break;
  }
  const std::lock_guard lock(mutex_);
  --connections_;
  if (!stopped_)
    socket.close(error);
}

FakeUpstream::Reply FakeUpstream::Handle(const std::string& request,
                                         int connection) {
  const std::string body = request.substr(request.find("\r\n\r\n") + 4);
  if (request.starts_with("GET /pollenrudder/health"))
    return {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  if (request.starts_with("POST /pollenrudder/grant")) {
    const std::lock_guard lock(mutex_);
    grants_.push_back(body);
    grant_connections_.push_back(connection);
    return {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPollenrudder-Clock: " +
            std::to_string(kClockReading.count()) + "\r\n\r\n"};
  }
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
    request_connections_.push_back(connection);
    max_in_flight_ = std::max(max_in_flight_, ++in_flight_);
  }
  Reply reply = script_(request);
  const std::lock_guard lock(mutex_);
  --in_flight_;
  return reply;
}

void Gate::Open() {
  const std::lock_guard lock(mutex_);
  open_ = true;
  changed_.notify_all();
}

void Gate::Wait() {
  std::unique_lock lock(mutex_);
  ++waiting_;
  changed_.notify_all();
  changed_.wait_for(lock, kTimeout, [this] { return open_; });
}

void Gate::WaitForWaiters(int count) {
  std::unique_lock lock(mutex_);
  REQUIRE(changed_.wait_for(lock, kTimeout, [&] { return waiting_ >= count; }));
}

}  // namespace pollenrudder
