// Socket options, set through the native handle where Asio has none.

#include "entry/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/socket_base.hpp>

namespace pollenrudder {
namespace {

// An unresponsive peer is detected after idle + interval x count.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveCount = 2;
// The same limit for bytes that were sent and not acknowledged.
constexpr int kUserTimeoutMs = 3000;

void SetOption(boost::asio::ip::tcp::socket& socket, int option, int value) {
  // A socket that rejects an option still works, but detects failures later.
  (void)setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                   sizeof(value));
}

}  // namespace

void SetConnectionOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  SetOption(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, TCP_KEEPCNT, kKeepAliveCount);
  SetOption(socket, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void SetReceiveBuffer(boost::asio::ip::tcp::acceptor& acceptor,
                      std::size_t bytes) {
  boost::system::error_code ignored;
  acceptor.set_option(
      boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes)),
      ignored);
}

void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes) {
  boost::system::error_code ignored;
  socket.set_option(
      boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes)),
      ignored);
  // The system derives this bound from the buffer only when the connection is
  // opened.
  SetOption(socket, TCP_WINDOW_CLAMP, static_cast<int>(bytes));
}

bool HasOrderlyEnd(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

void ResetConnection(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace pollenrudder
