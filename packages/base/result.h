// Result: a value or an Error, implemented with Boost.Outcome.

#ifndef POLLENRUDDER_BASE_RESULT_H_
#define POLLENRUDDER_BASE_RESULT_H_

#include <string>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "base/error.h"

namespace pollenrudder {

// The return type of every function that can fail. Reading the value of a
// failed Result terminates the process: test it first, or use
// BOOST_OUTCOME_TRY.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Returns an Error, which converts to a failed Result.
inline Error MakeError(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message)};
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_RESULT_H_
