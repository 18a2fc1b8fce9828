// Parses and formats addresses of the form "ip:port". Include it only in
// packages that do I/O, because it includes Boost.Asio.

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

// Like ParseSocketAddress(), for addresses read from the log or a list. Returns
// port 0 of the unspecified address, to which no connection can be opened, if
// `address` is malformed.
boost::asio::ip::tcp::endpoint EndpointOf(std::string_view address);

// Formats an endpoint as "ip:port", or "[ip]:port" for IPv6.
std::string SocketAddressText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_SOCKET_ADDRESS_H_
