// Conversion between "ip:port" and endpoints, inside this package.

#ifndef POLLENRUDDER_OPERATORS_SOCKET_ADDRESS_H_
#define POLLENRUDDER_OPERATORS_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

#include "base/result.h"

namespace pollenrudder {

Result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view address);

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_SOCKET_ADDRESS_H_
