// Counters of requests in flight per team.

#ifndef POLLENRUDDER_CALLERS_TEAM_LIMITS_H_
#define POLLENRUDDER_CALLERS_TEAM_LIMITS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pollenrudder {

// Holds one counter per team, shared by all ingress threads of an instance. The
// counters limit the requests of a team in flight, so that the callers of one
// team cannot use up the memory of the instance.
class TeamLimits {
 public:
  using InFlightCount = std::shared_ptr<std::atomic<std::uint32_t>>;

  // Returns the counter of a team, which is the same object on all threads.
  InFlightCount InFlightCountOf(const std::string& team) {
    const std::lock_guard lock(mutex_);
    InFlightCount& count = counts_[team];
    if (!count)
      count = std::make_shared<std::atomic<std::uint32_t>>(0);
    return count;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, InFlightCount> counts_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_TEAM_LIMITS_H_
