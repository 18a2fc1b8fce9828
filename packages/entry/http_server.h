// A small HTTP/1.1 server for probes, metrics and requests between instances.

#ifndef POLLENRUDDER_ENTRY_HTTP_SERVER_H_
#define POLLENRUDDER_ENTRY_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/memory_account.h"
#include "base/result.h"
#include "entry/socket_acceptor.h"
#include "http/http_message.h"

namespace pollenrudder {

// Handles one request at a time on each connection and keeps the connection
// open between requests. Runs on the event loop given to Listen(). Callers of
// the router are served by CallerConnection instead, which supports pipelining.
class HttpServer {
 public:
  using Respond = std::function<void(const HttpResponse&)>;
  // Must call its second argument once, immediately or later.
  using Handler = std::function<void(const HttpRequest&, const Respond&)>;

  struct Options {
    // A further connection closes the one that has been inactive for longest,
    // preferably one to which no response is being sent.
    std::size_t max_connections = 4096;
    // A connection whose request has a larger body is closed.
    std::uint64_t body_bytes = 16 << 20;
    // See SetReceiveBuffer(); 0 is the system's default.
    std::size_t receive_buffer_bytes = 0;
    // If set, responses are charged to it while they are written. A connection
    // whose response does not fit is closed.
    std::shared_ptr<MemoryAccount> memory;
  };

  // Fails with kInvalidSettings if `address`, "ip:port", is in use. Port 0
  // selects a free port.
  static Result<std::unique_ptr<HttpServer>> Listen(boost::asio::io_context& io,
                                                    const std::string& address,
                                                    const Options& options,
                                                    Handler handler);
  ~HttpServer();

  // The address with the port in use.
  std::string address() const { return acceptor_->address(); }

 private:
  class Connection;
  struct SharedState;

  HttpServer(const Options& options, Handler handler);
  void OnAccepted(boost::asio::ip::tcp::socket socket);

  // Connections may exist for longer than the server.
  const std::shared_ptr<SharedState> shared_;
  std::unique_ptr<SocketAcceptor> acceptor_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_SERVER_H_
