// ByteStream over plain TCP.

#include "upstreams/byte_stream.h"

#include <utility>

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
    boost::asio::async_write(socket_, buffer, std::move(handler));
  }

  void Close() override {
    error_code ignored;
    socket_.close(ignored);
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
};

}  // namespace

std::unique_ptr<ByteStream> CreatePlainStream(tcp::socket socket) {
  return std::make_unique<PlainStream>(std::move(socket));
}

}  // namespace pollenrudder
