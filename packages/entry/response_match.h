// Whether a response on a kept connection belongs to the call in progress.

#ifndef POLLENRUDDER_ENTRY_RESPONSE_MATCH_H_
#define POLLENRUDDER_ENTRY_RESPONSE_MATCH_H_

namespace pollenrudder {

// A faulty server may send a copy of an earlier response in front of the next
// one.
enum class ResponseMatch {
  // It names this call.
  kOwn,
  // It names no call. It belongs to this one if all earlier responses on the
  // connection named their calls.
  kUnidentified,
  // It names another call.
  kOther,
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_RESPONSE_MATCH_H_
