// Creates the response that contains issued request ids.

#ifndef POLLENRUDDER_CALLERS_ISSUED_IDS_RESPONSE_H_
#define POLLENRUDDER_CALLERS_ISSUED_IDS_RESPONSE_H_

#include <string>
#include <vector>

#include "http/http_message.h"

namespace pollenrudder {

// Returns a response with the JSON body {"request_ids": ["...", ...]}.
HttpResponse CreateIssuedIdsResponse(const std::vector<std::string>& ids);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_ISSUED_IDS_RESPONSE_H_
