// Tests of SendHttpRequest().

#include "operators/http_client.h"

#include <chrono>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

// Returns whether a response of these bytes, behind which the server closes the
// connection, is accepted.
bool IsAccepted(const std::string& response) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(response));
  });
  const auto result = SendHttpRequest(
      SocketAddressText(acceptor.local_endpoint()), "/", "", 5s);
  server.join();
  return result.has_value();
}

// Guards against a part of a response that an operator takes for all of it.
TEST_CASE("SendHttpRequest refuses responses that may be incomplete") {
  CHECK(IsAccepted("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
  CHECK_FALSE(IsAccepted("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"));
  CHECK_FALSE(IsAccepted("HTTP/1.1 200 OK\r\n\r\nbody"));
  CHECK_FALSE(IsAccepted("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
  CHECK_FALSE(
      IsAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody"));
  CHECK_FALSE(IsAccepted(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"));
}

}  // namespace
}  // namespace pollenrudder
