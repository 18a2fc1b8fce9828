// The outcome of one attempt to send a request to an upstream.

#ifndef POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_
#define POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_

namespace pollenrudder {

enum class AttemptResult {
  // The upstream responded; the response goes to the caller.
  kAnswered,
  // The upstream responded with an error.
  kErrorResponse,
  // The upstream rejected the request without running it, because it has no
  // capacity.
  kShed,
  // The upstream does not own the key. The request was not run.
  kMisrouted,
  // Another upstream responded at the address. The request was not run.
  kReplaced,
  // The connection could not be opened, so no byte of the request was sent.
  kUnreachable,
  // This instance did not send the request, because the upstream began to leave
  // or the caller disconnected while the connection was opened. Not evidence
  // about the upstream.
  kNotSent,
  // The request may have run: the connection was lost or the response is
  // invalid.
  kLost,
  // No response arrived in time. The request may have run or may still run.
  kTimedOut,
  // Canceled by this instance after the caller disconnected. Not evidence about
  // the upstream.
  kCanceled,
  // Canceled by this instance, because another attempt of the request was
  // answered first. The response would have taken at least this long.
  kOutpaced,
};

// Returns whether the request is known not to have run.
constexpr bool ProvesNotRun(AttemptResult result) {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kMisrouted ||
         result == AttemptResult::kReplaced ||
         result == AttemptResult::kUnreachable ||
         result == AttemptResult::kNotSent;
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_ATTEMPT_RESULT_H_
