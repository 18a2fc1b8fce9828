// The headers between an ingress and a leader.

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

// What an ingress tells the leader beside the caller's request.
struct ForwardedRequest {
  std::string service;
  // 0 if the service is not divided by key.
  std::uint32_t shard = 0;
  LogOffset epoch = kNoOffset;
  std::string upstream;
  // Left to the deadline.
  std::chrono::milliseconds remaining_time{0};
  // The issued id of the caller, or empty.
  std::string request_id;
  std::uint64_t flow = 0;
  // Set if the leader is asked to issue this many request ids instead.
  std::uint32_t ids_to_issue = 0;

  // Formats the Pollenrudder-* lines.
  std::string ToControlLines() const;
  // Fails with kPeerProtocol and a message that names the faulty header.
  static Result<ForwardedRequest> Parse(std::string_view control_lines);

  bool operator==(const ForwardedRequest&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_FORWARDED_REQUEST_H_
