// A blocking HTTP client for the operator's tool.

#ifndef POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_
#define POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_

#include <chrono>
#include <string>

#include "base/result.h"

namespace pollenrudder {

struct HttpAnswer {
  int http_status = 0;
  std::string body;
};

// Sends one request on a new connection and waits for the whole answer for at
// most `timeout`. An empty `body` makes it a GET, any other a POST. A failure
// of kind kLogUnavailable says that no answer came.
Result<HttpAnswer> SendHttpRequest(const std::string& address,
                                   const std::string& target,
                                   const std::string& body,
                                   std::chrono::milliseconds timeout);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_HTTP_CLIENT_H_
