// The error type of the whole program: a kind and a message for the log.

#ifndef POLLENRUDDER_BASE_ERROR_H_
#define POLLENRUDDER_BASE_ERROR_H_

#include <string>

#include "base/error_kind.h"

namespace pollenrudder {

// The error of a failed Result.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_ERROR_H_
