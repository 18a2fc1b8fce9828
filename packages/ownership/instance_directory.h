// InstanceDirectory: the instance list with the history that decisions need.

#ifndef POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_
#define POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// The newest instance list. The list lags, so nothing here is a proof that an
// instance is alive or gone; it only guides choices.
class InstanceDirectory {
 public:
  void OnInstancesListed(std::vector<ListedInstance> instances, BootTime now);

  const std::vector<ListedInstance>& instances() const { return instances_; }
  // Whether a list was ever received.
  bool has_list() const { return listed_at_.has_value(); }

  // Returns the entry instance or the upstream of this name, or null.
  const ListedInstance* FindEntry(std::string_view name) const;
  const ListedInstance* FindUpstream(std::string_view name) const;

  // Entry instances of the zone that are not leaving.
  std::vector<ListedInstance> AvailableEntries(std::string_view zone) const;

  // For how long the instance or upstream has been listed without a break, or
  // has been missing from the list; zero otherwise.
  std::chrono::nanoseconds ListedFor(std::string_view name, BootTime now) const;
  std::chrono::nanoseconds MissingFor(std::string_view name,
                                      BootTime now) const;

 private:
  std::vector<ListedInstance> instances_;
  // When the first list was received.
  std::optional<BootTime> listed_at_;
  // When each listed name appeared, and when each name of the last hour
  // disappeared.
  std::map<std::string, BootTime, std::less<>> present_since_;
  std::map<std::string, BootTime, std::less<>> missing_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_
