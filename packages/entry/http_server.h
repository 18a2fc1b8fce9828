// A small HTTP/1.1 server: probes, metrics, and what instances ask each other.

#ifndef POLLENRUDDER_ENTRY_HTTP_SERVER_H_
#define POLLENRUDDER_ENTRY_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/result.h"
#include "entry/socket_acceptor.h"
#include "http/http_message.h"

namespace pollenrudder {

// Answers one request a connection at a time, and keeps the connection open
// between them. Runs on the event loop of its owner. Callers of the router are
// served by CallerConnection instead, which pipelines and has limits.
class HttpServer {
 public:
  using Respond = std::function<void(const HttpResponse&)>;
  // Calls its second argument once, at once or later.
  using Handler = std::function<void(const HttpRequest&, const Respond&)>;

  // Fails with kInvalidSettings if `address`, "ip:port", is taken. Port 0 takes
  // a free one.
  static Result<std::unique_ptr<HttpServer>> Listen(boost::asio::io_context& io,
                                                    const std::string& address,
                                                    Handler handler);

  // The address with the port that was taken.
  std::string address() const { return acceptor_->address(); }

 private:
  class Connection;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}

  const Handler handler_;
  std::unique_ptr<SocketAcceptor> acceptor_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_SERVER_H_
