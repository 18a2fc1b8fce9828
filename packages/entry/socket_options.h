// Socket options of all TCP connections of the entry package.

#ifndef POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
#define POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace pollenrudder {

// Disables Nagle's algorithm, and ends connections whose peer stops responding
// without a reset after about three seconds.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

// Closes with a TCP reset, so that bytes delayed by a network partition are
// discarded.
void ResetConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
