// LoadChannel over a UDP socket.

#include "entry/load_channel.h"

#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/socket_address.h"

namespace pollenrudder {

Result<std::unique_ptr<LoadChannel>> LoadChannel::Open(
    boost::asio::io_context& io,
    const std::string& address,
    Handler handler) {
  const auto endpoint = EndpointOf(address);
  std::unique_ptr<LoadChannel> channel(
      new LoadChannel(io, std::move(handler)));
  boost::system::error_code error;
  channel->socket_.open(boost::asio::ip::udp::v4(), error);
  if (!error)
    channel->socket_.bind({endpoint.address(), endpoint.port()}, error);
  if (!error)
    channel->socket_.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "cannot bind UDP " + address + ": " + error.message());
  }
  channel->Receive();
  return channel;
}

LoadChannel::LoadChannel(boost::asio::io_context& io, Handler handler)
    : socket_(io), handler_(std::move(handler)) {}

void LoadChannel::Send(const std::string& address, const LoadReport& report) {
  const auto endpoint = EndpointOf(address);
  const std::string text = EncodeLoadReport(report);
  if (endpoint.port() == 0 || text.size() > kMaxDatagram)
    return;
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(text),
                  {endpoint.address(), endpoint.port()}, 0, ignored);
}

void LoadChannel::Receive() {
  socket_.async_wait(
      boost::asio::ip::udp::socket::wait_read,
      [this](boost::system::error_code error) {
        if (error)
          return;
        while (true) {
          boost::system::error_code read_error;
          const std::size_t size = socket_.available(read_error);
          if (read_error || size == 0)
            break;
          buffer_.resize(size);
          const std::size_t bytes = socket_.receive_from(
              boost::asio::buffer(buffer_), sender_, 0, read_error);
          if (read_error)
            break;
          if (const auto report =
                  ParseLoadReport(std::string_view(buffer_.data(), bytes)))
            handler_(*report);
        }
        Receive();
      });
}

}  // namespace pollenrudder
