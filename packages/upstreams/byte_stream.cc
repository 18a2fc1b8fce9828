// ByteStream over plain TCP.

#include "upstreams/byte_stream.h"

#include <utility>

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

class PlainStream : public ByteStream {
 public:
  explicit PlainStream(tcp::socket socket) : socket_(std::move(socket)) {
    if (socket_.is_open())
      SetOptions();
  }

  void Connect(const tcp::endpoint& endpoint, OpenHandler handler) override {
    error_code error;
    socket_.open(endpoint.protocol(), error);
    if (error) {
      boost::asio::post(socket_.get_executor(), [handler = std::move(handler),
                                                 error] { handler(error); });
      return;
    }
    SetOptions();
    socket_.async_connect(endpoint, std::move(handler));
  }

  void Accept(OpenHandler handler) override {
    boost::asio::post(socket_.get_executor(), [handler = std::move(handler)] {
      handler(error_code());
    });
  }

  void ReadSome(boost::asio::mutable_buffer buffer, Handler handler) override {
    socket_.async_read_some(buffer, std::move(handler));
  }

  void Write(boost::asio::const_buffer buffer, Handler handler) override {
    boost::asio::async_write(
        socket_, buffer,
        [this, before = bytes_written_](error_code error, std::size_t bytes) {
          bytes_written_ = before + bytes;
          return boost::asio::transfer_all()(error, bytes);
        },
        std::move(handler));
  }

  std::uint64_t bytes_written() const override { return bytes_written_; }

  bool HasUndelivered() override {
    return UnacknowledgedBytes(socket_).value_or(0) > 0;
  }

  void Linger(LingeringClose::Peer peer,
              std::function<void()> handler) override {
    lingering_ = LingeringClose::Start(
        std::move(socket_), peer,
        {.on_progress = nullptr, .on_closed = std::move(handler)});
  }

  void Close() override {
    error_code ignored;
    socket_.close(ignored);
    if (const auto lingering = lingering_.lock())
      lingering->Close();
  }

  tcp::endpoint remote_endpoint() const override {
    error_code ignored;
    return socket_.remote_endpoint(ignored);
  }

 private:
  void SetOptions() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  tcp::socket socket_;
  std::uint64_t bytes_written_ = 0;
  // Has the socket after Linger().
  std::weak_ptr<LingeringClose> lingering_;
};

}  // namespace

std::unique_ptr<ByteStream> CreatePlainStream(tcp::socket socket) {
  return std::make_unique<PlainStream>(std::move(socket));
}

}  // namespace pollenrudder
