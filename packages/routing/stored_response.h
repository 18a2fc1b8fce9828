// An answer that is kept for repeats of its request.

#ifndef POLLENRUDDER_ROUTING_STORED_RESPONSE_H_
#define POLLENRUDDER_ROUTING_STORED_RESPONSE_H_

#include <cstddef>
#include <string>

namespace pollenrudder {

// The answer of an upstream, as it is sent again to a repeat.
struct StoredResponse {
  int status = 0;
  // The header fields as they stand in an HTTP/1.1 message, each "name: value"
  // with CR LF at its end.
  std::string headers;
  std::string body;

  std::size_t bytes() const { return headers.size() + body.size(); }
  bool operator==(const StoredResponse&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_STORED_RESPONSE_H_
