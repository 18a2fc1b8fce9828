// One request of a caller and the way to answer it.

#ifndef POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_
#define POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_

#include <functional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "http/http_message.h"

namespace pollenrudder {

// Created by CallerServer for a RequestHandler, which calls Respond() once, now
// or later, on the thread that it was given the exchange on. The exchange does
// not end when the caller leaves; Respond() then does nothing.
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

  // `handler` is called if the caller closes its connection before Respond().
  void set_on_cancel(std::function<void()> handler) {
    on_cancel_ = std::move(handler);
  }

  // Called by the server when the caller has left.
  void Cancel() {
    responder_ = nullptr;
    if (const auto handler = std::exchange(on_cancel_, nullptr))
      handler();
  }

  // The handler may move parts out of the request.
  HttpRequest request;
  const boost::asio::ip::tcp::endpoint remote_endpoint;

 private:
  // Null once the request was answered or the caller has left.
  Responder responder_;
  std::function<void()> on_cancel_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLER_EXCHANGE_H_
