// Requests in flight by team.

#ifndef POLLENRUDDER_CALLERS_TEAM_LIMITS_H_
#define POLLENRUDDER_CALLERS_TEAM_LIMITS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pollenrudder {

// Counts the requests of each team over all threads of one ingress, so that
// the callers of one team can't take the memory of all others.
class TeamLimits {
 public:
  using InFlightCount = std::shared_ptr<std::atomic<std::uint32_t>>;

  // Returns the count of a team; the same one for all threads.
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
