// Answers the platform's question whether this instance takes callers, and
// serves the metrics.

#ifndef POLLENRUDDER_ENTRY_PROBE_SERVER_H_
#define POLLENRUDDER_ENTRY_PROBE_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/result.h"
#include "http/http_message.h"

namespace pollenrudder {

// A server for small requests without a body: one request a connection at a
// time, kept open between them. Runs on the event loop of its owner.
class ProbeServer {
 public:
  // Returns the answer to a path.
  using Handler = std::function<HttpResponse(std::string_view path)>;

  // Fails with kInvalidSettings if `address`, "ip:port", is taken.
  static Result<std::unique_ptr<ProbeServer>> Listen(
      boost::asio::io_context& io,
      const std::string& address,
      Handler handler);

 private:
  class Connection;

  ProbeServer(boost::asio::io_context& io, Handler handler);
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  const Handler handler_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_PROBE_SERVER_H_
