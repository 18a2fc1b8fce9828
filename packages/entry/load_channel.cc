// LoadChannel over a UDP socket.

#include "entry/load_channel.h"

#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/socket_address.h"

namespace pollenrudder {

Result<std::unique_ptr<LoadChannel>> LoadChannel::Open(
    boost::asio::io_context& io,
    const std::string& address,
    ReportHandler on_report,
    UpdateHandler on_update) {
  const auto endpoint = EndpointOf(address);
  std::unique_ptr<LoadChannel> channel(
      new LoadChannel(io, std::move(on_report), std::move(on_update)));
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

LoadChannel::LoadChannel(boost::asio::io_context& io,
                         ReportHandler on_report,
                         UpdateHandler on_update)
    : socket_(io),
      on_report_(std::move(on_report)),
      on_update_(std::move(on_update)) {}

void LoadChannel::Send(const std::string& address, const LoadReport& report) {
  SendText(address, EncodeLoadReport(report));
}

void LoadChannel::Send(const std::string& address, const TableUpdate& update) {
  SendText(address, EncodeTableUpdate(update));
}

void LoadChannel::SendText(const std::string& address,
                           const std::string& text) {
  const auto endpoint = EndpointOf(address);
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
          const std::string_view text(buffer_.data(), bytes);
          if (const auto report = ParseLoadReport(text)) {
            on_report_(*report, sender_.address().to_string() + ':' +
                                    std::to_string(sender_.port()));
          } else if (const auto update = ParseTableUpdate(text)) {
            on_update_(*update);
          }
        }
        Receive();
      });
}

}  // namespace pollenrudder
