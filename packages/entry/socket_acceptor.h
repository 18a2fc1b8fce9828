// Accepts TCP connections at an address.

#ifndef POLLENRUDDER_ENTRY_SOCKET_ACCEPTOR_H_
#define POLLENRUDDER_ENTRY_SOCKET_ACCEPTOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/result.h"

namespace pollenrudder {

// Listens from its creation to Close(). If a connection cannot be accepted, for
// example because file descriptors are exhausted, it retries after a delay.
class SocketAcceptor {
 public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  // Fails with kInvalidSettings if `address`, "ip:port", is in use. Port 0
  // selects a free port. A `receive_buffer_bytes` of 0 is the system's default;
  // see SetReceiveBuffer().
  static Result<std::unique_ptr<SocketAcceptor>> Listen(
      boost::asio::io_context& io,
      const std::string& address,
      std::size_t receive_buffer_bytes,
      Handler handler);

  // The address with the port in use.
  std::string address() const;
  bool IsOpen() const { return acceptor_.is_open(); }
  void Close();

 private:
  SocketAcceptor(boost::asio::io_context& io, Handler handler);
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  const Handler handler_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_SOCKET_ACCEPTOR_H_
