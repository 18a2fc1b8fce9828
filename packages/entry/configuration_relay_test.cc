// Tests of ConfigurationRelay over loopback connections.

#include "entry/configuration_relay.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"
#include "entry/http_server.h"
#include "entry/loopback_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

struct Receiver : ConfigurationRelay::Observer {
  explicit Receiver(boost::asio::io_context& io) : relay(io, *this) {}

  void OnConfigurationFetched(const ConfigurationDocument& document) override {
    fetched = document;
  }
  void OnConfigurationFetchFailed() override { ++failures; }

  std::optional<ConfigurationDocument> fetched;
  int failures = 0;
  ConfigurationRelay relay;
};

struct Zone {
  Zone() : source(io), receiver(io) {}

  // Starts the HTTP server of the source.
  void Listen() {
    auto listen_result = HttpServer::Listen(
        io, address, {},
        [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          ++requests;
          respond(source.relay.HandleRequest(PathOf(request.target)));
        });
    REQUIRE(listen_result);
    server = std::move(listen_result.value());
  }

  void Serve(std::uint64_t version, std::string text) {
    source.relay.Serve(std::make_shared<const ConfigurationDocument>(
        ConfigurationDocument{version, 100 + version, std::move(text)}));
  }

  bool RunUntil(const std::function<bool()>& done) {
    return pollenrudder::RunUntil(io, done);
  }

  boost::asio::io_context io{1};
  const std::string address = FreeAddress(io);
  Receiver source;
  Receiver receiver;
  std::unique_ptr<HttpServer> server;
  int requests = 0;
};

// Load pattern: a configuration of more than a thousand routes that all
// instances of an availability zone fetch at once.
TEST_CASE("ConfigurationRelay fetches a large configuration from the source") {
  Zone zone;
  zone.Listen();
  const std::string text(1500000, 'r');
  zone.Serve(7, text);
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.receiver.fetched.has_value(); }));
  CHECK(zone.receiver.fetched->version == 7);
  CHECK(zone.receiver.fetched->position == 107);
  CHECK(zone.receiver.fetched->text == text);
  CHECK(zone.receiver.failures == 0);
}

// The update reaches the source at the same time as the receivers, so the
// source may not have read the version yet.
TEST_CASE("ConfigurationRelay retries until the source has the version") {
  Zone zone;
  zone.Listen();
  zone.Serve(6, "old");
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.requests >= 2; }));
  CHECK_FALSE(zone.receiver.fetched);
  zone.Serve(8, "new");
  REQUIRE(zone.RunUntil([&] { return zone.receiver.fetched.has_value(); }));
  CHECK(zone.receiver.fetched->text == "new");
}

// Guards against a version that is applied late because its source was lost.
TEST_CASE("A fetch fails within a second if the source does not respond") {
  Zone zone;
  const auto started_at = std::chrono::steady_clock::now();
  SECTION("the source does not listen") {}
  SECTION("the source never has the version") {
    zone.Listen();
  }
  SECTION("the source accepts connections and sends nothing") {
    boost::asio::ip::tcp::acceptor unresponsive(zone.io,
                                                EndpointOf(zone.address));
    zone.receiver.relay.Fetch(7, zone.address);
    REQUIRE(zone.RunUntil([&] { return zone.receiver.failures > 0; }));
  }
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.receiver.failures > 0; }));
  CHECK(std::chrono::steady_clock::now() - started_at < 1s);
  const int failures = zone.receiver.failures;
  // The failed version is not requested again.
  zone.receiver.relay.Fetch(7, zone.address);
  CHECK(zone.receiver.failures == failures + 1);
}

// Guards against a source that closes the connection between two requests, for
// example because it was stopped. The receiver reused the closed connection and
// its process ended with an assertion failure (cumbre-chalet scale-2,
// front-cotopaxi-2 at 32.5 s).
TEST_CASE(
    "A fetch succeeds if the source closes the connection between requests") {
  Zone zone;
  boost::asio::ip::tcp::acceptor acceptor(zone.io, EndpointOf(zone.address));
  boost::asio::ip::tcp::socket socket(zone.io);
  std::array<char, 1024> request{};
  acceptor.async_accept(socket, [&](boost::system::error_code) {
    socket.async_read_some(
        boost::asio::buffer(request),
        [&](boost::system::error_code, std::size_t) {
          const std::string response =
              "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
          boost::asio::write(socket, boost::asio::buffer(response));
          socket.close();
          acceptor.close();
          zone.Serve(7, "text");
          zone.Listen();
        });
  });
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] {
    return zone.receiver.fetched.has_value() || zone.receiver.failures > 0;
  }));
  CHECK(zone.receiver.fetched);
}

TEST_CASE("A source serves only requests for versions that it has") {
  Zone zone;
  zone.Serve(7, "text");
  CHECK(zone.source.relay.HandleRequest("/plan/7").status == 200);
  CHECK(zone.source.relay.HandleRequest("/plan/6").status == 200);
  CHECK(zone.source.relay.HandleRequest("/plan/8").status == 503);
  CHECK(zone.source.relay.HandleRequest("/plan/").status == 503);
  CHECK(zone.source.relay.HandleRequest("/").status == 503);
  CHECK(zone.source.relay.HandleRequest("/plan/7x").status == 503);
}

}  // namespace
}  // namespace pollenrudder
