// A response that is stored for repeats of its request.

#ifndef POLLENRUDDER_ROUTING_STORED_RESPONSE_H_
#define POLLENRUDDER_ROUTING_STORED_RESPONSE_H_

#include <cstddef>
#include <string>

namespace pollenrudder {

// The response of an upstream, in the form in which it is sent to a repeat.
struct StoredResponse {
  int status = 0;
  // The header fields in HTTP/1.1 form: each is "name: value" and ends with CR
  // LF.
  std::string headers;
  std::string body;

  std::size_t bytes() const { return headers.size() + body.size(); }
  bool operator==(const StoredResponse&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_STORED_RESPONSE_H_
