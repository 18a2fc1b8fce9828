// The properties of a request that Dispatcher uses.

#ifndef POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_
#define POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/key_range.h"

namespace pollenrudder {

// Determines when and where a request is sent.
struct DispatchRequest {
  // Unique in this process.
  std::uint64_t id = 0;
  std::string service;
  // Set for services whose upstreams own keys.
  std::optional<KeyNumber> key;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  BootTime arrived{};
  // A response within this time after the arrival has its full value.
  std::chrono::nanoseconds latency_objective{0};
  // A response after this time is useless to the caller.
  BootTime deadline{};
  // The regions whose upstreams may get the request; null if all may.
  std::shared_ptr<const std::vector<std::string>> allowed_regions;
  // See Route::large_responses.
  bool large_responses = false;
  // Names of the upstreams to which the request was sent before.
  std::vector<std::string> tried;
  // The earliest time of the next attempt.
  BootTime not_before{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCH_REQUEST_H_
