// Encoding of requests, responses and grants for one platform.

#ifndef POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_
#define POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "entry/caller_fields.h"
#include "entry/response_match.h"
#include "entry/upstream_notice.h"
#include "fleet/listed_upstream.h"
#include "grants/grant_actions.h"
#include "http/http_message.h"

namespace pollenrudder {

// What an upstream's response says about the execution of the request.
enum class ResponseKind {
  // A complete response of the upstream that ran the request: it succeeded or
  // failed.
  kSuccess,
  kFailure,
  // Proof that the upstream did not run the request.
  kNotRunAtCapacity,
  kNotRunWrongUpstream,
  // Also not run, because another upstream uses the address now.
  kNotRunReplaced,
  // A response that no upstream of the platform sends.
  kUnrecognized,
};

// Encodes and parses the HTTP messages of the platform on which the router
// runs. Each platform implements it once; implementations are stateless.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;

  virtual CallerFields ParseCallerFields(const HttpRequest& request) const = 0;
  // Returns the bytes to send before the body of the request. The upstream may
  // process the request for `time_left`.
  virtual std::string FormatHeadForUpstream(
      const HttpRequest& request,
      const ListedUpstream& upstream,
      std::chrono::nanoseconds time_left) const = 0;
  // `upstream` is the name of the upstream to which the request was sent.
  virtual ResponseKind Classify(const HttpResponse& response,
                                std::string_view upstream) const = 0;
  // Compares `response` with the request that has this id, which is empty for a
  // request without one.
  virtual ResponseMatch MatchResponse(const HttpResponse& response,
                                      std::string_view request_id) const = 0;
  // Returns what `response` states about the upstream `upstream`. Empty if
  // another upstream may have sent the response. Applies to key calls too.
  virtual UpstreamNotice ParseNotice(const HttpResponse& response,
                                     std::string_view upstream) const = 0;
  // Health requests, to which an upstream responds with what it states of
  // itself. `path` is ServicePolicy::health_path.
  virtual std::string FormatHealthRequest(
      std::string_view path,
      const ListedUpstream& upstream) const = 0;
  // Compares `response` with a health request to the upstream `upstream`.
  virtual ResponseMatch MatchHealthResponse(
      const HttpResponse& response,
      std::string_view upstream) const = 0;
  // Returns for how much longer the upstream is cold, which is 0 if it is not;
  // nothing if the response does not state that. Applies to responses to health
  // requests.
  virtual std::optional<std::chrono::nanoseconds> ParseColdRemaining(
      const HttpResponse& response,
      std::string_view upstream) const = 0;
  // Adds the header fields of responses that the router itself generates.
  virtual void AddRouterHeaders(HttpResponse& response,
                                std::string_view request_id) const = 0;

  // Grants and releases of keys.
  virtual std::string FormatKeyCall(const KeyCall& call) const = 0;
  // Compares `response` with `call`.
  virtual ResponseMatch MatchKeyResponse(const HttpResponse& response,
                                         const KeyCall& call) const = 0;
  // Returns the result and the handover data, which is empty if there is none.
  virtual std::pair<KeyCallResult, std::string> ParseKeyResponse(
      const KeyCall& call,
      const HttpResponse& response) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPSTREAM_PROTOCOL_H_
