// Tests of the admin port and the blocking HTTP client.

#include "operators/admin_server.h"

#include <catch2/catch.hpp>

#include "operators/admin_handler.h"
#include "operators/http_client.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

class EchoHandler : public AdminHandler {
 public:
  AdminResponse HandleAdminRequest(std::string_view target) override {
    return AdminResponse{target == "/missing" ? 404 : 200, "text/plain",
                         std::string(target)};
  }
};

TEST_CASE("the admin port serves GET requests") {
  EchoHandler handler;
  const auto server = AdminServer::Start("127.0.0.1:0", handler);
  REQUIRE(server.has_value());
  const std::string& address = server.value()->address();
  const auto response =
      SendHttpRequest(address, "/route?service=a", "", milliseconds(5000));
  REQUIRE(response.value().http_status == 200);
  REQUIRE(response.value().body == "/route?service=a");
  REQUIRE(SendHttpRequest(address, "/missing", "", milliseconds(5000))
              .value()
              .http_status == 404);
}

// Guards against an admin port that is not read-only.
TEST_CASE("the admin port rejects methods other than GET") {
  EchoHandler handler;
  const auto server = AdminServer::Start("127.0.0.1:0", handler);
  const auto response = SendHttpRequest(server.value()->address(), "/status",
                                        "{}", milliseconds(5000));
  REQUIRE((response.has_error() || response.value().http_status == 405));
}

// Guards against a tool that blocks, or reports an empty response as success.
TEST_CASE("a request to an address without a server is an error") {
  std::string address;
  {
    EchoHandler handler;
    address = AdminServer::Start("127.0.0.1:0", handler).value()->address();
  }
  const auto response = SendHttpRequest(address, "/", "", milliseconds(5000));
  REQUIRE(response.error().kind == ErrorKind::kLogUnavailable);
  REQUIRE(SendHttpRequest("localhost:1", "/", "", milliseconds(5000))
              .error()
              .kind == ErrorKind::kInvalidSettings);
}

TEST_CASE("an address that is already in use is a settings error") {
  EchoHandler handler;
  const auto first = AdminServer::Start("127.0.0.1:0", handler);
  const auto second = AdminServer::Start(first.value()->address(), handler);
  REQUIRE(second.error().kind == ErrorKind::kInvalidSettings);
}

}  // namespace
}  // namespace pollenrudder
