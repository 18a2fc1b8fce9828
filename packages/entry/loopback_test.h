// Servers and event loops for tests over loopback connections.

#ifndef POLLENRUDDER_ENTRY_LOOPBACK_TEST_H_
#define POLLENRUDDER_ENTRY_LOOPBACK_TEST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>

#include "base/socket_address.h"
#include "entry/http_server.h"

namespace pollenrudder {

// Returns an address with a port that no other caller of this function gets
// while this process runs, in any process. The port is outside of the range
// from which the system chooses the ports of connections; a socket at another
// loopback address reserves it.
inline std::string FreeAddress(boost::asio::io_context& /*io*/) {
  using boost::asio::ip::tcp;
  constexpr std::uint16_t kFirstPort = 10'000;
  constexpr std::uint16_t kLastPort = 32'000;
  const auto reserving_address = boost::asio::ip::make_address_v4("127.0.0.2");
  static boost::asio::io_context reserving_io;
  static std::vector<tcp::acceptor> reservations;
  static std::mt19937 random{std::random_device()()};
  std::uniform_int_distribution<std::uint16_t> draw(kFirstPort, kLastPort);
  while (true) {
    const std::uint16_t port = draw(random);
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    try {
      tcp::acceptor reservation(reserving_io, {reserving_address, port});
      // Servers that do not use this function may listen there.
      const tcp::acceptor trial(reserving_io, endpoint);
      reservations.push_back(std::move(reservation));
      return SocketAddressText(endpoint);
    } catch (const boost::system::system_error&) {
      continue;
    }
  }
}

// Starts a server on a free port.
inline std::unique_ptr<HttpServer> ServeOnLoopback(
    boost::asio::io_context& io,
    HttpServer::Handler handler) {
  auto server = HttpServer::Listen(io, "127.0.0.1:0", {}, std::move(handler));
  return std::move(server.value());
}

// Runs the event loop until `done` returns true, for up to 20 s because a busy
// machine may be slow.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done() && std::chrono::steady_clock::now() < end)
    io.run_one_for(std::chrono::milliseconds(20));
  return done();
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_LOOPBACK_TEST_H_
