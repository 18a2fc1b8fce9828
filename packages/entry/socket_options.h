// What all sockets of the entry package share.

#ifndef POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
#define POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace pollenrudder {

// Sends small messages at once, and ends connections whose other side has gone
// silent without a reset after about three seconds.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

// Closes with a reset, so that bytes which a partition holds up are lost.
void ResetConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
