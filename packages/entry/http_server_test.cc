// Tests of HttpServer.

#include "entry/http_server.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"
#include "entry/http_client.h"
#include "entry/loopback_test.h"

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;

struct Fixture {
  // Starts a server that responds to each request with `body`.
  void Listen(const HttpServer::Options& options, const std::string& body) {
    auto listening =
        HttpServer::Listen(io, "127.0.0.1:0", options,
                           [body](const HttpRequest& /*request*/,
                                  const HttpServer::Respond& respond) {
                             HttpResponse response;
                             response.status = 200;
                             response.body = body;
                             respond(response);
                           });
    REQUIRE(listening);
    server = std::move(listening.value());
  }

  // Returns the status of the response, or 0 if there is none.
  int StatusOf(const std::string& request) {
    const auto client = HttpClient::Create(io, EndpointOf(server->address()));
    std::optional<int> status;
    client->Call(
        request, {}, [&](HttpCallResult result, HttpResponse& response) {
          status = result == HttpCallResult::kAnswered ? response.status : 0;
        });
    RunUntil(io, [&] { return status.has_value(); });
    client->Abort();
    return status.value_or(0);
  }

  static std::string Get() { return "GET / HTTP/1.1\r\nHost: a\r\n\r\n"; }

  boost::asio::io_context io{1};
  std::unique_ptr<HttpServer> server;
};

// Guards against idle connections that use up the descriptors of the process.
TEST_CASE_METHOD(Fixture, "HttpServer closes the connection idle for longest") {
  Listen({.max_connections = 2}, "x");
  std::vector<tcp::socket> idle;
  int closed = 0;
  char byte = 0;
  for (int index = 0; index < 3; ++index) {
    idle.emplace_back(io).connect(EndpointOf(server->address()));
    // Until it is accepted.
    io.run_for(std::chrono::milliseconds(20));
  }
  idle.front().async_read_some(
      boost::asio::buffer(&byte, 1),
      [&](boost::system::error_code error, std::size_t /*bytes*/) {
        closed += error == boost::asio::error::eof ? 1 : 0;
      });
  CHECK(RunUntil(io, [&] { return closed == 1; }));
  CHECK(StatusOf(Get()) == 200);
}

// Guards against bodies that nobody reads and that take memory.
TEST_CASE_METHOD(Fixture, "HttpServer refuses bodies over its limit") {
  Listen({.body_bytes = 10}, "x");
  const std::string start = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
  CHECK(StatusOf(start + "10\r\n\r\n0123456789") == 200);
  CHECK(StatusOf(start + "11\r\n\r\n0123456789x") == 0);
}

// Guards against requests that get no answer until more bytes arrive, since
// they arrived together with the one before.
TEST_CASE_METHOD(Fixture, "HttpServer answers pipelined requests") {
  constexpr std::size_t kRequests = 100;
  Listen({}, "x");
  tcp::socket client(io);
  client.connect(EndpointOf(server->address()));
  std::string requests;
  for (std::size_t index = 0; index < kRequests; ++index)
    requests += Get();
  boost::asio::write(client, boost::asio::buffer(requests));
  client.non_blocking(true);
  std::string received;
  std::string part(4096, ' ');
  CHECK(RunUntil(io, [&] {
    boost::system::error_code error;
    const std::size_t size = client.read_some(boost::asio::buffer(part), error);
    received.append(part, 0, size);
    return std::ranges::count(received, 'x') == kRequests;
  }));
}

// Guards against responses that are not counted, and that stay counted after
// they were written.
TEST_CASE_METHOD(Fixture, "HttpServer charges its responses") {
  const auto account = std::make_shared<MemoryAccount>(
      /*limit_bytes=*/1 << 20, /*reserve_bytes=*/0);
  Listen({.memory = account}, std::string(600 << 10, 'x'));
  CHECK(StatusOf(Get()) == 200);
  CHECK(account->used_bytes() == 0);
  MemoryAccount::Charge other(account);
  REQUIRE(other.TryResize(512 << 10, BootClock::now()));
  CHECK(StatusOf(Get()) == 0);
  CHECK(account->used_bytes() == 512 << 10);
}

}  // namespace
}  // namespace pollenrudder
