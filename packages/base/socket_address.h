// Addresses in the form "ip:port". For the packages that do I/O: the header
// includes Boost.Asio.

#ifndef POLLENRUDDER_BASE_SOCKET_ADDRESS_H_
#define POLLENRUDDER_BASE_SOCKET_ADDRESS_H_

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "base/result.h"

namespace pollenrudder {

// Parses "ip:port" or "[ip]:port"; fails with kInvalidSettings.
Result<boost::asio::ip::tcp::endpoint> ParseSocketAddress(
    std::string_view address);

// As ParseSocketAddress(), for an address that was read from the log. One that
// can't be parsed gives port 0 of the unspecified address, to which no
// connection can be opened.
boost::asio::ip::tcp::endpoint EndpointOf(std::string_view address);

std::string SocketAddressText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_SOCKET_ADDRESS_H_
