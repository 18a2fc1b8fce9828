// Socket options of all TCP connections of the entry package.

#ifndef POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
#define POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_

#include <cstddef>

#include <boost/asio/ip/tcp.hpp>

namespace pollenrudder {

// Disables Nagle's algorithm, and ends connections whose peer stops responding
// without a reset after about three seconds.
void SetConnectionOptions(boost::asio::ip::tcp::socket& socket);

// Bounds the bytes that the system receives and keeps until they are read. An
// acceptor passes its bound on to the connections that it accepts; these can
// receive at most 64 KiB at once, even if the bound is raised later.
void SetReceiveBuffer(boost::asio::ip::tcp::acceptor& acceptor,
                      std::size_t bytes);
void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes);

// Whether the peer has closed its side in order. False after a reset or a
// timeout, also if a read reports the end of the stream, and if the system does
// not tell.
bool HasOrderlyEnd(boost::asio::ip::tcp::socket& socket);

// Closes with a TCP reset, so that bytes delayed by a network partition are
// discarded.
void ResetConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_SOCKET_OPTIONS_H_
