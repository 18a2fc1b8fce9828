// SocketAcceptor over Boost.Asio.

#include "entry/socket_acceptor.h"

#include <chrono>
#include <utility>

#include "base/socket_address.h"
#include "entry/socket_options.h"

namespace pollenrudder {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

Result<std::unique_ptr<SocketAcceptor>> SocketAcceptor::Listen(
    boost::asio::io_context& io,
    const std::string& address,
    std::size_t receive_buffer_bytes,
    Handler handler) {
  std::unique_ptr<SocketAcceptor> listener(
      new SocketAcceptor(io, std::move(handler)));
  boost::asio::ip::tcp::acceptor& acceptor = listener->acceptor_;
  const auto endpoint = EndpointOf(address);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true),
                        error);
  }
  if (!error && receive_buffer_bytes > 0)
    SetReceiveBuffer(acceptor, receive_buffer_bytes);
  if (!error)
    acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "cannot listen on " + address + ": " + error.message());
  }
  listener->Accept();
  return listener;
}

SocketAcceptor::SocketAcceptor(boost::asio::io_context& io, Handler handler)
    : acceptor_(io), retry_timer_(io), handler_(std::move(handler)) {}

std::string SocketAcceptor::address() const {
  return SocketAddressText(acceptor_.local_endpoint());
}

void SocketAcceptor::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void SocketAcceptor::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || !IsOpen())
      return;
    if (!error) {
      handler_(std::move(socket));
      Accept();
      return;
    }
    retry_timer_.expires_after(kRetryDelay);
    retry_timer_.async_wait([this](boost::system::error_code timer_error) {
      if (!timer_error)
        Accept();
    });
  });
}

}  // namespace pollenrudder
