// How requests, answers and grants look on the wire.

#ifndef POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_
#define POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "entry/caller_fields.h"
#include "fleet/listed_upstream.h"
#include "grants/grant_actions.h"
#include "http/http_message.h"

namespace pollenrudder {

// What an upstream's answer says about the request.
enum class ResponseKind {
  // A whole answer of the upstream that ran the request, or failed it.
  kSuccess,
  kFailure,
  // Proof that the upstream did not run it.
  kNotRunAtCapacity,
  kNotRunWrongUpstream,
  // As well, and another upstream has the address by now.
  kNotRunReplaced,
  // An answer that no upstream of the platform gives.
  kUnrecognized,
};

// Translates between the router and the surroundings it runs in. Has no state
// and decides nothing; implemented once for each platform.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;

  virtual CallerFields ParseCallerFields(const HttpRequest& request) const = 0;
  // The bytes to send; the upstream may work on it for `time_left`.
  virtual std::string FormatForUpstream(
      const HttpRequest& request,
      const ListedUpstream& upstream,
      std::chrono::nanoseconds time_left) const = 0;
  // `upstream` is the name of the one to which the request was sent.
  virtual ResponseKind Classify(const HttpResponse& response,
                                std::string_view upstream) const = 0;
  // Returns whether the answer is the one to the request of this id.
  virtual bool IsResponseTo(const HttpResponse& response,
                            std::string_view request_id) const = 0;
  // Adds what the router's own answers carry.
  virtual void AddRouterHeaders(HttpResponse& response,
                                std::string_view request_id) const = 0;

  // Grants and releases of keys.
  virtual std::string FormatKeyCall(const KeyCall& call) const = 0;
  // Returns the result and the handover, which is empty if there is none.
  virtual std::pair<KeyCallResult, std::string> ParseKeyResponse(
      const KeyCall& call,
      const HttpResponse& response) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_
