// Id of a request that must not run twice.

#ifndef POLLENRUDDER_ROUTING_REQUEST_ID_H_
#define POLLENRUDDER_ROUTING_REQUEST_ID_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "base/result.h"

namespace pollenrudder {

// Issued by the leader of an upstream, and sent back by the caller in
// Pollenrudder-Request-Id. It contains the name of the upstream, so that every
// ingress sends a repeat to the instance that holds the record. Text form:
//   1.<service>.<upstream>.<shard>.<epoch>.<issued ms>.<sequence>.<check>
// Names are percent-encoded, numbers are decimal without leading zeros, and the
// check is eight hexadecimal digits of the XXH3 hash of the preceding text. The
// check detects truncated and mistyped ids; it does not protect against a
// caller that forges ids of its own requests. Each id has exactly one text
// form. Related: RequestRecords.
struct RequestId {
  // Longer texts are refused without parsing.
  static constexpr std::size_t kMaxTextBytes = 4096;

  std::string service;
  std::string upstream;
  // 0 if the service is not sharded by key.
  std::uint32_t shard = 0;
  // The epoch of the shard, or the fence of the upstream.
  LogOffset epoch = kNoOffset;
  // Time on the boot clock of the leader that issued the id. Only this leader
  // compares it: the epoch of an id issued by another leader does not match.
  std::chrono::milliseconds issued_at{0};
  // Unique among the ids that one leader has issued for one upstream.
  std::uint64_t sequence = 0;

  // Fails with kInvalidRequestId and a message that names the invalid part.
  static Result<RequestId> Parse(std::string_view text);
  // Precondition: the names are not empty. If each name has at most 600 bytes,
  // the text has at most kMaxTextBytes.
  std::string ToText() const;

  bool operator==(const RequestId&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_REQUEST_ID_H_
