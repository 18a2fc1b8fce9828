// Takes connections at an address.

#ifndef POLLENRUDDER_ENTRY_SOCKET_ACCEPTOR_H_
#define POLLENRUDDER_ENTRY_SOCKET_ACCEPTOR_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/result.h"

namespace pollenrudder {

// Listens from its creation to Close(). When a connection cannot be taken, for
// example since descriptors have run out, it goes on after a pause.
class SocketAcceptor {
 public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  // Fails with kInvalidSettings if `address`, "ip:port", is taken. Port 0 takes
  // a free one.
  static Result<std::unique_ptr<SocketAcceptor>> Listen(
      boost::asio::io_context& io,
      const std::string& address,
      Handler handler);

  // The address with the port that was taken.
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
