// A request as the dispatcher sees it.

#ifndef POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_
#define POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/key_range.h"

namespace pollenrudder {

// What decides when and where a request is sent.
struct DispatchRequest {
  // Unique in this process.
  std::uint64_t id = 0;
  std::string service;
  // The key, for services whose upstreams own keys.
  std::optional<KeyNumber> key;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  BootTime arrived{};
  // An answer within this time of the arrival has its full value.
  std::chrono::nanoseconds latency_objective{0};
  // No answer is of use after this.
  BootTime deadline{};
  // Upstreams to which it was sent before.
  std::vector<std::string> tried;
  // Not sent again before this.
  BootTime not_before{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_
