// What an HTTP server of the daemon does with a request.

#ifndef POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_
#define POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "callers/caller_exchange.h"

namespace pollenrudder {

// Implemented by Ingress for callers and by ForwardHandler for other instances.
// There is one object per I/O thread; all functions are called on it.
class RequestHandler {
 public:
  // Creates the handler of one thread.
  using Factory = std::function<std::unique_ptr<RequestHandler>(
      boost::asio::io_context& io)>;

  virtual ~RequestHandler() = default;

  // Returns the largest body to accept. The header of `request` was read.
  virtual std::uint64_t BodyLimit(const HttpRequest& request) = 0;

  virtual void Handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_
