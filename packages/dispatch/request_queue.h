// The requests of one service that wait for room.

#ifndef POLLENRUDDER_DISPATCH_REQUEST_QUEUE_H_
#define POLLENRUDDER_DISPATCH_REQUEST_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>

#include "base/boot_clock.h"
#include "dispatch/dispatch_request.h"

namespace pollenrudder {

// Ordered by urgency, then by whether the answer can still be in time for its
// full value, then by arrival: late answers are worth less, so they do not hold
// up those that can still be early.
class RequestQueue {
 public:
  void Add(DispatchRequest request);
  // Returns the request if it was waiting.
  std::optional<DispatchRequest> Remove(std::uint64_t id);

  // Calls `visit` for each request in order. Those for which it returns true
  // leave the line. `expected` is how long an answer takes once sent.
  void Visit(BootTime now,
             std::chrono::nanoseconds expected,
             const std::function<bool(const DispatchRequest&)>& visit);

  std::size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }
  // The number of requests at least as urgent as `priority`.
  std::size_t CountUrgent(std::uint32_t priority) const;
  const std::list<DispatchRequest>& requests() const { return requests_; }

 private:
  // Invariant: in order of priority, then of arrival.
  std::list<DispatchRequest> requests_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_REQUEST_QUEUE_H_
