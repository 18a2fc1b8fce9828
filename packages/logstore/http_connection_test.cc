// Tests of HttpConnection.

#include "logstore/http_connection.h"

#include <chrono>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/scripted_server_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using End = ScriptedResponse::End;

// Returns the body of the response to a GET, if it is complete.
std::optional<std::string> BodyOf(const ScriptedResponse& response) {
  boost::asio::io_context io{1};
  ScriptedServer server(
      io, [&response](const std::string&, int) { return response; });
  HttpConnection connection(io.get_executor(), server.endpoint());
  std::optional<std::string> body;
  bool done = false;
  const auto get = [&]() -> boost::asio::awaitable<void> {
    const auto result = co_await connection.Get("/", "", 5s);
    if (result)
      body = result.assume_value().body();
    done = true;
  };
  boost::asio::co_spawn(io, get, boost::asio::detached);
  while (!done && io.run_one() > 0) {
  }
  return body;
}

// Guards against a part of the log or the list that is taken for all of it.
TEST_CASE("HttpConnection refuses responses that may be incomplete") {
  const End end = GENERATE(End::kClose, End::kReset);
  const std::string fields =
      GENERATE(std::string(), std::string("Connection: close\r\n"),
               std::string("Transfer-Encoding: gzip\r\n"),
               std::string("Content-Length: 100\r\n"),
               std::string("Transfer-Encoding: chunked\r\n"));
  const std::string body = GENERATE(std::string(), std::string("4\r\npart\r\n"),
                                    std::string(100'000, '0'));
  if (fields == "Content-Length: 100\r\n" && body.size() > 100)
    return;
  CHECK_FALSE(
      BodyOf({"HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, "", end}));
}

TEST_CASE("HttpConnection accepts a response with a length") {
  const End end = GENERATE(End::kClose, End::kKeepOpen);
  CHECK(BodyOf({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", end}) ==
        "body");
}

}  // namespace
}  // namespace pollenrudder
