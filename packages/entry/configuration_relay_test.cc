// Tests of the relay of configurations over loopback connections.

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
  void OnConfigurationFetchFailed() override { ++missed; }

  std::optional<ConfigurationDocument> fetched;
  int missed = 0;
  ConfigurationRelay relay;
};

struct Zone {
  Zone() : source(io), receiver(io) {}

  // Starts to serve what the source keeps.
  void Listen() {
    auto listening = HttpServer::Listen(
        io, address,
        [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          ++asked;
          respond(source.relay.HandleRequest(PathOf(request.target)));
        });
    REQUIRE(listening);
    server = std::move(listening.value());
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
  int asked = 0;
};

// Answers to the pattern of a configuration of more than a thousand routes that
// a whole zone needs at once.
TEST_CASE("A large configuration comes whole from the source of the zone") {
  Zone zone;
  zone.Listen();
  const std::string text(1500000, 'r');
  zone.Serve(7, text);
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.receiver.fetched.has_value(); }));
  CHECK(zone.receiver.fetched->version == 7);
  CHECK(zone.receiver.fetched->position == 107);
  CHECK(zone.receiver.fetched->text == text);
  CHECK(zone.receiver.missed == 0);
}

// The source hears of a version at the moment at which the others do.
TEST_CASE("A configuration that the source does not have yet is awaited") {
  Zone zone;
  zone.Listen();
  zone.Serve(6, "old");
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.asked >= 2; }));
  CHECK_FALSE(zone.receiver.fetched);
  zone.Serve(8, "new");
  REQUIRE(zone.RunUntil([&] { return zone.receiver.fetched.has_value(); }));
  CHECK(zone.receiver.fetched->text == "new");
}

// Guards against a version that is late since its source was lost.
TEST_CASE("The store is read when the source does not help within a second") {
  Zone zone;
  const auto began = std::chrono::steady_clock::now();
  SECTION("it does not listen") {}
  SECTION("it never has the version") {
    zone.Listen();
  }
  SECTION("it accepts and says nothing") {
    boost::asio::ip::tcp::acceptor silent(zone.io, EndpointOf(zone.address));
    zone.receiver.relay.Fetch(7, zone.address);
    REQUIRE(zone.RunUntil([&] { return zone.receiver.missed > 0; }));
  }
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] { return zone.receiver.missed > 0; }));
  CHECK(std::chrono::steady_clock::now() - began < 1s);
  const int missed = zone.receiver.missed;
  // The version is not asked for again.
  zone.receiver.relay.Fetch(7, zone.address);
  CHECK(zone.receiver.missed == missed + 1);
}

// The source was stopped between two questions: the process ended by an
// assertion (cumbre-chalet scale-2, front-cotopaxi-2 at 32.5 s).
TEST_CASE("A source may close the connection between two questions") {
  Zone zone;
  boost::asio::ip::tcp::acceptor acceptor(zone.io, EndpointOf(zone.address));
  boost::asio::ip::tcp::socket socket(zone.io);
  std::array<char, 1024> request{};
  acceptor.async_accept(socket, [&](boost::system::error_code) {
    socket.async_read_some(
        boost::asio::buffer(request),
        [&](boost::system::error_code, std::size_t) {
          const std::string answer =
              "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
          boost::asio::write(socket, boost::asio::buffer(answer));
          socket.close();
          acceptor.close();
          zone.Serve(7, "text");
          zone.Listen();
        });
  });
  zone.receiver.relay.Fetch(7, zone.address);
  REQUIRE(zone.RunUntil([&] {
    return zone.receiver.fetched.has_value() || zone.receiver.missed > 0;
  }));
  CHECK(zone.receiver.fetched);
}

TEST_CASE("A source answers nothing but requests for versions") {
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
