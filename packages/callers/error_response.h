// Creates the responses to requests without a response from an upstream, and
// sets the control headers of responses that came from an upstream.

#ifndef POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_
#define POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_

#include <string_view>

#include "base/error_kind.h"
#include "http/http_message.h"

namespace pollenrudder {

// Returns the error response described in docs/design.md, section 5.1. An empty
// request id is omitted.
HttpResponse CreateErrorResponse(ErrorKind kind, std::string_view request_id);

// Replaces the control headers of an upstream's response by the outcome
// "answered" and the request id, which is omitted if it is empty.
void SetAnsweredHeaders(HttpResponse& response, std::string_view request_id);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_
