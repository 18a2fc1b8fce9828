// The leader's decision on a request that carries an id.

#ifndef POLLENRUDDER_ROUTING_BEGIN_RESULT_H_
#define POLLENRUDDER_ROUTING_BEGIN_RESULT_H_

#include <memory>

#include "base/error_kind.h"
#include "routing/stored_response.h"

namespace pollenrudder {

// What to do with a request that carries an id.
struct BeginResult {
  enum class Kind {
    // Send it, and report the end with FinishWithResponse(), FinishNotRun() or
    // FinishUnknown().
    kRun,
    // Answer with `answer`.
    kRepeatAnswered,
    // An earlier request with this id is running.
    kInProgress,
    // The earlier request ended without an answer that can be given again:
    // its outcome is unknown, or its answer was too large to keep.
    kRepeatUnknown,
    // The id is of another epoch or past its lifetime.
    kExpired,
    // The id is not one that this object has issued.
    kInvalid,
    // There is no room for another record. Not run.
    kFull,
  };

  Kind kind = Kind::kRun;
  // The kind to answer with, unless `kind` is kRun or kRepeatAnswered:
  // unknown_in_progress, unknown_request_id_expired, invalid_request_id,
  // not_run_overloaded; for kRepeatUnknown the kind of the first answer, or
  // unknown_answer_damaged for an answer that was not kept.
  ErrorKind error = ErrorKind::kInternal;
  // Set for kRepeatAnswered only.
  std::shared_ptr<const StoredResponse> answer;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_BEGIN_RESULT_H_
