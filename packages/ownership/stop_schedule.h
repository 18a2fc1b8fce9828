// StopSchedule: which upstreams get no new work, and which instances give up
// their leadership.

#ifndef POLLENRUDDER_OWNERSHIP_STOP_SCHEDULE_H_
#define POLLENRUDDER_OWNERSHIP_STOP_SCHEDULE_H_

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/instance_directory.h"
#include "ownership/ownership_table.h"

namespace pollenrudder {

// Combines the planned stops of the document with the instance list. A planned
// stop of an upstream or of a zone concerns the services of the team that
// announces it; a planned stop of an instance concerns every service, since an
// instance is shared. It depends on nothing but the log, the list and the wall
// clock, so that a new leader goes on with a stop that an earlier one began.
class StopSchedule {
 public:
  // An upstream that the list has left out for so long is taken as leaving.
  // The list lags and can be cut off for seconds.
  static constexpr std::chrono::seconds kMissingTimeout{10};

  // Computes the schedule again. Returns the upstreams whose state changed.
  std::vector<std::string> Update(const OwnershipTable& table,
                                  const InstanceDirectory& directory,
                                  const Now& now);

  // Whether the upstream is leaving, gone or in a planned stop.
  bool IsUpstreamStopping(std::string_view upstream) const;

  // Whether the entry instance is leaving or in a planned stop.
  static bool IsInstanceStopping(const Document& document,
                                 const InstanceDirectory& directory,
                                 std::string_view instance,
                                 WallTime now);

 private:
  std::set<std::string, std::less<>> stopping_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_STOP_SCHEDULE_H_
