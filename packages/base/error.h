// A failure with its kind and a message for the log.

#ifndef POLLENRUDDER_BASE_ERROR_H_
#define POLLENRUDDER_BASE_ERROR_H_

#include <string>

#include "base/error_kind.h"

namespace pollenrudder {

// The failure half of a Result.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_ERROR_H_
