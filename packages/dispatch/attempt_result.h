// How one send of a request to an upstream ended.

#ifndef POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_
#define POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_

namespace pollenrudder {

enum class AttemptResult {
  // The upstream answered; the answer goes to the caller.
  kAnswered,
  // The upstream answered that it failed.
  kErrorResponse,
  // The upstream rejected the request without running it, for lack of room.
  kShed,
  // The upstream does not own the key. Not run.
  kMisrouted,
  // Another upstream has the address by now. Not run.
  kReplaced,
  // No byte of the request was sent: the connection could not be opened.
  kUnreachable,
  // The request may have run: the connection broke or the answer is damaged.
  kLost,
  // No answer in time. The request may run.
  kTimedOut,
  // Ended by this instance, since the caller left. Says nothing about the
  // upstream.
  kCanceled,
};

// Returns whether the request is known not to have run.
constexpr bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kMisrouted ||
         result == AttemptResult::kReplaced ||
         result == AttemptResult::kUnreachable;
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_
