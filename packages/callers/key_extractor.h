// Extraction of keys and query parameters from requests.

#ifndef POLLENRUDDER_CALLERS_KEY_EXTRACTOR_H_
#define POLLENRUDDER_CALLERS_KEY_EXTRACTOR_H_

#include <optional>
#include <string>
#include <string_view>

#include "document/service_settings.h"
#include "http/http_message.h"

namespace pollenrudder {

// Returns whether a path contains "." or ".." segments, plain or
// percent-encoded. An upstream could resolve these to a path of another service
// or key.
bool HasDotSegments(std::string_view path);

// Returns the decoded value of a query parameter, or nothing.
std::optional<std::string> FindQueryParameter(std::string_view target,
                                              std::string_view name);

// Returns the key of a request to a service that is divided by key, or nothing
// if it is missing, empty or incorrectly encoded. Keys in the target are
// percent-decoded, so that different encodings of a key are equal.
std::optional<std::string> ExtractKey(const ServiceSettings& service,
                                      const HttpRequest& request);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_KEY_EXTRACTOR_H_
