// The response to a request that was not answered by an upstream.

#ifndef POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_
#define POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_

#include <string_view>

#include "base/error_kind.h"
#include "http/http_message.h"

namespace pollenrudder {

// Builds the response of docs/design.md, section 5.1. The request id is left
// out if it is empty.
HttpResponse CreateErrorResponse(ErrorKind kind, std::string_view request_id);

// Marks an upstream's answer as such.
void SetAnsweredHeaders(HttpResponse& response, std::string_view request_id);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_ERROR_RESPONSE_H_
