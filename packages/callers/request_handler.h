// Interface between CallerServer and the handlers of its requests.

#ifndef POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_
#define POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "callers/caller_exchange.h"

namespace pollenrudder {

// Implemented by Ingress for requests of callers and by ForwardHandler for
// forwarded requests. Each I/O thread has its own object, whose functions are
// called on that thread only.
class RequestHandler {
 public:
  // Creates the handler of an I/O thread.
  using Factory = std::function<std::unique_ptr<RequestHandler>(
      boost::asio::io_context& io)>;

  virtual ~RequestHandler() = default;

  // Returns the body size limit of `request`, of which only the header has been
  // read.
  virtual std::uint64_t BodyLimit(const HttpRequest& request) = 0;

  // Handles the request and calls Respond() of `exchange` when done.
  virtual void Handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_REQUEST_HANDLER_H_
