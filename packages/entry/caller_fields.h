// What a caller's request says to the router.

#ifndef POLLENRUDDER_ENTRY_CALLER_FIELDS_H_
#define POLLENRUDDER_ENTRY_CALLER_FIELDS_H_

#include <chrono>
#include <optional>
#include <string>

#include "grants/key_range.h"

namespace pollenrudder {

// The fields of a request that the router reads, decoded.
struct CallerFields {
  // Empty if the caller gave none.
  std::string request_id;
  // How long the caller waits.
  std::optional<std::chrono::nanoseconds> timeout;
  std::optional<KeyNumber> key;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_FIELDS_H_
