// ProbeServer over Boost.Asio.

#include "entry/probe_server.h"

#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "entry/socket_options.h"
#include "http/http_parser.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 1024;
constexpr std::chrono::milliseconds kAcceptPause{50};

}  // namespace

class ProbeServer::Connection
    : public std::enable_shared_from_this<ProbeServer::Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, const Handler& handler)
      : socket_(std::move(socket)), handler_(handler) {
    SetLinkOptions(socket_);
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
    const HttpRequest& request = parser_->request();
    const bool close = !request.keep_alive;
    const std::string_view path =
        std::string_view(request.target).substr(0, request.target.find('?'));
    answer_ = FormatResponse(handler_(path), request.method == "HEAD", close);
    parser_.reset();
    boost::asio::async_write(
        socket_, boost::asio::buffer(answer_),
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
  std::string answer_;
};

Result<std::unique_ptr<ProbeServer>> ProbeServer::Listen(
    boost::asio::io_context& io,
    const std::string& address,
    Handler handler) {
  std::unique_ptr<ProbeServer> server(new ProbeServer(io, std::move(handler)));
  const auto listening = ListenOn(server->acceptor_, address);
  if (!listening)
    return listening.error();
  server->Accept();
  return server;
}

ProbeServer::ProbeServer(boost::asio::io_context& io, Handler handler)
    : acceptor_(io), handler_(std::move(handler)) {}

void ProbeServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted)
      return;
    if (!error) {
      std::make_shared<Connection>(std::move(socket), handler_)->Read();
      Accept();
      return;
    }
    // Out of descriptors, for example: try again after others are closed.
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        acceptor_.get_executor(), kAcceptPause);
    timer->async_wait([this, timer](boost::system::error_code timer_error) {
      if (!timer_error)
        Accept();
    });
  });
}

}  // namespace pollenrudder
