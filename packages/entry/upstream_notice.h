// What an upstream states about itself in its responses.

#ifndef POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_
#define POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_

#include <chrono>
#include <optional>

namespace pollenrudder {

// Part of any response, besides what it says about its request.
struct UpstreamNotice {
  // The upstream is leaving and wants no new requests.
  bool leaving = false;
  // The upstream rejected the request and wants none of this instance for this
  // time.
  std::optional<std::chrono::nanoseconds> pause;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_
