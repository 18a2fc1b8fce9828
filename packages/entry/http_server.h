// A small HTTP/1.1 server for probes, metrics and requests between instances.

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

// Handles one request at a time on each connection and keeps the connection
// open between requests. Runs on the event loop given to Listen(). Callers of
// the router are served by CallerConnection instead, which supports pipelining
// and limits.
class HttpServer {
 public:
  using Respond = std::function<void(const HttpResponse&)>;
  // Must call its second argument once, immediately or later.
  using Handler = std::function<void(const HttpRequest&, const Respond&)>;

  // Fails with kInvalidSettings if `address`, "ip:port", is in use. Port 0
  // selects a free port.
  static Result<std::unique_ptr<HttpServer>> Listen(boost::asio::io_context& io,
                                                    const std::string& address,
                                                    Handler handler);

  // The address with the port in use.
  std::string address() const { return acceptor_->address(); }

 private:
  class Connection;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}

  const Handler handler_;
  std::unique_ptr<SocketAcceptor> acceptor_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_SERVER_H_
