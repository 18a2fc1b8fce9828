// Result of RequestRecords::Begin().

#ifndef POLLENRUDDER_ROUTING_BEGIN_RESULT_H_
#define POLLENRUDDER_ROUTING_BEGIN_RESULT_H_

#include <memory>

#include "base/error_kind.h"
#include "routing/stored_response.h"

namespace pollenrudder {

// How the leader handles a request that carries an id.
struct BeginResult {
  enum class Kind {
    // Send it, and report the end with FinishWithResponse(), FinishNotRun() or
    // FinishUnknown().
    kRun,
    // Respond with `response`.
    kRepeatAnswered,
    // A request with this id is running.
    kInProgress,
    // A request with this id has ended without a response that can be sent
    // again: its outcome is unknown, or its response was too large to store.
    kRepeatUnknown,
    // The id belongs to another epoch, or its lifetime has passed.
    kExpired,
    // This leader has not issued the id.
    kInvalid,
    // The limit of records is reached; the request does not run.
    kFull,
  };

  Kind kind = Kind::kRun;
  // The error to respond with, unless `kind` is kRun or kRepeatAnswered:
  // unknown_in_progress, unknown_request_id_expired, invalid_request_id or
  // not_run_overloaded. For kRepeatUnknown, the error of the first response, or
  // unknown_answer_damaged for a response that was not stored.
  ErrorKind error = ErrorKind::kInternal;
  // Only set for kRepeatAnswered.
  std::shared_ptr<const StoredResponse> response;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_BEGIN_RESULT_H_
