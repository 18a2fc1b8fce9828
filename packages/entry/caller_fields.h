// The fields of a caller's request that the router itself uses.

#ifndef POLLENRUDDER_ENTRY_CALLER_FIELDS_H_
#define POLLENRUDDER_ENTRY_CALLER_FIELDS_H_

#include <chrono>
#include <optional>
#include <string>

#include "grants/key_range.h"

namespace pollenrudder {

// Filled by UpstreamProtocol::ParseCallerFields().
struct CallerFields {
  // Empty if the caller sent none.
  std::string request_id;
  // How long the caller waits for a response.
  std::optional<std::chrono::nanoseconds> timeout;
  std::optional<KeyNumber> key;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_FIELDS_H_
