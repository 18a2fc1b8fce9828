// Blocking HTTP client for the command-line tool.

#ifndef POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_
#define POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_

#include <chrono>
#include <string>

#include "base/result.h"

namespace pollenrudder {

struct HttpClientResponse {
  int http_status = 0;
  std::string body;
};

// Sends one request on a new connection and waits at most `timeout` for the
// complete response. Sends a GET if `body` is empty, otherwise a POST. Fails
// with kLogUnavailable if no complete response arrives.
Result<HttpClientResponse> SendHttpRequest(const std::string& address,
                                           const std::string& target,
                                           const std::string& body,
                                           std::chrono::milliseconds timeout);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_
