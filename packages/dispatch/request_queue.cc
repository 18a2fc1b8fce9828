// RequestQueue: a list ordered by priority and arrival; Visit() makes two
// passes for each priority.

#include "dispatch/request_queue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pollenrudder {

void RequestQueue::Add(DispatchRequest request) {
  const auto at =
      std::ranges::find_if(requests_, [&](const DispatchRequest& other) {
        return std::pair(other.priority, other.arrived) >
               std::pair(request.priority, request.arrived);
      });
  requests_.insert(at, std::move(request));
}

std::optional<DispatchRequest> RequestQueue::Remove(std::uint64_t id) {
  const auto at = std::ranges::find(requests_, id, &DispatchRequest::id);
  if (at == requests_.end())
    return std::nullopt;
  DispatchRequest request = std::move(*at);
  requests_.erase(at);
  return request;
}

void RequestQueue::Visit(
    BootTime now,
    std::chrono::nanoseconds expected,
    const std::function<bool(const DispatchRequest&)>& visit) {
  auto first = requests_.begin();
  while (first != requests_.end()) {
    const std::uint32_t priority = first->priority;
    const auto last = std::find_if(first, requests_.end(),
                                   [&](const DispatchRequest& request) {
                                     return request.priority != priority;
                                   });
    for (const bool in_objective : {true, false}) {
      for (auto at = first; at != last;) {
        const bool can_meet_objective =
            now + expected <= at->arrived + at->latency_objective;
        if (can_meet_objective != in_objective || !visit(*at)) {
          ++at;
          continue;
        }
        if (at == first)
          first = std::next(at);
        at = requests_.erase(at);
      }
    }
    first = last;
  }
}

std::size_t RequestQueue::CountUrgent(std::uint32_t priority) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(requests_, [&](const DispatchRequest& request) {
        return request.priority <= priority;
      }));
}

}  // namespace pollenrudder
