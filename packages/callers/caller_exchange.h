// A received request together with the means to respond to it.

#ifndef POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_
#define POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_

#include <functional>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "base/memory_account.h"
#include "http/http_message.h"

namespace pollenrudder {

// Created by CallerSession for a RequestHandler. The handler calls Respond()
// once, immediately or later, on the thread on which it received the exchange.
// If the caller disconnects first, Respond() has no effect.
class CallerExchange {
 public:
  using Responder = std::function<void(const HttpResponse&)>;

  CallerExchange(HttpRequest http,
                 boost::asio::ip::tcp::endpoint remote,
                 Responder responder)
      : request(std::move(http)),
        remote_endpoint(std::move(remote)),
        responder_(std::move(responder)) {}

  void Respond(const HttpResponse& response) {
    on_cancel_ = nullptr;
    if (const auto responder = std::exchange(responder_, nullptr))
      responder(response);
  }

  // Sets a handler that is called if the connection closes before Respond().
  void set_on_cancel(std::function<void()> handler) {
    on_cancel_ = std::move(handler);
  }

  // Called by the session when the connection has closed.
  void Cancel() {
    responder_ = nullptr;
    if (const auto handler = std::exchange(on_cancel_, nullptr))
      handler();
  }

  // The memory of the request, as long as anything refers to the exchange.
  std::optional<MemoryAccount::Charge> charge;
  // The RequestHandler may move parts out of the request.
  HttpRequest request;
  const boost::asio::ip::tcp::endpoint remote_endpoint;

 private:
  // Null after Respond() or Cancel().
  Responder responder_;
  std::function<void()> on_cancel_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_
