// All error kinds, and the table that maps each kind to the response that a
// caller receives.

#ifndef POLLENRUDDER_BASE_ERROR_KIND_H_
#define POLLENRUDDER_BASE_ERROR_KIND_H_

#include <optional>
#include <string_view>

namespace pollenrudder {

// Every failure that a module reports has one of these kinds. Kinds whose names
// start with kNotRun are used only if it is proved that no upstream ran the
// request; kUnknown (except kUnknownService) means that one may have run it.
enum class ErrorKind {
  kMalformedRequest,
  kMissingKey,
  kInvalidRequestId,
  kUnknownService,
  kBodyTooLarge,
  kHeaderTooLarge,
  kRequestTimeout,
  kNotRunOverloaded,
  kNotRunNoOwner,
  kNotRunMoved,
  kNotRunNoLease,
  kNotRunUnreachable,
  kNotRunShuttingDown,
  kNotRunDeadline,
  kNotRunQuarantined,
  // As kNotRunQuarantined, where a 4xx status means that no configuration
  // allows the request.
  kNotRunCrashesUpstreams,
  kNotRunFenced,
  kNotRunNoConfiguration,
  kUnknownUpstreamLost,
  kUnknownAnswerDamaged,
  kUnknownDeadline,
  kUnknownRequestIdExpired,
  kUnknownInProgress,
  kInvalidDocument,
  kInvalidSettings,
  kConflict,
  kLogUnavailable,
  kLogRegressed,
  kUnsupportedRecord,
  kPeerProtocol,
  kInternal,
};

// What is known about the execution of a request.
enum class Outcome { kAnswered, kNotRun, kUnknown };

// One row of the table from error kind to response.
struct ErrorDescription {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Outcome outcome;
};

// Returns the row of `kind`.
const ErrorDescription& DescribeError(ErrorKind kind);

// Returns the kind whose name is `name`, as sent in Pollenrudder-Error.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

// Returns "answered", "not-run" or "unknown", as sent in Pollenrudder-Outcome.
std::string_view OutcomeName(Outcome outcome);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_ERROR_KIND_H_
