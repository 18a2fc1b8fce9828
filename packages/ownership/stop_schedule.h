// StopSchedule: the upstreams that must be emptied and the instances that must
// hand over their leadership.

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
// stop of an upstream or of an availability zone applies to the services of the
// team that announces it. A planned stop of an instance applies to all
// services, because they share the instance. The schedule depends only on the
// log, the instance list and the wall clock, so a new leader continues a stop
// that the previous one began.
class StopSchedule {
 public:
  // An upstream counts as leaving when it has been missing from the instance
  // list for this long. The list is delayed and may be unavailable for seconds.
  static constexpr std::chrono::seconds kMissingTimeout{10};

  // Updates the schedule. Returns the upstreams that started or finished
  // stopping.
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
