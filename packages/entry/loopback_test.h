// Servers and event loops for tests over loopback connections.

#ifndef POLLENRUDDER_ENTRY_LOOPBACK_TEST_H_
#define POLLENRUDDER_ENTRY_LOOPBACK_TEST_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/socket_address.h"
#include "entry/http_server.h"

namespace pollenrudder {

// Returns an address with a port that is currently free.
inline std::string FreeAddress(boost::asio::io_context& io) {
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), /*port=*/0});
  return SocketAddressText(acceptor.local_endpoint());
}

// Starts a server on a free port.
inline std::unique_ptr<HttpServer> ServeOnLoopback(
    boost::asio::io_context& io,
    HttpServer::Handler handler) {
  auto server = HttpServer::Listen(io, "127.0.0.1:0", std::move(handler));
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
