// The queue of the requests of one service that wait for capacity.

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

// Ordered by priority, then by whether a response within the latency objective
// is still possible, then by arrival. Late responses have less value, so
// requests that are already late do not delay the others.
class RequestQueue {
 public:
  void Add(DispatchRequest request);
  // Removes and returns the request if it is queued.
  std::optional<DispatchRequest> Remove(std::uint64_t id);

  // Calls `visit` for each request in order and removes those for which it
  // returns true. `expected` is the expected latency of a response.
  void Visit(BootTime now,
             std::chrono::nanoseconds expected,
             const std::function<bool(const DispatchRequest&)>& visit);

  std::size_t size() const { return requests_.size(); }
  bool empty() const { return requests_.empty(); }
  // Returns the number of requests at least as urgent as `priority`.
  std::size_t CountUrgent(std::uint32_t priority) const;
  const std::list<DispatchRequest>& requests() const { return requests_; }

 private:
  // Invariant: ordered by priority, then by arrival.
  std::list<DispatchRequest> requests_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_REQUEST_QUEUE_H_
