// HttpServer over Boost.Asio.

#include "entry/http_server.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "entry/socket_options.h"
#include "http/http_parser.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 1024;

}  // namespace

class HttpServer::Connection
    : public std::enable_shared_from_this<HttpServer::Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, const Handler& handler)
      : socket_(std::move(socket)), handler_(handler) {
    SetConnectionOptions(socket_);
  }

  void Read() {
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [self = shared_from_this()](boost::system::error_code error,
                                    std::size_t bytes) {
          if (error)
            return;
          self->buffer_.commit(bytes);
          self->Parse();
        });
  }

 private:
  void Parse() {
    if (!parser_) {
      parser_ =
          std::make_unique<HttpRequestParser>(ParseLimits{}, no_body_limit_);
    }
    const ParseStatus status = parser_->Parse(buffer_);
    if (status == ParseStatus::kNeedMore) {
      Read();
      return;
    }
    if (status != ParseStatus::kDone)
      return;
    const HttpRequest request = std::move(parser_->request());
    parser_.reset();
    handler_(
        request,
        [self = shared_from_this(), head_request = request.method == "HEAD",
         close = !request.keep_alive](const HttpResponse& response) {
          self->SendResponse(response, head_request, close);
        });
  }

  void SendResponse(const HttpResponse& response,
                    bool head_request,
                    bool close) {
    write_buffer_ = FormatResponse(response, head_request, close);
    boost::asio::async_write(
        socket_, boost::asio::buffer(write_buffer_),
        [self = shared_from_this(), close](boost::system::error_code error,
                                           std::size_t /*bytes*/) {
          if (!error && !close)
            self->Read();
        });
  }

  boost::asio::ip::tcp::socket socket_;
  const Handler& handler_;
  boost::beast::flat_buffer buffer_;
  const HttpRequestParser::BodyLimit no_body_limit_;
  std::unique_ptr<HttpRequestParser> parser_;
  std::string write_buffer_;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    boost::asio::io_context& io,
    const std::string& address,
    Handler handler) {
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  auto acceptor = SocketAcceptor::Listen(
      io, address, /*receive_buffer_bytes=*/0,
      [server = server.get()](boost::asio::ip::tcp::socket socket) {
        std::make_shared<Connection>(std::move(socket), server->handler_)
            ->Read();
      });
  if (!acceptor)
    return acceptor.error();
  server->acceptor_ = std::move(acceptor.value());
  return server;
}

}  // namespace pollenrudder
