// Control headers of a request that an ingress forwards to a leader.

#ifndef POLLENRUDDER_CALLERS_FORWARDED_REQUEST_H_
#define POLLENRUDDER_CALLERS_FORWARDED_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/log_offset.h"
#include "base/result.h"

namespace pollenrudder {

// Routing data that accompanies the caller's request. Encoded as Pollenrudder-*
// headers by ToControlLines() and decoded by Parse().
struct ForwardedRequest {
  std::string service;
  // 0 if the service is not divided by key.
  std::uint32_t shard = 0;
  LogOffset epoch = kNoOffset;
  std::string upstream;
  // Time until the deadline of the request.
  std::chrono::milliseconds remaining_time{0};
  // The issued request id that the caller sent, or empty.
  std::string request_id;
  // Identifies the flow for fair queueing at the leader.
  std::uint64_t flow = 0;
  // If nonzero, the leader issues this number of request ids and sends no
  // request.
  std::uint32_t ids_to_issue = 0;

  // Returns the Pollenrudder-* header lines.
  std::string ToControlLines() const;
  // Fails with kPeerProtocol and a message that names the invalid header.
  static Result<ForwardedRequest> Parse(std::string_view control_lines);

  bool operator==(const ForwardedRequest&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_FORWARDED_REQUEST_H_
